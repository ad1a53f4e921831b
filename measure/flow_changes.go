package measure

import (
	"fmt"
	"time"

	"wisteriaweir/flow"
)

// place is where a target runs.
type place struct {
	service int
	domain  string
}

// home returns the place of a target.
func (c *flowControl) home(id flow.TargetID) (place, bool) {
	p, ok := c.places[id]
	return p, ok
}

// Drain makes target j of a service take nothing new.
func (f *FlowSimulation) Drain(i, j int) {
	s := f.ctl.config.Services[i]
	if j >= len(s.Pool) {
		return
	}
	t := s.Pool[j]
	t.Drain = true
	f.ctl.drained[flow.NewTargetID(s.Name, t.Name)] = f.tl.Now()
	f.ctl.publish(f.ctl.config.WithService(s.WithTarget(t)))
}

// Undrain makes target j of a service take new flows again.
func (f *FlowSimulation) Undrain(i, j int) {
	s := f.ctl.config.Services[i]
	if j >= len(s.Pool) {
		return
	}
	t := s.Pool[j]
	t.Drain = false
	delete(f.ctl.drained, flow.NewTargetID(s.Name, t.Name))
	f.ctl.publish(f.ctl.config.WithService(s.WithTarget(t)))
}

// AddTarget adds a target to a service.
func (f *FlowSimulation) AddTarget(i int) {
	s := f.ctl.config.Services[i]
	f.ctl.publish(f.ctl.config.WithService(s.WithTarget(f.newTarget(i, len(s.Pool)))))
}

// StopTarget lets target j of a service die. It is taken out a little later.
func (f *FlowSimulation) StopTarget(i, j int) {
	s := f.ctl.config.Services[i]
	if j >= len(s.Pool) {
		return
	}
	id := flow.NewTargetID(s.Name, s.Pool[j].Name)
	f.faults = true
	f.dead[id] = true
	f.tl.After(targetDownFor, func() {
		f.ctl.gone[id] = true
		f.ctl.publish(f.ctl.config)
	})
}

// Join starts another balancer.
func (f *FlowSimulation) Join() {
	f.addHost(len(f.hosts), flow.Joining)
	f.ctl.publish(f.ctl.config)
}

// fabricLag is the time until the fabric spares a leaving balancer.
const fabricLag = 2 * time.Second

// ShutDownBalancer lets balancer i leave as planned.
func (f *FlowSimulation) ShutDownBalancer(i int) {
	h := f.hosts[i%len(f.hosts)]
	if h.state != flow.Active || !h.up() || f.active() < 3 {
		return
	}
	h.state = flow.Leaving
	f.tl.After(fabricLag, func() { f.unspray(h) })
	f.ctl.publish(f.ctl.config)
}

func (f *FlowSimulation) active() int {
	n := 0
	for _, h := range f.hosts {
		if h.state == flow.Active && h.up() {
			n++
		}
	}
	return n
}

// CrashBalancer stops balancer i without notice.
func (f *FlowSimulation) CrashBalancer(i int) {
	h := f.hosts[i%len(f.hosts)]
	if h.state != flow.Active || !h.up() || f.active() < 3 {
		return
	}
	f.faults = true
	h.dead, h.downSince = true, f.tl.Now()
}

// PauseBalancer pauses balancer i for d.
func (f *FlowSimulation) PauseBalancer(i int, d time.Duration) {
	h := f.hosts[i%len(f.hosts)]
	if h.state != flow.Active || !h.up() || f.active() < 3 {
		return
	}
	f.faults = true
	h.frozen, h.downSince = true, f.tl.Now()
	f.tl.After(d, h.thaw)
}

// PartitionDomain parts a failure domain from the others for d. Callers reach balancers on
// their own side only, and half of the traffic stays with each side's targets.
func (f *FlowSimulation) PartitionDomain(domain int, d time.Duration) {
	f.faults = true
	f.cut = fmt.Sprintf("d%d", domain)
	f.tl.After(suspectAfter, f.ctl.tellReach)
	f.tl.After(d, func() {
		f.cut = ""
		f.tl.After(suspectAfter, f.ctl.tellReach)
	})
}

// StopReplies stops the replies of each n-th open flow for good. Its caller goes on
// sending.
func (f *FlowSimulation) StopReplies(n int) {
	f.faults = true
	count := 0
	for _, bucket := range f.traffic.ring {
		for _, s := range bucket {
			if !s.open || s.ended || s.silent {
				continue
			}
			if count++; count%n == 0 {
				s.silent = true
				f.Count.Silent++
			}
		}
	}
}

// OpenFlowBurst opens n flows of a service from a few callers within d.
func (f *FlowSimulation) OpenFlowBurst(service, n int, d time.Duration) {
	for range n {
		f.traffic.start(service, time.Duration(f.rng.Int64N(int64(d))))
	}
}

// StopRebalance leaves the shares as they are.
func (f *FlowSimulation) StopRebalance() {
	f.ctl.still = true
}

// Settled reports whether every balancer has one live epoch, the newest, and
// nothing to tell.
func (f *FlowSimulation) Settled() bool {
	return f.ctl.settled()
}

// Imbalance returns the highest number of open flows of an eligible target over
// the mean, for the worst of the services.
func (f *FlowSimulation) Imbalance() float64 {
	worst := 0.0
	for i, s := range f.ctl.config.Services {
		most, sum, n := 0, 0, 0
		for _, t := range s.Pool {
			id := flow.NewTargetID(s.Name, t.Name)
			if t.Drain || f.ctl.gone[id] || f.dead[id] {
				continue
			}
			most, sum, n = max(most, f.traffic.open[id]), sum+f.traffic.open[id], n+1
		}
		if sum > 0 && f.cfg.Pools[i] > 0 {
			worst = max(worst, float64(most)*float64(n)/float64(sum))
		}
	}
	return worst
}

// ControlBytesPerSecond returns the control bytes a second of each balancer: the mean, and the
// worst second.
func (f *FlowSimulation) ControlBytesPerSecond() (mean, worst float64) {
	for _, h := range f.hosts {
		mean += float64(h.sent())
		worst = max(worst, float64(h.worst))
	}
	return mean / float64(len(f.hosts)) / f.tl.Now().Seconds(), worst
}

// Open returns the number of open flows.
func (f *FlowSimulation) Open() int {
	n := 0
	for _, o := range f.traffic.open {
		n += o
	}
	return n
}
