package balancer

import (
	"slices"
	"strings"
	"time"

	"wisteriaweir/fleet"
	"wisteriaweir/flow"
	"wisteriaweir/flow/flowpb"
	"wisteriaweir/peer"
	"wisteriaweir/target"
)

const (
	// kindCount is the kind of envelopes that carry a count of flows.
	kindCount = "count"
	// countInterval is the interval at which flows are counted and new shares
	// are proposed.
	countInterval = 10 * time.Second
	// maxCountedFlowAge is the time after its last datagram for which a flow is
	// counted.
	maxCountedFlowAge = 30 * time.Second
	// countTTL is how long the count of another balancer stays valid.
	countTTL = 3 * countInterval
	// minFlowsPerTarget is the mean number of observed flows per target of a
	// service below which the shares stay as they are, since random variation
	// would outweigh differences in load.
	minFlowsPerTarget = 100
	// maxPinnedFlows is the largest number of flows that one change of shares
	// may pin, per service.
	maxPinnedFlows = 1500
)

// shareBalancer evens out the flows of the targets in proportion to their
// weights: every balancer counts the flows that it observes, the lease holder
// of its failure domain sums the counts up to the domain total, and the lease
// holder of the domain that decides on a service proposes shares from the totals
// of all domains. It belongs to the control goroutine.
type shareBalancer struct {
	c *control
	// counts holds the flow counts of the balancers of the local domain and the
	// domain totals of the other domains, while this balancer holds the lease.
	counts      flow.Counts
	nextCountAt time.Duration
	// proposal holds the shares that the local domain proposed last.
	proposal []fleet.Shares
}

func newShareBalancer(c *control) *shareBalancer {
	return &shareBalancer{c: c, counts: flow.Counts{MaxAge: countTTL}, nextCountAt: countInterval}
}

// tick counts the flows of every shard once per countInterval.
func (s *shareBalancer) tick() {
	now := s.c.b.now()
	if now < s.nextCountAt {
		return
	}
	s.nextCountAt = now + countInterval
	results := make(chan map[flow.TargetID]int, len(s.c.b.flowWorkers))
	for _, w := range s.c.b.flowWorkers {
		w.queue.pushAlways(func() { results <- w.shard.CountRecentFlows(s.c.b.now(), maxCountedFlowAge) })
	}
	go func() {
		sum := make(map[flow.TargetID]int)
		for range s.c.b.flowWorkers {
			for id, n := range <-results {
				sum[id] += n
			}
		}
		s.c.tryEnqueue(func() { s.handleLocalCount(sum) })
	}()
}

// handleLocalCount handles the count of this balancer. Without the lease, it
// sends the count to the lease holder. With the lease, it adds the count, sends
// the domain total to the domains that decide on services, and proposes shares
// for the services that the local domain decides on.
func (s *shareBalancer) handleLocalCount(observed map[flow.TargetID]int) {
	local := flow.Count{Domain: s.c.b.self.Domain, FlowsByTarget: observed}
	if _, holding := s.c.leaseRunner.holding(); !holding {
		s.proposal = nil
		s.send(s.c.leaseRunner.leaseHolder(), local)
		return
	}
	s.counts.Add(s.c.b.now(), s.c.b.self.Name, local)
	s.sendToDeciders()
	s.proposeShares()
}

// handleCount handles a count from another balancer. With the lease, it stores
// the counts of single balancers of the local domain and the domain totals of
// other domains. Without the lease, it forwards a domain total to the lease
// holder if a balancer of that domain sent it: one that came from a balancer of
// the local domain has been forwarded already.
func (s *shareBalancer) handleCount(from peer.Sender, n flow.Count) {
	if _, holding := s.c.leaseRunner.holding(); holding {
		if n.IsDomainTotal == (n.Domain != s.c.b.self.Domain) {
			s.counts.Add(s.c.b.now(), from.Name, n)
		}
		return
	}
	if n.IsDomainTotal && from.Domain == n.Domain {
		s.send(s.c.leaseRunner.leaseHolder(), n)
	}
}

// sendToDeciders sends to each other domain that decides on services the total
// of the local domain for the targets of these services. It sends the total to
// all claim holders of that domain, which forward it to their lease holder.
func (s *shareBalancer) sendToDeciders() {
	byDomain := make(map[string]map[flow.TargetID]int)
	domainTotal := s.counts.DomainTotal(s.c.b.now())
	deciders := s.c.fleet.ShareDeciders()
	for _, x := range s.c.config.Services {
		domain := deciders.DomainFor(x.Name)
		if domain == s.c.b.self.Domain || domain == "" {
			continue
		}
		if byDomain[domain] == nil {
			byDomain[domain] = make(map[flow.TargetID]int)
		}
		for _, t := range x.Pool {
			id := flow.NewTargetID(x.Name, t.Name)
			if n, ok := domainTotal[id]; ok {
				byDomain[domain][id] = n
			}
		}
	}
	for _, h := range s.c.fleet.ClaimHolders.Members {
		if flows := byDomain[h.Domain]; len(flows) > 0 {
			s.send(h.Name, flow.Count{Domain: s.c.b.self.Domain, IsDomainTotal: true, FlowsByTarget: flows})
		}
	}
}

// send sends a count to the balancer called name, unless that is this one or is
// not a known member.
func (s *shareBalancer) send(name string, n flow.Count) {
	to, ok := s.c.b.snapshot().members[name]
	if !ok || name == s.c.b.self.Name || len(n.FlowsByTarget) == 0 {
		return
	}
	payload, err := flowpb.MarshalCount(n)
	if err != nil {
		s.c.b.log.WithError(err).Error("flow count cannot be encoded")
		return
	}
	// The next count replaces one that is lost.
	s.c.b.sendEnvelope(to, kindCount, payload)
}

// proposeShares proposes shares for the services that the local domain decides
// on, unless an older epoch is still live or pins remain to be sent.
func (s *shareBalancer) proposeShares() {
	st := s.c.epochs.Status()
	if st.Live != 1 || st.Waiting > 0 {
		return
	}
	s.proposal = nil
	observed := s.counts.Total(s.c.b.now())
	deciders := s.c.fleet.ShareDeciders()
	agreed := healthByDomain(s.c.fleet)
	for _, x := range s.c.config.Services {
		if deciders.DomainFor(x.Name) != s.c.b.self.Domain {
			continue
		}
		table := target.AgreedShares(s.c.config.Number, x, agreed)
		if next, ok := rebalanced(table, s.c.fleet.SharesOf(x.Name), observed); ok {
			s.proposal = append(s.proposal, next)
		}
	}
}

// rebalanced returns the shares that move the flows of a service towards the
// weights of its targets, and false if the shares stay as they are.
func rebalanced(table target.Shares, old fleet.Shares, observed map[flow.TargetID]int) (fleet.Shares, bool) {
	loads, total := targetLoads(table, old, observed)
	if len(loads) < 2 || total < minFlowsPerTarget*len(loads) {
		return old, false
	}
	shares := flow.Rebalance(loads, maxPinnedFlows)
	next := fleet.Shares{Service: old.Service}
	for i := range table.Len() {
		t := table.At(i).Target
		n, ok := shares[flow.NewTargetID(old.Service, t.Name)]
		if !ok {
			continue
		}
		if ratio := n / t.Weight; ratio != flow.ShareUnit {
			next.Targets = append(next.Targets, fleet.Share{Target: t.Name, Ratio: ratio})
		}
	}
	slices.SortFunc(next.Targets, func(a, b fleet.Share) int { return strings.Compare(a.Target, b.Target) })
	return next, !slices.Equal(next.Targets, old.Targets)
}

// targetLoads returns the loads of the targets that accept their full share of
// new flows, and the total number of flows observed on them. It skips targets at
// a lower level, such as starting ones: they keep the share of their level.
func targetLoads(table target.Shares, old fleet.Shares, observed map[flow.TargetID]int) ([]flow.TargetLoad, int) {
	var loads []flow.TargetLoad
	total := 0
	for i := range table.Len() {
		share := table.At(i)
		if !share.IsEligible() || share.Level != target.LevelFull {
			continue
		}
		id := flow.NewTargetID(old.Service, share.Target.Name)
		total += observed[id]
		loads = append(loads, flow.TargetLoad{
			Target:        id,
			Weight:        share.Target.Weight,
			Share:         share.Target.Weight * old.Ratio(share.Target.Name),
			ObservedFlows: observed[id],
			ReportedFlows: -1,
		})
	}
	return loads, total
}
