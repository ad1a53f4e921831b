package request

// State is the state of a Core, for a dump.
type State struct {
	// Forwarded is the number of unfinished requests that were forwarded to a
	// coordinator.
	Forwarded int `json:"entries"`
	// Timers is the number of pending timers.
	Timers   int              `json:"timers"`
	Services []ServiceState   `json:"services"`
	Holder   ClaimHolderState `json:"holder"`
}

// ServiceState is a Core's state of one service.
type ServiceState struct {
	Name string `json:"name"`
	// IsCoordinator reports whether the balancer is the service's coordinator in
	// its failure domain, by its local view.
	IsCoordinator bool `json:"keeping"`
	// Open is the number of unfinished requests.
	Open int `json:"open"`
	// Queued is the number of requests that wait for a slot.
	Queued int `json:"queued"`
	// Records is the number of stored requests, finished or not.
	Records int `json:"records"`
	// Pushes is the number of received pushes that are stored.
	Pushes int `json:"pushes"`
	// Callers is the number of callers with unfinished requests.
	Callers int `json:"callers"`
	// RetryBudget is the number of retries that are allowed now.
	RetryBudget float64 `json:"budget"`
	// ServiceTime is the moving average of the service time, as formatted by
	// time.Duration.
	ServiceTime string        `json:"work"`
	Targets     []TargetState `json:"targets"`
	Remotes     []RemoteState `json:"remotes"`
}

// TargetState is a coordinator's state of one target of its failure domain.
type TargetState struct {
	Name string `json:"name"`
	// Running is the number of slots that have an attempt or stay idle after one.
	Running int `json:"running"`
	// Limit is the number of attempts that the target may have now.
	Limit int `json:"limit"`
}

// RemoteState is a coordinator's state of a service in another failure domain.
// Free, Slots and Queued are those of the last load report from there.
type RemoteState struct {
	Domain      string `json:"domain"`
	Coordinator Peer   `json:"keeper"`
	Free        uint32 `json:"free"`
	Slots       uint32 `json:"slots"`
	Queued      uint32 `json:"queued"`
	// IsLoadFresh reports whether the load report is recent enough to be used.
	IsLoadFresh bool `json:"known"`
}

// ClaimHolderState is a Core's state as a claim holder.
type ClaimHolderState struct {
	// Set is the number of the current holder set.
	Set uint64 `json:"set"`
	// IsMember reports whether the balancer is in the set.
	IsMember bool `json:"member"`
	// HasQuorum reports whether the balancer and the members that sent a heartbeat
	// recently are a majority of the set.
	HasQuorum bool `json:"tenured"`
	// Complete reports whether the balancer has every claim of the previous set
	// that it needs. The next set should be written only when Complete is true on
	// the members of the current one.
	Complete bool `json:"complete"`
	// Claims is the number of stored claims.
	Claims int `json:"claims"`
}

// State returns the current state of the core.
func (c *Core) State() State {
	s := State{Forwarded: len(c.forwarded), Timers: len(c.timers), Holder: c.ClaimHolderState()}
	for _, name := range c.serviceNames {
		s.Services = append(s.Services, c.pools[name].state())
	}
	return s
}

// Queued returns the number of requests of all services that wait for a slot.
func (c *Core) Queued() int {
	n := 0
	for _, p := range c.pools {
		n += len(p.queue)
	}
	return n
}

// NewestCompleteSet returns the number of the newest holder set for which the core
// has every claim of the previous set that it needs, 0 if there was none.
func (c *Core) NewestCompleteSet() uint64 {
	return c.claimHolder.newestComplete
}

// ClaimHolderState returns the core's state as a claim holder.
func (c *Core) ClaimHolderState() ClaimHolderState {
	h := &c.claimHolder
	return ClaimHolderState{
		Set:       h.set.Number,
		IsMember:  h.isMember(),
		HasQuorum: h.hasQuorum(),
		Complete:  h.completeSets[h.set.Number],
		Claims:    len(h.claims),
	}
}

// state returns the pool's state for a dump.
func (p *pool) state() ServiceState {
	s := ServiceState{
		Name:          p.service.Name,
		IsCoordinator: p.isCoordinator,
		Open:          p.openRecords,
		Queued:        len(p.queue),
		Records:       len(p.records),
		Pushes:        len(p.pushRefused),
		Callers:       len(p.openByCaller),
		RetryBudget:   p.retryBudget,
		ServiceTime:   p.serviceTime.String(),
	}
	for _, t := range p.targets {
		s.Targets = append(s.Targets, TargetState{Name: t.Name, Running: t.slotsInUse, Limit: t.slotLimit(p.core.now)})
	}
	for _, r := range p.remotes {
		s.Remotes = append(s.Remotes, RemoteState{
			Domain:      r.domain,
			Coordinator: r.coordinator,
			Free:        r.load.Free,
			Slots:       r.load.Slots,
			Queued:      r.load.Queued,
			IsLoadFresh: p.isLoadFresh(r),
		})
	}
	return s
}
