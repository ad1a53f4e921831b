package request

// State is what a Core holds, for a dump.
type State struct {
	Entries  int            `json:"entries"`
	Timers   int            `json:"timers"`
	Services []ServiceState `json:"services"`
	Holder   HolderState    `json:"holder"`
}

// ServiceState is what a Core holds about one service.
type ServiceState struct {
	Name          string        `json:"name"`
	IsCoordinator bool          `json:"keeping"`
	Open          int           `json:"open"`
	Queued        int           `json:"queued"`
	Records       int           `json:"records"`
	Pushes        int           `json:"pushes"`
	Callers       int           `json:"callers"`
	Budget        float64       `json:"budget"`
	Work          string        `json:"work"`
	Targets       []TargetState `json:"targets"`
	Remotes       []RemoteState `json:"remotes"`
}

// TargetState is a keeper's view of one target.
type TargetState struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	Limit   int    `json:"limit"`
}

// RemoteState is a keeper's view of a service in another failure domain.
type RemoteState struct {
	Domain      string `json:"domain"`
	Coordinator Peer   `json:"keeper"`
	Free        uint32 `json:"free"`
	Slots       uint32 `json:"slots"`
	Queued      uint32 `json:"queued"`
	IsLoadFresh bool   `json:"known"`
}

// HolderState is a Core's part as a holder of claims.
type HolderState struct {
	Set       uint64 `json:"set"`
	Member    bool   `json:"member"`
	HasQuorum bool   `json:"tenured"`
	// Complete says that every claim of the set before is held. The next set
	// should not be written before it is true on the members of this one.
	Complete bool `json:"complete"`
	Claims   int  `json:"claims"`
}

// State returns what the core holds now.
func (c *Core) State() State {
	s := State{Entries: len(c.entries), Timers: len(c.timers), Holder: c.HolderState()}
	for _, name := range c.names {
		s.Services = append(s.Services, c.pools[name].state())
	}
	return s
}

// Queued returns the number of requests that wait for a slot, of all services.
func (c *Core) Queued() int {
	n := 0
	for _, p := range c.pools {
		n += len(p.queue)
	}
	return n
}

// NewestCompleteSet returns the number of the newest holder set whose claims are all
// held, 0 if there was none.
func (c *Core) NewestCompleteSet() uint64 {
	return c.holder.newest
}

// HolderState returns the core's part as a holder of claims.
func (c *Core) HolderState() HolderState {
	h := &c.holder
	return HolderState{
		Set:       h.set.Number,
		Member:    h.member(),
		HasQuorum: h.tenured(),
		Complete:  h.complete[h.set.Number],
		Claims:    len(h.claims),
	}
}

func (p *pool) state() ServiceState {
	s := ServiceState{
		Name:          p.service.Name,
		IsCoordinator: p.keeping,
		Open:          p.open,
		Queued:        len(p.queue),
		Records:       len(p.records),
		Pushes:        len(p.seen),
		Callers:       len(p.callers),
		Budget:        p.budget,
		Work:          p.work.String(),
	}
	for _, t := range p.targets {
		s.Targets = append(s.Targets, TargetState{Name: t.Name, Running: t.running, Limit: t.limit(p.core.now)})
	}
	for _, r := range p.remotes {
		s.Remotes = append(s.Remotes, RemoteState{
			Domain:      r.domain,
			Coordinator: r.keeper,
			Free:        r.load.Free,
			Slots:       r.load.Slots,
			Queued:      r.load.Queued,
			IsLoadFresh: p.fresh(r),
		})
	}
	return s
}
