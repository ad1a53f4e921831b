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
	// kindCount marks envelopes that carry a count of flows.
	kindCount = "count"
	// countInterval is the time between two counts, and between two changes of
	// shares.
	countInterval = 10 * time.Second
	// countWithin is how long ago a counted flow has had its last datagram at most.
	countWithin = 30 * time.Second
	// countKeep is how long the count of another balancer is good for.
	countKeep = 3 * countInterval
	// countLeast is the mean number of flows seen for each target of a service
	// below which chance says more than load does, and the shares stay.
	countLeast = 100
	// maxPinned bounds the flows that one change of shares pins, for each service.
	maxPinned = 1500
)

// shareKeeper levels the flows of the targets: every balancer counts what it
// sees, the lease holder of its failure domain sums up, and that of the domain
// that decides on a service proposes shares. It belongs to the control goroutine.
type shareKeeper struct {
	c      *control
	counts flow.Counts
	next   time.Duration
	// proposal is what the own domain decided last.
	proposal []fleet.Shares
}

func newShareKeeper(c *control) *shareKeeper {
	return &shareKeeper{c: c, counts: flow.Counts{MaxAge: countKeep}, next: countInterval}
}

// tick counts the flows of every shard when it is time for it.
func (s *shareKeeper) tick() {
	now := s.c.b.now()
	if now < s.next {
		return
	}
	s.next = now + countInterval
	results := make(chan map[flow.TargetID]int, len(s.c.b.flows))
	for _, l := range s.c.b.flows {
		l.lane.pushAlways(func() { results <- l.shard.CountRecentFlows(s.c.b.now(), countWithin) })
	}
	go func() {
		sum := make(map[flow.TargetID]int)
		for range s.c.b.flows {
			for id, n := range <-results {
				sum[id] += n
			}
		}
		s.c.offer(func() { s.counted(sum) })
	}()
}

// counted takes what this balancer counted: it goes to the lease holder, which
// tells the deciding domains and decides for its own.
func (s *shareKeeper) counted(seen map[flow.TargetID]int) {
	own := flow.Count{Domain: s.c.b.self.Domain, FlowsByTarget: seen}
	if _, holding := s.c.lease.holding(); !holding {
		s.proposal = nil
		s.send(s.c.lease.holder(), own)
		return
	}
	s.counts.Add(s.c.b.now(), s.c.b.self.Name, own)
	s.tellDeciders()
	s.decide()
}

// take keeps the count of another balancer. The sum of another domain is passed
// on to the lease holder.
func (s *shareKeeper) take(from peer.Sender, n flow.Count) {
	if _, holding := s.c.lease.holding(); holding {
		if n.IsDomainTotal == (n.Domain != s.c.b.self.Domain) {
			s.counts.Add(s.c.b.now(), from.Name, n)
		}
		return
	}
	if n.IsDomainTotal && from.Domain == n.Domain {
		s.send(s.c.lease.holder(), n)
	}
}

// tellDeciders sends the sum of the own domain to the domains that decide on
// services, by way of their holders of claims.
func (s *shareKeeper) tellDeciders() {
	parts := make(map[string]map[flow.TargetID]int)
	sum := s.counts.DomainTotal(s.c.b.now())
	deciders := s.c.fleet.ShareDeciders()
	for _, x := range s.c.config.Services {
		domain := deciders.DomainFor(x.Name)
		if domain == s.c.b.self.Domain || domain == "" {
			continue
		}
		if parts[domain] == nil {
			parts[domain] = make(map[flow.TargetID]int)
		}
		for _, t := range x.Pool {
			id := flow.NewTargetID(x.Name, t.Name)
			if n, ok := sum[id]; ok {
				parts[domain][id] = n
			}
		}
	}
	for _, h := range s.c.fleet.ClaimHolders.Members {
		if part := parts[h.Domain]; len(part) > 0 {
			s.send(h.Name, flow.Count{Domain: s.c.b.self.Domain, IsDomainTotal: true, FlowsByTarget: part})
		}
	}
}

func (s *shareKeeper) send(name string, n flow.Count) {
	to, ok := s.c.b.snapshot().members[name]
	if !ok || name == s.c.b.self.Name || len(n.FlowsByTarget) == 0 {
		return
	}
	payload, err := flowpb.MarshalCount(n)
	if err != nil {
		s.c.b.log.WithError(err).Error("count cannot be encoded")
		return
	}
	// The next count makes up for one that is lost.
	s.c.b.tell(to, kindCount, payload)
}

// decide proposes shares for the services that the own domain decides on,
// unless an epoch has still to settle.
func (s *shareKeeper) decide() {
	st := s.c.gens.Status()
	if st.Live != 1 || st.Waiting > 0 {
		return
	}
	s.proposal = nil
	seen := s.counts.Total(s.c.b.now())
	deciders := s.c.fleet.ShareDeciders()
	agreed := healthByDomain(s.c.fleet)
	for _, x := range s.c.config.Services {
		if deciders.DomainFor(x.Name) != s.c.b.self.Domain {
			continue
		}
		table := target.AgreedShares(s.c.config.Number, x, agreed)
		if next, ok := levelled(table, s.c.fleet.SharesOf(x.Name), seen); ok {
			s.proposal = append(s.proposal, next)
		}
	}
}

// levelled returns the shares that bring the flows of a service towards the
// weights of its targets, and false if they stay as they are.
func levelled(table target.Shares, old fleet.Shares, seen map[flow.TargetID]int) (fleet.Shares, bool) {
	loads, all := loadsOf(table, old, seen)
	if len(loads) < 2 || all < countLeast*len(loads) {
		return old, false
	}
	shares := flow.Rebalance(loads, maxPinned)
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

// loadsOf returns the loads of the targets that take new flows in full, and
// how many flows were seen on them. One that starts has its own share.
func loadsOf(table target.Shares, old fleet.Shares, seen map[flow.TargetID]int) ([]flow.TargetLoad, int) {
	var loads []flow.TargetLoad
	all := 0
	for i := range table.Len() {
		share := table.At(i)
		if !share.Eligible() || share.Level != target.LevelFull {
			continue
		}
		id := flow.NewTargetID(old.Service, share.Target.Name)
		all += seen[id]
		loads = append(loads, flow.TargetLoad{
			Target:        id,
			Weight:        share.Target.Weight,
			Share:         share.Target.Weight * old.Ratio(share.Target.Name),
			ObservedFlows: seen[id],
			ReportedFlows: -1,
		})
	}
	return loads, all
}
