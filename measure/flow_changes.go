package measure

import (
	"fmt"
	"time"

	"wisteriaweir/flow"
)

// targetLocation is the service and the failure domain of a target.
type targetLocation struct {
	service int
	domain  string
}

// location returns the service and the failure domain of a target, and false for a
// target that was never configured.
func (c *flowController) location(id flow.TargetID) (targetLocation, bool) {
	location, ok := c.locations[id]
	return location, ok
}

// Drain starts to drain target j of service i, so that no new flows are opened on it.
// Like Undrain and StopTarget, it has no effect if service i has no target j.
func (f *FlowSimulation) Drain(i, j int) {
	s := f.ctl.config.Services[i]
	if j >= len(s.Pool) {
		return
	}
	t := s.Pool[j]
	t.Draining = true
	f.ctl.drainedAt[flow.NewTargetID(s.Name, t.Name)] = f.tl.Now()
	f.ctl.publish(f.ctl.config.WithService(s.WithTarget(t)))
}

// Undrain ends the drain of target j of service i.
func (f *FlowSimulation) Undrain(i, j int) {
	s := f.ctl.config.Services[i]
	if j >= len(s.Pool) {
		return
	}
	t := s.Pool[j]
	t.Draining = false
	delete(f.ctl.drainedAt, flow.NewTargetID(s.Name, t.Name))
	f.ctl.publish(f.ctl.config.WithService(s.WithTarget(t)))
}

// AddTarget adds a target to service i.
func (f *FlowSimulation) AddTarget(i int) {
	s := f.ctl.config.Services[i]
	f.ctl.publish(f.ctl.config.WithService(s.WithTarget(f.newTarget(i, len(s.Pool)))))
}

// StopTarget crashes target j of service i. It is marked as down after
// targetDownDelay.
func (f *FlowSimulation) StopTarget(i, j int) {
	s := f.ctl.config.Services[i]
	if j >= len(s.Pool) {
		return
	}
	id := flow.NewTargetID(s.Name, s.Pool[j].Name)
	f.hasFaults = true
	f.deadTargets[id] = true
	f.tl.After(targetDownDelay, func() {
		f.ctl.downTargets[id] = true
		f.ctl.publish(f.ctl.config)
	})
}

// Join starts another balancer, which joins the fleet.
func (f *FlowSimulation) Join() {
	f.addHost(len(f.hosts), flow.Joining)
	f.ctl.publish(f.ctl.config)
}

// fabricUpdateDelay is the time until the fabric sends no more datagrams to a leaving
// balancer.
const fabricUpdateDelay = 2 * time.Second

// ShutDownBalancer starts the planned shutdown of balancer i, modulo the number of
// balancers. Like CrashBalancer and PauseBalancer it has no effect if the balancer is
// not active and running, or if fewer than 3 balancers are active and running.
func (f *FlowSimulation) ShutDownBalancer(i int) {
	h := f.hosts[i%len(f.hosts)]
	if h.state != flow.Active || !h.isUp() || f.activeBalancers() < 3 {
		return
	}
	h.state = flow.Leaving
	f.tl.After(fabricUpdateDelay, func() { f.removeFromFabric(h) })
	f.ctl.publish(f.ctl.config)
}

// activeBalancers returns the number of balancers that are active and running.
func (f *FlowSimulation) activeBalancers() int {
	n := 0
	for _, h := range f.hosts {
		if h.state == flow.Active && h.isUp() {
			n++
		}
	}
	return n
}

// CrashBalancer stops balancer i, modulo the number of balancers, without notice.
func (f *FlowSimulation) CrashBalancer(i int) {
	h := f.hosts[i%len(f.hosts)]
	if h.state != flow.Active || !h.isUp() || f.activeBalancers() < 3 {
		return
	}
	f.hasFaults = true
	h.dead, h.downSince = true, f.tl.Now()
}

// PauseBalancer pauses balancer i, modulo the number of balancers, for d.
func (f *FlowSimulation) PauseBalancer(i int, d time.Duration) {
	h := f.hosts[i%len(f.hosts)]
	if h.state != flow.Active || !h.isUp() || f.activeBalancers() < 3 {
		return
	}
	f.hasFaults = true
	h.paused, h.downSince = true, f.tl.Now()
	f.tl.After(d, h.resume)
}

// PartitionDomain partitions a failure domain from the others for d. Messages between
// the two sides are lost, and so are datagrams from a balancer on one side to a target
// on the other. Callers still reach the balancers on both sides. Balancers learn of the
// beginning and of the end of the partition after suspectTimeout.
func (f *FlowSimulation) PartitionDomain(domain int, d time.Duration) {
	f.hasFaults = true
	f.partitionedDomain = fmt.Sprintf("d%d", domain)
	f.tl.After(suspectTimeout, f.ctl.sendReachability)
	f.tl.After(d, func() {
		f.partitionedDomain = ""
		f.tl.After(suspectTimeout, f.ctl.sendReachability)
	})
}

// StopReplies permanently stops the replies of each n-th open flow. The callers of
// these flows continue to send.
func (f *FlowSimulation) StopReplies(n int) {
	f.hasFaults = true
	count := 0
	for _, bucket := range f.traffic.timerWheel {
		for _, s := range bucket {
			if !s.isOpen || s.ended || s.repliesStopped {
				continue
			}
			if count++; count%n == 0 {
				s.repliesStopped = true
				f.Count.Silent++
			}
		}
	}
}

// OpenFlowBurst opens n flows of a service at random times within d, each from a
// caller address of its own.
func (f *FlowSimulation) OpenFlowBurst(service, n int, d time.Duration) {
	for range n {
		f.traffic.scheduleFlow(service, time.Duration(f.rng.Int64N(int64(d))))
	}
}

// StopRebalance stops the periodic changes of the shares.
func (f *FlowSimulation) StopRebalance() {
	f.ctl.rebalanceStopped = true
}

// HasConverged reports whether each active, running balancer has the newest epoch as its
// only live one and no pins or flows to send to other balancers.
func (f *FlowSimulation) HasConverged() bool {
	return f.ctl.hasConverged()
}

// Imbalance returns the highest number of open flows on one target divided by the mean
// over all targets of its service, for the service in which this ratio is highest. It
// leaves out targets that drain, are down or have stopped.
func (f *FlowSimulation) Imbalance() float64 {
	worst := 0.0
	for i, s := range f.ctl.config.Services {
		highest, sum, n := 0, 0, 0
		for _, t := range s.Pool {
			id := flow.NewTargetID(s.Name, t.Name)
			if t.Draining || f.ctl.downTargets[id] || f.deadTargets[id] {
				continue
			}
			highest, sum, n = max(highest, f.traffic.openFlows[id]), sum+f.traffic.openFlows[id], n+1
		}
		if sum > 0 && f.cfg.TargetsPerService[i] > 0 {
			worst = max(worst, float64(highest)*float64(n)/float64(sum))
		}
	}
	return worst
}

// ControlBytesPerSecond returns the control bytes that a balancer sends in a second:
// the mean over all balancers and the time so far, and the highest value of one
// balancer in one second.
func (f *FlowSimulation) ControlBytesPerSecond() (mean, worst float64) {
	for _, h := range f.hosts {
		mean += float64(h.sentBytes())
		worst = max(worst, float64(h.maxBytesPerSecond))
	}
	return mean / float64(len(f.hosts)) / f.tl.Now().Seconds(), worst
}

// Open returns the number of open flows of all services.
func (f *FlowSimulation) Open() int {
	n := 0
	for _, o := range f.traffic.openFlows {
		n += o
	}
	return n
}
