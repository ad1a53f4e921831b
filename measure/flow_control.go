package measure

import (
	"maps"
	"time"

	"wisteriaweir/flow"
	"wisteriaweir/service"
)

// flowController simulates the platform and the balancer that holds its lease: it
// publishes numbered epochs, and changes members and shares.
type flowController struct {
	sim    *FlowSimulation
	config service.Config
	// shares holds the shares by the last rebalance; a target that is not listed has
	// the share of its weight.
	shares map[flow.TargetID]int
	// newestNumber is the number of newestEpoch.
	newestNumber uint64
	newestEpoch  *flow.Epoch
	// downTargets holds the targets that are marked as down, drainedAt the times at which
	// drains began.
	downTargets      map[flow.TargetID]bool
	drainedAt        map[flow.TargetID]time.Duration
	rebalanceStopped bool
	locations        map[flow.TargetID]targetLocation
}

const (
	// suspectTimeout is the time after which a stopped or paused balancer is
	// considered unreachable.
	suspectTimeout = 2 * time.Second
	// removeTimeout is the time after which a stopped or paused balancer is removed
	// from the members.
	removeTimeout = 6 * time.Second
	// targetDownDelay is the time after which a stopped target is marked as down.
	targetDownDelay = 2 * time.Second
	// recentFlowWindow is the longest time since the last activity of a flow that
	// counts as in use.
	recentFlowWindow = 30 * time.Second
	// loadEntryBytes is the size of one target in a load report.
	loadEntryBytes = 6
	// maxRebalancedFlows is the approximate number of flows that one change of the
	// shares may pin.
	maxRebalancedFlows = 1500
)

func newFlowController(f *FlowSimulation) flowController {
	var services []service.Service
	for i, n := range f.cfg.TargetsPerService {
		services = append(services, f.newService(i, n))
	}
	return flowController{
		sim: f, config: service.Config{}.WithServices(services),
		shares: make(map[flow.TargetID]int), downTargets: make(map[flow.TargetID]bool),
		drainedAt: make(map[flow.TargetID]time.Duration), locations: make(map[flow.TargetID]targetLocation),
	}
}

// publish makes the next epoch and delivers it to each balancer with a random delay of
// up to MaxUpdateDelay; the first epoch has no delay.
func (c *flowController) publish(cfg service.Config) {
	c.newestNumber++
	c.config = cfg.WithNumber(c.newestNumber)
	for i, s := range c.config.Services {
		for _, t := range s.Pool {
			c.locations[flow.NewTargetID(s.Name, t.Name)] = targetLocation{service: i, domain: t.Domain}
		}
	}
	var members []flow.Member
	for _, h := range c.sim.hosts {
		if h.isMember() {
			members = append(members, flow.Member{Name: h.name, Life: h.life, State: h.state})
		}
	}
	c.newestEpoch = flow.NewEpoch(flow.EpochConfig{
		Number: c.newestNumber, Config: c.config, Members: members, Shares: c.shares, DownTargets: c.downTargets,
	}, c.newestEpoch)
	for _, h := range c.sim.hosts {
		d := time.Duration(0)
		if c.newestNumber > 1 && c.sim.cfg.MaxUpdateDelay > 0 {
			d = time.Duration(c.sim.rng.Int64N(int64(c.sim.cfg.MaxUpdateDelay)))
		}
		h.deliverEpoch(c.newestEpoch, d)
	}
}

// stateRemoved is the state of a balancer that is not a member.
const stateRemoved flow.State = -1

// isMember reports whether the balancer is one of the members, in any state.
func (h *flowHost) isMember() bool { return h.state != stateRemoved }

// updateMembers runs each second. It marks balancers that are down as unreachable and
// then removes them, re-adds those that are running again, and completes the joining
// and the leaving of others.
func (c *flowController) updateMembers() {
	now := c.sim.tl.Now()
	membersChanged, reachabilityChanged := false, false
	for _, h := range c.sim.hosts {
		switch {
		case !h.isUp() && h.isMember():
			if h.isReachable && now-h.downSince >= suspectTimeout {
				h.isReachable, reachabilityChanged = false, true
				c.sim.removeFromFabric(h)
			}
			if now-h.downSince >= removeTimeout {
				h.state, membersChanged = stateRemoved, true
			}
		case h.isUp() && h.state == stateRemoved && !h.isReachable:
			h.state, h.isReachable, membersChanged, reachabilityChanged = flow.Joining, true, true, true
		case h.isUp() && !h.isReachable:
			h.isReachable, reachabilityChanged = true, true
			c.sim.inFabric = append(c.sim.inFabric, h)
		case h.isUp() && h.state == flow.Joining && h.isReady(c.newestNumber):
			h.state, membersChanged = flow.Active, true
			c.sim.inFabric = append(c.sim.inFabric, h)
		case h.state == flow.Leaving && h.hasConverged(c.newestNumber) && h.hasHandedOver(c.newestNumber):
			h.state, membersChanged = stateRemoved, true
			h.dead, h.isReachable = true, true
		}
	}
	if reachabilityChanged {
		c.sendReachability()
	}
	if membersChanged {
		c.publish(c.config)
	}
	c.recordByteRates()
}

// hasHandedOver reports whether a leaving balancer has queued its flows for their
// owners or, with StrategyOwner and StrategyOwnerCache, has the epoch with a number
// and no reports to send. The other strategies hand nothing over.
func (h *flowHost) hasHandedOver(number uint64) bool {
	if h.ownerTable != nil {
		return h.ownerTable.isIdle(number)
	}
	return h.epochs == nil || h.epochs.Status().HandedOver
}

// isReady reports whether a joining balancer has received the pins of the others and
// the epoch with a number.
func (h *flowHost) isReady(number uint64) bool {
	if h.epochs == nil {
		return true
	}
	s := h.epochs.Status()
	return s.Ready && s.Newest == number
}

// hasConverged reports whether the balancer has the epoch with a number as its only
// live one and no pins or flows to send.
func (h *flowHost) hasConverged(number uint64) bool {
	if h.epochs == nil {
		return true
	}
	s := h.epochs.Status()
	return s.Newest == number && s.Live == 1 && s.Waiting == 0
}

// sendReachability sends every balancer the members that it cannot reach, and the
// targets that it cannot reach or that are marked as down.
func (c *flowController) sendReachability() {
	for _, h := range c.sim.hosts {
		if h.epochs == nil || h.dead {
			continue
		}
		e := flow.ReachabilityEvent{Unreachable: make(map[string]bool), Excluded: make(map[flow.TargetID]bool)}
		for _, o := range c.sim.hosts {
			if !o.isReachable || c.sim.isPartitioned(h.domain, o.domain) {
				e.Unreachable[o.name] = true
			}
		}
		for id, t := range c.targets() {
			if c.sim.isPartitioned(h.domain, t.Domain) || c.downTargets[id] {
				e.Excluded[id] = true
			}
		}
		h.receive(func() { h.handle(e) })
	}
}

// targets returns all configured targets.
func (c *flowController) targets() map[flow.TargetID]service.Target {
	out := make(map[flow.TargetID]service.Target)
	for _, s := range c.config.Services {
		for _, t := range s.Pool {
			out[flow.NewTargetID(s.Name, t.Name)] = t
		}
	}
	return out
}

// rebalance collects the numbers of recent flows from all running members and publishes
// the new shares, if they differ. It does nothing before the newest epoch has converged,
// after StopRebalance, and with strategies other than StrategyPins.
func (c *flowController) rebalance() {
	if c.rebalanceStopped || c.sim.cfg.Strategy != StrategyPins || !c.hasConverged() {
		return
	}
	recent := make(map[flow.TargetID]int)
	for _, h := range c.sim.hosts {
		if !h.isUp() || !h.isMember() {
			continue
		}
		counts := h.shard.CountRecentFlows(c.sim.tl.Now(), recentFlowWindow)
		for id, n := range counts {
			recent[id] += n
		}
		h.extraBytes += uint64(len(counts) * loadEntryBytes)
	}
	next := make(map[flow.TargetID]int)
	for _, s := range c.config.Services {
		maps.Copy(next, flow.Rebalance(c.targetLoads(s, recent), maxRebalancedFlows))
	}
	if !maps.Equal(next, c.shares) {
		c.shares = next
		c.publish(c.config)
	}
}

// hasConverged reports whether all active, running balancers have converged on the
// newest epoch.
func (c *flowController) hasConverged() bool {
	for _, h := range c.sim.hosts {
		if h.isUp() && h.state == flow.Active && !h.hasConverged(c.newestNumber) {
			return false
		}
	}
	return true
}

// targetLoads returns the loads of the targets of s that accept new flows.
func (c *flowController) targetLoads(s service.Service, recent map[flow.TargetID]int) []flow.TargetLoad {
	var out []flow.TargetLoad
	for i, t := range s.Pool {
		id := flow.NewTargetID(s.Name, t.Name)
		if t.Draining || c.downTargets[id] {
			continue
		}
		l := flow.TargetLoad{Target: id, Weight: t.Weight, Share: c.share(id, t), ObservedFlows: recent[id], ReportedFlows: c.sim.traffic.openFlows[id]}
		if c.sim.cfg.MisreportsLoad {
			l.ReportedFlows = i % 3 * c.sim.cfg.FlowsPerTarget
		}
		out = append(out, l)
	}
	return out
}

// share returns the current share of a target.
func (c *flowController) share(id flow.TargetID, t service.Target) int {
	if n, ok := c.shares[id]; ok {
		return n
	}
	return t.Weight * flow.ShareUnit
}

// recordByteRates runs each second and updates the highest bytes per second of each
// balancer.
func (c *flowController) recordByteRates() {
	for _, h := range c.sim.hosts {
		n := h.sentBytes()
		h.maxBytesPerSecond = max(h.maxBytesPerSecond, n-h.countedBytes)
		h.countedBytes = n
	}
}
