package balancer

import (
	"context"
	"encoding/json"
	"time"

	"wisteriaweir/fleet"
	"wisteriaweir/flow"
	"wisteriaweir/member"
	"wisteriaweir/request"
	"wisteriaweir/service"
	"wisteriaweir/target"
	"wisteriaweir/ticket"
)

const (
	// dumpVersion is the version of the layout of a dump.
	dumpVersion = 2
	// dumpTimeout is the time limit for collecting a dump for the control
	// address.
	dumpTimeout = 5 * time.Second
)

// state is the content of a dump.
type state struct {
	Version  int            `json:"version"`
	Self     member.Member  `json:"self"`
	Uptime   string         `json:"uptime"`
	Control  *controlState  `json:"control,omitempty"`
	Requests *requestsState `json:"requests,omitempty"`
	Shards   []flow.Stats   `json:"shards,omitempty"`
}

// requestsState is the part of a dump that the queue of requests owns.
type requestsState struct {
	request.State
	// Attempts is the number of requests that were sent to a target and are not
	// answered yet.
	Attempts int `json:"attempts"`
}

// controlState is the part of a dump that the control goroutine owns.
type controlState struct {
	Fleet         fleet.Fleet                    `json:"fleet"`
	Config        service.Config                 `json:"config"`
	Flows         flow.Status                    `json:"flows"`
	Lease         leaseState                     `json:"lease"`
	Leaving       bool                           `json:"leaving"`
	Members       member.View                    `json:"members"`
	StatusReports map[string]receivedReportState `json:"duties"`
	Release       releaseState                   `json:"release"`
	Status        ticket.Status                  `json:"status"`
	// Targets is the local view of the targets of each service.
	Targets map[string][]target.Dump `json:"targets"`
}

// leaseState is the state of the lease of the local failure domain.
type leaseState struct {
	// Holding is true while this balancer holds the lease.
	Holding bool `json:"holding"`
	// Fence is the fencing number while this balancer holds the lease.
	Fence uint64 `json:"fence"`
	// Holder is the name of the known lease holder, empty if none is known.
	Holder string `json:"holder"`
}

// receivedReportState is the last status report of another balancer.
type receivedReportState struct {
	// Life is the instance of the balancer.
	Life uint64 `json:"life"`
	// Ago is the age of the report, such as "1.5s".
	Ago    string       `json:"ago"`
	Report statusReport `json:"duty"`
}

// releaseState identifies the active release.
type releaseState struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	// Sections is the number of sections of the release, which are sent
	// separately.
	Sections int `json:"sections"`
}

// dump collects the state of all parts of the balancer. Parts that do not answer
// before ctx ends are missing from it.
func (b *Balancer) dump(ctx context.Context) state {
	s := state{Version: dumpVersion, Self: b.self, Uptime: b.now().String()}
	s.Requests = b.requests.dump(ctx)
	s.Shards = b.dumpShards(ctx)
	s.Control = b.control.queryDump(ctx)
	return s
}

// dump returns the state of the requests, or nil if ctx ends first.
func (r *requests) dump(ctx context.Context) *requestsState {
	reply := make(chan *requestsState, 1)
	r.queue.pushAlways(func() { reply <- &requestsState{State: r.core.State(), Attempts: len(r.attempts)} })
	select {
	case s := <-reply:
		return s
	case <-ctx.Done():
		return nil
	}
}

// dumpShards returns the statistics of the flow shards that answer before ctx
// ends.
func (b *Balancer) dumpShards(ctx context.Context) []flow.Stats {
	stats := make(chan flow.Stats, len(b.flowWorkers))
	for _, w := range b.flowWorkers {
		w.queue.pushAlways(func() { stats <- w.shard.Stats() })
	}
	var all []flow.Stats
	for range b.flowWorkers {
		select {
		case one := <-stats:
			all = append(all, one)
		case <-ctx.Done():
			return all
		}
	}
	return all
}

// queryDump returns the control state, or nil if ctx ends first.
func (c *control) queryDump(ctx context.Context) *controlState {
	reply := make(chan *controlState, 1)
	c.enqueueContext(ctx, func() { reply <- c.dump() })
	select {
	case s := <-reply:
		return s
	case <-ctx.Done():
		return nil
	}
}

// dump returns the control state. It runs on the control goroutine.
func (c *control) dump() *controlState {
	fence, holding := c.leaseRunner.holding()
	release := c.rolloutRunner.core.Release()
	s := &controlState{
		Fleet:         c.fleet,
		Config:        c.config,
		Flows:         c.epochs.Status(),
		Lease:         leaseState{Holding: holding, Fence: fence, Holder: c.leaseRunner.leaseHolder()},
		Leaving:       c.isLeaving,
		Members:       c.members.view,
		StatusReports: make(map[string]receivedReportState),
		Release:       releaseState{Number: release.Number, Digest: release.Digest, Sections: release.SectionCount()},
		Status:        c.proposer.status,
		Targets:       make(map[string][]target.Dump),
	}
	for name, p := range c.targets.pools {
		s.Targets[name] = p.Dump(c.b.now())
	}
	for name, h := range c.statusReports.received {
		s.StatusReports[name] = receivedReportState{Life: h.life, Ago: (c.b.now() - h.receivedAt).String(), Report: h.report}
	}
	return s
}

// busyError reports that another dump is in progress.
type busyError struct{}

func (e *busyError) Error() string { return "another dump is in progress" }

// dumpJSON returns the whole state as JSON for the control address. It serves
// one caller at a time; others get a *busyError.
func (b *Balancer) dumpJSON() ([]byte, error) {
	if !b.dumpInProgress.CompareAndSwap(false, true) {
		return nil, &busyError{}
	}
	defer b.dumpInProgress.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	return json.Marshal(b.dump(ctx))
}
