package balancer

import (
	"context"
	"time"

	"wisteriaweir/fleet"
	"wisteriaweir/member"
	"wisteriaweir/platform"
	"wisteriaweir/rollout"
	"wisteriaweir/service"
	"wisteriaweir/ticket"
)

const (
	// proposeInterval is the interval at which a lease holder checks whether
	// the fleet object must change.
	proposeInterval = 300 * time.Millisecond
	// maxWatchLag is how long a lease holder waits for the watch of the fleet
	// object to return the version of the active state before it reads the
	// object.
	maxWatchLag = time.Second
	// claimHoldersSettleTimeout is the time after which the set of claim
	// holders may change although a live claim holder has not reported that it
	// holds the claims of the previous set.
	claimHoldersSettleTimeout = 2 * time.Minute
)

// proposer updates the fleet object on behalf of its failure domain while this
// balancer holds the domain's lease.
type proposer struct {
	c *control
	// nextRefreshAt is the earliest time of the next refresh.
	nextRefreshAt time.Duration
	// isRefreshing is true while a refresh is in progress.
	isRefreshing bool
	// fence is the fencing number of the lease while it is held.
	fence uint64
	// headWatcher watches the head of the accepted tickets.
	headWatcher *objectWatcher
	// newestHead is the head that headWatcher read last.
	newestHead ticket.Head
	// isHeadKnown is true once headWatcher has read a valid head since its last
	// start.
	isHeadKnown bool
	// base is the newest version of the fleet object that was read. Its number
	// is 0 after an attempt to update that version.
	base fleetVersion
	// nextFleetReadAt is the earliest time at which the fleet object may be read
	// in addition to the watch.
	nextFleetReadAt time.Duration
	// isWatchLagging is true from the start of a wait for maxWatchLag until the
	// next read of the fleet object.
	isWatchLagging bool
	hostList       hostListSchedule
	// claimHoldersNumber is the number of the newest known set of claim
	// holders.
	claimHoldersNumber uint64
	// claimHoldersSince is when that set became known.
	claimHoldersSince time.Duration
	// status is the domain status that this balancer last started to write, for
	// the dump.
	status ticket.Status
}

// newProposer returns a proposer for a balancer that does not hold the lease.
func newProposer(c *control) *proposer {
	p := &proposer{c: c}
	p.headWatcher = &objectWatcher{c: c, path: ticket.HeadPath, apply: p.applyHead}
	return p
}

// tick starts a refresh if the lease is held and the next one is due.
func (p *proposer) tick(ctx context.Context) {
	now := p.c.b.now()
	fence, holding := p.c.leaseRunner.holding()
	if !holding {
		p.stop()
		return
	}
	p.start(ctx, fence)
	if p.isRefreshing || !p.isHeadKnown || now < p.nextRefreshAt {
		return
	}
	p.nextRefreshAt = now + proposeInterval
	needsFleetRead := !p.isBaseKnown()
	if needsFleetRead && !p.mayReadFleet(now) {
		return
	}
	p.isRefreshing = true
	r := platformRead{
		fence:          fence,
		known:          rollout.State{Fleet: p.c.fleet, Config: p.c.config},
		tickets:        acceptedTickets{head: p.newestHead},
		base:           p.base,
		needsFleetRead: needsFleetRead,
		needsHostsRead: p.hostList.isDue(now, p.hasUnlisted()),
	}
	go p.refresh(ctx, r)
}

// start starts the watch of the ticket head and the frequent reads of the host
// list. If the fencing number has changed, it restarts both.
func (p *proposer) start(ctx context.Context, fence uint64) {
	if p.fence != fence {
		p.stop()
		p.fence = fence
		p.hostList.startPolling(p.c.b.now())
	}
	p.headWatcher.start(ctx)
}

// stop stops the watch of the ticket head, and discards the head.
func (p *proposer) stop() {
	p.headWatcher.stop()
	p.fence, p.isHeadKnown = 0, false
}

// applyHead applies a newer head. An invalid one is logged and ignored: the
// operators correct it with their next ticket.
func (p *proposer) applyHead(o platform.Object) {
	h, err := ticket.ParseHead(o.Value)
	if err != nil {
		p.c.b.log.WithError(err).Error("ticket head on the platform cannot be decoded")
		return
	}
	p.newestHead, p.isHeadKnown = h, true
}

// recordClaimHolders records a new set of claim holders and the current time.
func (p *proposer) recordClaimHolders() {
	if n := p.c.fleet.ClaimHolders.Number; n != p.claimHoldersNumber {
		p.claimHoldersNumber = n
		p.claimHoldersSince = p.c.b.now()
	}
}

// areClaimHoldersSettled reports whether the set of claim holders may change
// again: every live claim holder holds the claims of the previous set, or
// claimHoldersSettleTimeout has passed. An earlier change would leave those
// claims without a complete set of claim holders until the repeat window has
// passed, and POST requests unanswered until then.
func (p *proposer) areClaimHoldersSettled() bool {
	c := p.c
	if c.b.now()-p.claimHoldersSince >= claimHoldersSettleTimeout {
		return true
	}
	for _, h := range c.fleet.ClaimHolders.Members {
		d, ok := c.statusReports.latest(h.Name, h.Life)
		if c.members.isReachable(h.Name, h.Life) && (!ok || d.NewestClaimSet < c.fleet.ClaimHolders.Number) {
			return false
		}
	}
	return true
}

// platformRead describes one refresh: what to read from the platform, and what
// was known when it started.
type platformRead struct {
	fence   uint64
	known   rollout.State
	tickets acceptedTickets
	base    fleetVersion
	// needsFleetRead is true if the refresh must read the fleet object, and
	// needsHostsRead if it must read the host list.
	needsFleetRead, needsHostsRead bool
}

// acceptedTickets holds what a refresh knows about the accepted tickets.
type acceptedTickets struct {
	head ticket.Head
	// config is the configuration at head, if head is newer than that of the
	// fleet.
	config service.Config
	// minApplied is the newest ticket that every balancer has applied, 0 if it
	// is not known.
	minApplied uint64
}

// proposedState is a fleet state to write before ctx ends.
type proposedState struct {
	fleet  fleet.Fleet
	ctx    context.Context
	cancel context.CancelFunc
}

// refresh reads from the platform what the platformRead requires, and writes the
// next fleet state if it differs from the current one. It runs on a goroutine of
// its own.
func (p *proposer) refresh(ctx context.Context, r platformRead) {
	defer p.c.enqueueContext(ctx, func() { p.isRefreshing = false })
	var err error
	if r.needsHostsRead {
		if err = p.readHosts(ctx); err != nil {
			return
		}
	}
	current := r.known.Fleet
	if r.needsFleetRead {
		if current, r.base, err = p.readFleet(ctx); err != nil {
			return
		}
	}
	r.tickets.minApplied = p.minAppliedTicket(ctx, current)
	if r.tickets.head.Number > current.Head.Number {
		if r.tickets.config, err = loadConfig(ctx, p.c.b.platform, r.known, r.tickets.head); err != nil {
			return
		}
	}
	next := make(chan proposedState, 1)
	p.c.enqueueContext(ctx, func() {
		defer close(next)
		p.recordVersion(r.base.version, r.base.number)
		if f, ok := p.proposeNext(current, r.tickets, r.fence); ok {
			bounded, cancel := p.c.leaseRunner.contextWithinLease(ctx)
			next <- proposedState{fleet: f, ctx: bounded, cancel: cancel}
		}
	})
	select {
	case n, ok := <-next:
		if ok {
			defer n.cancel()
			err := p.writeFleet(n.ctx, r.base.version, n.fleet)
			p.c.enqueueContext(ctx, func() { p.handleWriteResult(r.base.version, err) })
		}
	case <-ctx.Done():
	}
}

// minAppliedTicket returns the newest ticket that every balancer of the fleet
// has applied, 0 if it is not known. It reads the status objects only while
// addresses are being moved.
func (p *proposer) minAppliedTicket(ctx context.Context, f fleet.Fleet) uint64 {
	if len(f.MovedAddresses) == 0 {
		return 0
	}
	members := make(map[string]int)
	for _, m := range f.Members {
		members[m.Domain]++
	}
	lowest := f.Head.Number
	for domain, n := range members {
		s, err := ticket.LoadStatus(ctx, p.c.b.platform, domain)
		if err != nil || s.Members < n {
			return 0
		}
		lowest = min(lowest, s.Number)
	}
	return lowest
}

// loadConfig returns the configuration of a head. It reads the tickets that are
// newer than s or, if s has no configuration for its head, the snapshot of the
// accepted state.
func loadConfig(ctx context.Context, c ticket.Client, s rollout.State, head ticket.Head) (service.Config, error) {
	if s.Config.Number == 0 || s.Config.Number != s.Fleet.Head.Number {
		return ticket.LoadConfig(ctx, c, head)
	}
	known := ticket.State{Head: s.Fleet.Head, Config: s.Config}
	next, err := known.Load(ctx, c, head)
	return next.Config, err
}

// readHosts reads the platform's host list.
func (p *proposer) readHosts(ctx context.Context) error {
	hosts, err := p.c.b.platform.Hosts(ctx)
	if err != nil {
		return err
	}
	p.c.enqueueContext(ctx, func() {
		p.hostList.record(hosts)
		p.c.members.applyHostList(hosts)
	})
	return nil
}

// hasUnlisted reports whether the last host list lacks a live balancer of the
// local failure domain that is not in the fleet yet. It can join the fleet only
// once it is in the list.
func (p *proposer) hasUnlisted() bool {
	for _, e := range p.c.members.view.Entries {
		if p.isWaitingToJoin(e) && !p.hostList.contains(e.Member) {
			return true
		}
	}
	return false
}

// isWaitingToJoin reports whether an entry of the view is a live balancer of the
// local failure domain whose instance is not in the fleet yet.
func (p *proposer) isWaitingToJoin(e member.Entry) bool {
	old, known := p.c.fleet.Member(e.Name)
	return e.Domain == p.c.b.self.Domain && e.State == member.StateLive && (!known || old.Life < e.Life)
}

// proposeNext returns the state that follows current, and false if nothing
// changes. It runs on the control goroutine. It proposes nothing unless current
// is the state that this balancer has active and the lease has been held
// throughout the refresh.
func (p *proposer) proposeNext(current fleet.Fleet, tickets acceptedTickets, fence uint64) (fleet.Fleet, bool) {
	if held, ok := p.c.leaseRunner.holding(); !ok || held != fence || current.Number != p.c.fleet.Number {
		return fleet.Fleet{}, false
	}
	var moved []fleet.MovedAddress
	if tickets.head.Number > current.Head.Number {
		moved = fleet.MovedBetween(p.c.config, tickets.config)
	}
	return current.Next(fleet.Proposal{
		Domain:          p.c.b.self.Domain,
		Head:            tickets.head,
		MovedAddresses:  moved,
		Shares:          p.c.shareBalancer.proposal,
		MinActiveTicket: tickets.minApplied,
		Reports:         p.reports(),
		Health:          p.c.targets.agreedHealth,
		HoldersSettled:  p.areClaimHoldersSettled(),
	})
}

// reports returns what is known about the balancers of the local domain: those
// in the fleet, and new ones that are live and in the host list.
func (p *proposer) reports() []fleet.MemberReport {
	c := p.c
	var out []fleet.MemberReport
	for _, m := range c.fleet.Members {
		if m.Domain != c.b.self.Domain {
			continue
		}
		d, _ := c.statusReports.latest(m.Name, m.Life)
		out = append(out, fleet.MemberReport{
			Member:    m,
			Reachable: c.members.isReachable(m.Name, m.Life),
			Leaving:   d.Leaving,
			Ready:     c.statusReports.isReady(m),
		})
	}
	for _, e := range c.members.view.Entries {
		if p.isWaitingToJoin(e) && p.hostList.contains(e.Member) {
			out = append(out, fleet.MemberReport{Member: fleetMember(e.Member), Reachable: true})
		}
	}
	return out
}
