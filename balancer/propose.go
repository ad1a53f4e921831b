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
	// proposeInterval is how often a lease holder looks for changes.
	proposeInterval = 300 * time.Millisecond
	// baseWait is how long the watch of the fleet object may lag behind the state
	// in force before the object is read.
	baseWait = time.Second
	// holdersSettle is the time after which a set of holders may change although
	// some member has not said that it holds the claims of the one before.
	holdersSettle = 2 * time.Minute
)

// proposer changes the fleet object on behalf of a failure domain while this
// balancer holds the domain's lease.
type proposer struct {
	c       *control
	next    time.Duration
	running bool
	// tenure is the fencing number of the lease while it is held.
	tenure uint64
	// head follows the accepted tickets. newest is what it gave, if it is known.
	head   *follower
	newest ticket.Head
	known  bool
	// base is the fleet object that was read last, and baseAt the earliest time
	// at which it may be read apart from the watch.
	base    fleetBase
	baseAt  time.Duration
	lagging bool
	listing listing
	// holders and since are the newest set of holders seen and when.
	holders uint64
	since   time.Duration
	status  ticket.Status
}

func newProposer(c *control) *proposer {
	p := &proposer{c: c}
	p.head = &follower{c: c, path: ticket.HeadPath, take: p.takeHead}
	return p
}

// tick starts one look if it is time for it.
func (p *proposer) tick(ctx context.Context) {
	now := p.c.b.now()
	fence, holding := p.c.lease.holding()
	if !holding {
		p.end()
		return
	}
	p.begin(ctx, fence)
	if p.running || !p.known || now < p.next {
		return
	}
	p.next = now + proposeInterval
	read := !p.based()
	if read && !p.mayRead(now) {
		return
	}
	p.running = true
	l := look{
		fence: fence,
		known: rollout.State{Fleet: p.c.fleet, Config: p.c.config},
		seen:  accepted{head: p.newest},
		base:  p.base,
		read:  read,
		list:  p.listing.due(now, p.unlisted()),
	}
	go p.look(ctx, l)
}

// begin starts what a holder keeps up with.
func (p *proposer) begin(ctx context.Context, fence uint64) {
	if p.tenure != fence {
		p.end()
		p.tenure = fence
		p.listing.began(p.c.b.now())
	}
	p.head.start(ctx)
}

// end stops it.
func (p *proposer) end() {
	p.head.stop()
	p.tenure, p.known = 0, false
}

// takeHead takes a newer head. One that cannot be read is left to the operators
// and their next ticket.
func (p *proposer) takeHead(o platform.Object) {
	h, err := ticket.ParseHead(o.Value)
	if err != nil {
		p.c.b.log.WithError(err).Error("platform holds a head that cannot be read")
		return
	}
	p.newest, p.known = h, true
}

// adopted notes when the set of holders changed.
func (p *proposer) adopted() {
	if n := p.c.fleet.ClaimHolders.Number; n != p.holders {
		p.holders = n
		p.since = p.c.b.now()
	}
}

// holdersSettled says whether every live holder holds the claims of the set
// before, so that the set may change again: a change that comes earlier leaves
// the claims to the repeat window, and POSTs without an answer until then.
func (p *proposer) holdersSettled() bool {
	c := p.c
	if c.b.now()-p.since >= holdersSettle {
		return true
	}
	for _, h := range c.fleet.ClaimHolders.Members {
		d, ok := c.duties.of(h.Name, h.Life)
		if c.members.alive(h.Name, h.Life) && (!ok || d.Claims < c.fleet.ClaimHolders.Number) {
			return false
		}
	}
	return true
}

// look is one look at what a holder may change, and what was known at its start.
type look struct {
	fence uint64
	known rollout.State
	seen  accepted
	base  fleetBase
	// read says to read the fleet object, list to read the list of hosts.
	read, list bool
}

// accepted is what a proposer has read of the tickets.
type accepted struct {
	head ticket.Head
	// config is the configuration at head, if it is newer than the fleet's.
	config service.Config
	// applied is the lowest ticket that every balancer has in force.
	applied uint64
}

// proposed is a state to write while ctx lasts.
type proposed struct {
	fleet  fleet.Fleet
	ctx    context.Context
	cancel context.CancelFunc
}

// look reads what is missing and proposes the next state.
func (p *proposer) look(ctx context.Context, l look) {
	defer p.c.post(ctx, func() { p.running = false })
	var err error
	if l.list {
		if err = p.list(ctx); err != nil {
			return
		}
	}
	current := l.known.Fleet
	if l.read {
		if current, l.base, err = p.readFleet(ctx); err != nil {
			return
		}
	}
	l.seen.applied = p.applied(ctx, current)
	if l.seen.head.Number > current.Head.Number {
		if l.seen.config, err = loadConfig(ctx, p.c.b.platform, l.known, l.seen.head); err != nil {
			return
		}
	}
	next := make(chan proposed, 1)
	p.c.post(ctx, func() {
		defer close(next)
		p.fetched(l.base.version, l.base.number)
		if f, ok := p.proposeNext(current, l.seen, l.fence); ok {
			bounded, cancel := p.c.lease.within(ctx)
			next <- proposed{fleet: f, ctx: bounded, cancel: cancel}
		}
	})
	select {
	case n, ok := <-next:
		if ok {
			defer n.cancel()
			err := p.write(n.ctx, l.base.version, n.fleet)
			p.c.post(ctx, func() { p.wrote(l.base.version, err) })
		}
	case <-ctx.Done():
	}
}

// applied returns the lowest ticket that every balancer of the fleet has in
// force, 0 if that is not known. It is read only while addresses are moved.
func (p *proposer) applied(ctx context.Context, f fleet.Fleet) uint64 {
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
// newer than s, and without a configuration the folded object.
func loadConfig(ctx context.Context, c ticket.Client, s rollout.State, head ticket.Head) (service.Config, error) {
	if s.Config.Number == 0 || s.Config.Number != s.Fleet.Head.Number {
		return ticket.LoadConfig(ctx, c, head)
	}
	known := ticket.State{Head: s.Fleet.Head, Config: s.Config}
	next, err := known.Load(ctx, c, head)
	return next.Config, err
}

// list reads the platform's list.
func (p *proposer) list(ctx context.Context) error {
	hosts, err := p.c.b.platform.Hosts(ctx)
	if err != nil {
		return err
	}
	p.c.post(ctx, func() {
		p.listing.take(hosts)
		p.c.members.hosts(hosts)
	})
	return nil
}

// unlisted says whether a balancer of the own domain waits for the list to show
// it, so that it may join.
func (p *proposer) unlisted() bool {
	for _, e := range p.c.members.view.Entries {
		if p.joins(e) && !p.listing.shows(e.Member) {
			return true
		}
	}
	return false
}

// joins says whether a member of the view is a live balancer of the own domain
// in a life that the fleet does not have.
func (p *proposer) joins(e member.Entry) bool {
	old, known := p.c.fleet.Member(e.Name)
	return e.Domain == p.c.b.self.Domain && e.State == member.StateLive && (!known || old.Life < e.Life)
}

// proposeNext returns the state that follows current, and false if it stays. It
// runs on the control goroutine. What this balancer does not follow yet it
// does not change.
func (p *proposer) proposeNext(current fleet.Fleet, seen accepted, fence uint64) (fleet.Fleet, bool) {
	if held, ok := p.c.lease.holding(); !ok || held != fence || current.Number != p.c.fleet.Number {
		return fleet.Fleet{}, false
	}
	var moved []fleet.MovedAddress
	if seen.head.Number > current.Head.Number {
		moved = fleet.MovedBetween(p.c.config, seen.config)
	}
	return current.Next(fleet.Proposal{
		Domain:           p.c.b.self.Domain,
		Head:             seen.head,
		MovedAddresses:   moved,
		Shares:           p.c.shares.proposal,
		MinAppliedTicket: seen.applied,
		Reports:          p.reports(),
		Health:           p.c.targets.health,
		HoldersSettled:   p.holdersSettled(),
	})
}

// reports returns what is known about the balancers of the own domain: those
// in the fleet, and new ones that answer and that the platform lists.
func (p *proposer) reports() []fleet.Report {
	c := p.c
	var out []fleet.Report
	for _, m := range c.fleet.Members {
		if m.Domain != c.b.self.Domain {
			continue
		}
		d, _ := c.duties.of(m.Name, m.Life)
		out = append(out, fleet.Report{
			Member:  m,
			Alive:   c.members.alive(m.Name, m.Life),
			Leaving: d.Leaving,
			Ready:   c.duties.ready(m),
		})
	}
	for _, e := range c.members.view.Entries {
		if p.joins(e) && p.listing.shows(e.Member) {
			out = append(out, fleet.Report{Member: fleetMember(e.Member), Alive: true})
		}
	}
	return out
}
