package measure

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/flow"
)

const (
	// flowReportBytes is the size of the report of a flow in bytes, which is equal to
	// that of a pin.
	flowReportBytes = 23
	// maxReportBytesPerTick is the maximum number of bytes that a balancer sends in
	// reports in each flow.TickInterval.
	maxReportBytesPerTick = flow.DefaultBytesPerSecond / int(time.Second/flow.TickInterval)
	// maxOwnerHops is the maximum number of times that a datagram is forwarded between
	// balancers.
	maxOwnerHops = 3
	// flowCountInterval is the time between two counts of the flows that are in use.
	flowCountInterval = time.Second
)

// ownerTable is the state of a balancer with StrategyOwner or StrategyOwnerCache. Each
// flow is stored on two members alone, its owner and its backup: the first two by
// rendezvous hashing over the reachable members. Any other member forwards the
// datagrams of the flow to the owner, which opens new flows on the target with the
// fewest flows that it owns.
type ownerTable struct {
	host *flowHost
	// members are the active members of the newest epoch, previousMembers those of the
	// last epoch with other members.
	members, previousMembers []ownerMember
	flows                    map[uint64]*ownedFlow
	// cached holds the targets of flows that are stored on other members, for
	// StrategyOwnerCache alone.
	cached map[uint64]flow.TargetID
	// recentFlows holds, for each target, the number of owned flows that had a
	// datagram within recentFlowWindow.
	recentFlows map[flow.TargetID]int
	// newReports are reports of new flows to their backups, movedReports those of
	// existing flows to their new owners and backups.
	newReports, movedReports []flowReport
	newestEpochNumber        uint64
}

// ownerMember is a balancer that stores flows; seed is the hash of its name.
type ownerMember struct {
	name string
	seed uint64
}

// ownedFlow is a flow that is stored by its owner or its backup.
type ownedFlow struct {
	target   flow.TargetID
	lastSeen time.Duration
	// isOwner reports whether the balancer was the owner, not the backup, when the flow was
	// stored or the members changed last.
	isOwner bool
}

// flowReport is a flow that is to be stored on another member.
type flowReport struct {
	to     string
	hash   uint64
	target flow.TargetID
}

func newOwnerTable(h *flowHost) *ownerTable {
	o := &ownerTable{
		host:        h,
		flows:       make(map[uint64]*ownedFlow),
		cached:      make(map[uint64]flow.TargetID),
		recentFlows: make(map[flow.TargetID]int),
	}
	h.sim.repeatEvery(flow.TickInterval, o.sendReports)
	h.sim.repeatEvery(flowCountInterval, o.countRecentFlows)
	return o
}

// sendReports sends as many reports as maxReportBytesPerTick allows, those of new flows
// first.
func (o *ownerTable) sendReports() {
	if !o.host.isUp() {
		return
	}
	for budget := maxReportBytesPerTick; budget >= flowReportBytes; budget -= flowReportBytes {
		queue := &o.newReports
		if len(o.newReports) == 0 {
			queue = &o.movedReports
		}
		if len(*queue) == 0 {
			return
		}
		report := (*queue)[0]
		*queue = (*queue)[1:]
		o.sendReport(report)
	}
}

// sendReport sends one report; it is lost if the domains are partitioned.
func (o *ownerTable) sendReport(report flowReport) {
	f := o.host.sim
	o.host.extraBytes += flowReportBytes
	to := f.host(report.to)
	d, ok := f.delay(o.host.domain, to.domain, true)
	if !ok {
		return
	}
	f.tl.After(d, func() { to.receive(func() { to.ownerTable.store(report.hash, report.target) }) })
}

// countRecentFlows counts the owned flows of each target that had a datagram within
// recentFlowWindow.
func (o *ownerTable) countRecentFlows() {
	now := o.host.sim.tl.Now()
	clear(o.recentFlows)
	for _, f := range o.flows {
		if f.isOwner && now-f.lastSeen <= recentFlowWindow {
			o.recentFlows[f.target]++
		}
	}
}

// store stores a flow. A later report with another target has no effect.
func (o *ownerTable) store(hash uint64, target flow.TargetID) {
	if o.flows[hash] == nil {
		isOwner := o.owner(o.members, hash) == o.host.name
		o.flows[hash] = &ownedFlow{target: target, lastSeen: o.host.sim.tl.Now(), isOwner: isOwner}
	}
}

// apply processes a newer epoch. If its members differ, it queues reports of the
// stored flows to their new owners and backups.
func (o *ownerTable) apply(e *flow.Epoch) {
	o.newestEpochNumber = e.Number()
	var members []ownerMember
	for _, m := range e.Members() {
		if m.State == flow.Active {
			members = append(members, ownerMember{name: m.Name, seed: xxhash.Sum64String(m.Name)})
		}
	}
	if slices.Equal(members, o.members) {
		return
	}
	o.previousMembers, o.members = o.members, members
	hashes := make([]uint64, 0, len(o.flows))
	for hash := range o.flows {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	for _, hash := range hashes {
		o.flows[hash].isOwner = o.owner(members, hash) == o.host.name
		o.reportMoved(hash)
	}
}

// reportMoved queues reports of a flow to its owner and backup, unless these were its
// owner or backup before. Only the reachable previous member with the highest score
// queues them.
func (o *ownerTable) reportMoved(hash uint64) {
	previous := ownerAndBackup(o.previousMembers, hash, o.isReachable)
	if len(previous) == 0 || previous[0] != o.host.name {
		return
	}
	allPrevious := ownerAndBackup(o.previousMembers, hash, func(string) bool { return true })
	for _, name := range ownerAndBackup(o.members, hash, o.isReachable) {
		if name != o.host.name && !slices.Contains(allPrevious, name) {
			o.movedReports = append(o.movedReports, flowReport{to: name, hash: hash, target: o.flows[hash].target})
		}
	}
}

// ownerAndBackup returns the owner and the backup of a flow: the reachable members with
// the two highest scores. The result is shorter if fewer members are reachable.
func ownerAndBackup(members []ownerMember, hash uint64, isReachable func(string) bool) []string {
	var firstScore, secondScore uint64
	out := make([]string, 0, 2)
	for _, m := range members {
		if !isReachable(m.name) {
			continue
		}
		score := mixBits(hash ^ m.seed)
		switch {
		case len(out) == 0 || score > firstScore:
			if len(out) < 2 {
				out = append(out, "")
			}
			if len(out) == 2 {
				out[1], secondScore = out[0], firstScore
			}
			out[0], firstScore = m.name, score
		case len(out) == 1 || score > secondScore:
			out = append(out[:1], m.name)
			secondScore = score
		}
	}
	return out
}

// mixBits returns a hash of x in which each bit depends on all bits of x (the
// finalizer of MurmurHash3).
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// isReachable reports whether this balancer considers a member reachable.
func (o *ownerTable) isReachable(name string) bool {
	to := o.host.sim.host(name)
	return to.isReachable && !o.host.sim.isPartitioned(o.host.domain, to.domain)
}

// owner returns the name of the owner of a flow among members, or "" if none is
// reachable.
func (o *ownerTable) owner(members []ownerMember, hash uint64) string {
	names := ownerAndBackup(members, hash, o.isReachable)
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// route sends a datagram to its target or forwards it to another member. An owner that
// does not know the flow forwards the datagram once to the owner among the previous
// members, before it opens the flow as a new one. origin is the balancer that received
// the datagram from the caller.
func (o *ownerTable) route(origin *ownerTable, s *simFlow, hops int, triedPrevious bool) {
	f := o.host.sim
	if owned := o.flows[s.hash]; owned != nil {
		owned.lastSeen = f.tl.Now()
		o.deliver(origin, s, owned.target)
		return
	}
	if target, ok := o.cached[s.hash]; ok {
		f.traffic.deliver(o.host, s, target)
		return
	}
	owner := o.owner(o.members, s.hash)
	if owner != o.host.name {
		o.hop(origin, owner, s, hops, triedPrevious)
		return
	}
	previous := o.owner(o.previousMembers, s.hash)
	if !triedPrevious && previous != "" && previous != owner {
		o.hop(origin, previous, s, hops, true)
		return
	}
	o.openFlow(origin, s)
}

// deliver sends a datagram to its target. With StrategyOwnerCache it also reports the
// target to the balancer that received the datagram from the caller.
func (o *ownerTable) deliver(origin *ownerTable, s *simFlow, target flow.TargetID) {
	f := o.host.sim
	f.traffic.deliver(o.host, s, target)
	if f.cfg.Strategy != StrategyOwnerCache || origin == o {
		return
	}
	if d, ok := f.delay(o.host.domain, origin.host.domain, false); ok {
		f.tl.After(d, func() { origin.cached[s.hash] = target })
	}
}

// hop forwards a datagram to another member; it is dropped after maxOwnerHops.
func (o *ownerTable) hop(origin *ownerTable, name string, s *simFlow, hops int, triedPrevious bool) {
	f := o.host.sim
	if name == "" || hops >= maxOwnerHops {
		return
	}
	f.Count.Hops++
	to := f.host(name)
	d, ok := f.delay(o.host.domain, to.domain, false)
	if !ok {
		return
	}
	f.tl.After(d, func() {
		if to.isUp() && !s.ended {
			to.ownerTable.route(origin, s, hops+1, triedPrevious)
		}
	})
}

// openFlow opens a flow on the target with the fewest owned flows and queues a report
// to the backup.
func (o *ownerTable) openFlow(origin *ownerTable, s *simFlow) {
	ids := o.host.localTable.targetIDs[s.service]
	if len(ids) == 0 {
		return
	}
	best := ids[0]
	for _, id := range ids {
		if o.recentFlows[id] < o.recentFlows[best] {
			best = id
		}
	}
	o.recentFlows[best]++
	o.store(s.hash, best)
	if names := ownerAndBackup(o.members, s.hash, o.isReachable); len(names) > 1 {
		o.newReports = append(o.newReports, flowReport{to: names[1], hash: s.hash, target: best})
	}
	o.deliver(origin, s, best)
}

// isIdle reports whether the balancer has the epoch with a number and no reports to
// send.
func (o *ownerTable) isIdle(number uint64) bool {
	return o.newestEpochNumber == number && len(o.newReports) == 0 && len(o.movedReports) == 0
}
