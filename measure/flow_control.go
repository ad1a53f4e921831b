package measure

import (
	"maps"
	"time"

	"wisteriaweir/flow"
	"wisteriaweir/service"
)

// flowControl stands in for the platform and for the holder of its lease: it
// numbers the epochs and changes members.
type flowControl struct {
	fleet   *FlowSimulation
	config  service.Config
	shares  map[flow.TargetID]int
	number  uint64
	newest  *flow.Epoch
	gone    map[flow.TargetID]bool
	drained map[flow.TargetID]time.Duration
	still   bool
	places  map[flow.TargetID]place
}

// Times of the stand-ins.
const (
	suspectAfter  = 2 * time.Second
	removeAfter   = 6 * time.Second
	targetDownFor = 2 * time.Second
	seenWithin    = 30 * time.Second
	loadEntrySize = 6
	rebalancePins = 1500
)

func newFlowControl(f *FlowSimulation) flowControl {
	var services []service.Service
	for i, n := range f.cfg.Pools {
		services = append(services, f.newService(i, n))
	}
	return flowControl{
		fleet: f, config: service.Config{}.WithServices(services),
		shares: make(map[flow.TargetID]int), gone: make(map[flow.TargetID]bool),
		drained: make(map[flow.TargetID]time.Duration), places: make(map[flow.TargetID]place),
	}
}

// publish makes the next epoch and hands it to every balancer, unevenly.
func (c *flowControl) publish(cfg service.Config) {
	c.number++
	c.config = cfg.WithNumber(c.number)
	for i, s := range c.config.Services {
		for _, t := range s.Pool {
			c.places[flow.NewTargetID(s.Name, t.Name)] = place{service: i, domain: t.Domain}
		}
	}
	var members []flow.Member
	for _, h := range c.fleet.hosts {
		if h.member() {
			members = append(members, flow.Member{Name: h.name, Life: h.life, State: h.state})
		}
	}
	c.newest = flow.NewEpoch(flow.EpochConfig{
		Number: c.number, Config: c.config, Members: members, Shares: c.shares, Down: c.gone,
	}, c.newest)
	for _, h := range c.fleet.hosts {
		d := time.Duration(0)
		if c.number > 1 && c.fleet.cfg.MaxUpdateDelay > 0 {
			d = time.Duration(c.fleet.rng.Int64N(int64(c.fleet.cfg.MaxUpdateDelay)))
		}
		h.offer(c.newest, d)
	}
}

// stateGone is the state of a host that is no member.
const stateGone flow.State = -1

func (h *flowHost) member() bool { return h.state != stateGone }

// watch suspects and removes balancers that are down, takes back those that
// came up again, and moves joining and leaving ones on.
func (c *flowControl) watch() {
	now := c.fleet.tl.Now()
	changed, suspects := false, false
	for _, h := range c.fleet.hosts {
		switch {
		case !h.up() && h.member():
			if h.reachable && now-h.downSince >= suspectAfter {
				h.reachable, suspects = false, true
				c.fleet.unspray(h)
			}
			if now-h.downSince >= removeAfter {
				h.state, changed = stateGone, true
			}
		case h.up() && h.state == stateGone && !h.reachable:
			h.state, h.reachable, changed, suspects = flow.Joining, true, true, true
		case h.up() && !h.reachable:
			h.reachable, suspects = true, true
			c.fleet.sprayed = append(c.fleet.sprayed, h)
		case h.up() && h.state == flow.Joining && h.ready(c.number):
			h.state, changed = flow.Active, true
			c.fleet.sprayed = append(c.fleet.sprayed, h)
		case h.state == flow.Leaving && h.settled(c.number) && h.handedOver(c.number):
			h.state, changed = stateGone, true
			h.dead, h.reachable = true, true
		}
	}
	if suspects {
		c.tellReach()
	}
	if changed {
		c.publish(c.config)
	}
	c.countBytes()
}

func (h *flowHost) handedOver(number uint64) bool {
	if h.homes != nil {
		return h.homes.idle(number)
	}
	return h.gen == nil || h.gen.Status().HandedOver
}

// ready reports whether a joining host holds the pins of the others.
func (h *flowHost) ready(number uint64) bool {
	if h.gen == nil {
		return true
	}
	s := h.gen.Status()
	return s.Ready && s.Newest == number
}

// settled reports whether nothing is left that the host has to tell.
func (h *flowHost) settled(number uint64) bool {
	if h.gen == nil {
		return true
	}
	s := h.gen.Status()
	return s.Newest == number && s.Live == 1 && s.Waiting == 0
}

// tellReach tells every balancer which members and targets it cannot reach.
func (c *flowControl) tellReach() {
	for _, h := range c.fleet.hosts {
		if h.gen == nil || h.dead {
			continue
		}
		e := flow.ReachabilityEvent{Unreachable: make(map[string]bool), Excluded: make(map[flow.TargetID]bool)}
		for _, o := range c.fleet.hosts {
			if !o.reachable || c.fleet.parted(h.domain, o.domain) {
				e.Unreachable[o.name] = true
			}
		}
		for id, t := range c.targets() {
			if c.fleet.parted(h.domain, t.Domain) || c.gone[id] {
				e.Excluded[id] = true
			}
		}
		h.receive(func() { h.handle(e) })
	}
}

// targets returns every target by its identity.
func (c *flowControl) targets() map[flow.TargetID]service.Target {
	out := make(map[flow.TargetID]service.Target)
	for _, s := range c.config.Services {
		for _, t := range s.Pool {
			out[flow.NewTargetID(s.Name, t.Name)] = t
		}
	}
	return out
}

// rebalance gathers what the balancers saw and changes the shares.
func (c *flowControl) rebalance() {
	if c.still || c.fleet.cfg.Strategy != StrategyPins || !c.settled() {
		return
	}
	seen := make(map[flow.TargetID]int)
	for _, h := range c.fleet.hosts {
		if !h.up() || !h.member() {
			continue
		}
		counts := h.shard.CountRecentFlows(c.fleet.tl.Now(), seenWithin)
		for id, n := range counts {
			seen[id] += n
		}
		h.extra += uint64(len(counts) * loadEntrySize)
	}
	next := make(map[flow.TargetID]int)
	for _, s := range c.config.Services {
		maps.Copy(next, flow.Rebalance(c.loads(s, seen), rebalancePins))
	}
	if !maps.Equal(next, c.shares) {
		c.shares = next
		c.publish(c.config)
	}
}

// settled reports whether no balancer has to tell anything.
func (c *flowControl) settled() bool {
	for _, h := range c.fleet.hosts {
		if h.up() && h.state == flow.Active && !h.settled(c.number) {
			return false
		}
	}
	return true
}

func (c *flowControl) loads(s service.Service, seen map[flow.TargetID]int) []flow.TargetLoad {
	var out []flow.TargetLoad
	for i, t := range s.Pool {
		id := flow.NewTargetID(s.Name, t.Name)
		if t.Drain || c.gone[id] {
			continue
		}
		l := flow.TargetLoad{Target: id, Weight: t.Weight, Share: c.share(id, t), ObservedFlows: seen[id], ReportedFlows: c.fleet.traffic.open[id]}
		if c.fleet.cfg.MisreportsLoad {
			l.ReportedFlows = i % 3 * c.fleet.cfg.FlowsPerTarget
		}
		out = append(out, l)
	}
	return out
}

func (c *flowControl) share(id flow.TargetID, t service.Target) int {
	if n, ok := c.shares[id]; ok {
		return n
	}
	return t.Weight * flow.ShareUnit
}

// countBytes notes the worst second of each balancer.
func (c *flowControl) countBytes() {
	for _, h := range c.fleet.hosts {
		n := h.sent()
		h.worst = max(h.worst, n-h.sentAt)
		h.sentAt = n
	}
}
