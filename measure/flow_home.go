package measure

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/flow"
)

// Bounds of the way of homes.
const (
	// tellSize is the size of a told flow in bytes, that of a told pin.
	tellSize = 23
	// tellBudget is what a balancer sends to others, in bytes for each tick.
	tellBudget = flow.DefaultBytesPerSecond / int(time.Second/flow.TickInterval)
	// maxHomeHops is how often a datagram is passed on between balancers.
	maxHomeHops = 3
	// recount is the time between two counts of the flows that are in use.
	recount = time.Second
)

// homeTable is a balancer of StrategyOwner or StrategyOwnerCache. Each flow is held by two members alone,
// its home and its backup: the first two by rendezvous hashing over the members
// that are alive. Any other member hops the flow's datagrams to the home, which
// opens new flows on the target with the fewest flows that it holds itself.
type homeTable struct {
	host *flowHost
	// members are the active members of the newest epoch, before those of the
	// last epoch with other members.
	members, before []homeMember
	flows           map[uint64]*homeFlow
	// cached are the targets of flows held elsewhere, for StrategyOwnerCache alone.
	cached map[uint64]flow.TargetID
	counts map[flow.TargetID]int
	// fresh are new flows to be told, moved those that have new holders.
	fresh, moved []homeTell
	newest       uint64
}

// homeMember is a balancer that holds flows.
type homeMember struct {
	name string
	seed uint64
}

// homeFlow is a flow that is held.
type homeFlow struct {
	target flow.TargetID
	seen   time.Duration
	// home says that the holder was the flow's home when it last looked.
	home bool
}

// homeTell is a flow that another member has to hold.
type homeTell struct {
	to     string
	hash   uint64
	target flow.TargetID
}

func newHomeTable(h *flowHost) *homeTable {
	o := &homeTable{
		host:   h,
		flows:  make(map[uint64]*homeFlow),
		cached: make(map[uint64]flow.TargetID),
		counts: make(map[flow.TargetID]int),
	}
	h.fleet.every(flow.TickInterval, o.tick)
	h.fleet.every(recount, o.count)
	return o
}

// tick tells others what the budget allows, new flows first.
func (o *homeTable) tick() {
	if !o.host.up() {
		return
	}
	for left := tellBudget; left >= tellSize; left -= tellSize {
		queue := &o.fresh
		if len(o.fresh) == 0 {
			queue = &o.moved
		}
		if len(*queue) == 0 {
			return
		}
		t := (*queue)[0]
		*queue = (*queue)[1:]
		o.tell(t)
	}
}

func (o *homeTable) tell(t homeTell) {
	f := o.host.fleet
	o.host.extra += tellSize
	to := f.host(t.to)
	d, ok := f.delay(o.host.domain, to.domain, true)
	if !ok {
		return
	}
	f.tl.After(d, func() { to.receive(func() { to.homes.keep(t.hash, t.target) }) })
}

// count counts the flows of each target that had a datagram lately.
func (o *homeTable) count() {
	now := o.host.fleet.tl.Now()
	clear(o.counts)
	for _, f := range o.flows {
		if f.home && now-f.seen <= seenWithin {
			o.counts[f.target]++
		}
	}
}

// keep holds a flow. The first that is told of it counts.
func (o *homeTable) keep(hash uint64, target flow.TargetID) {
	if o.flows[hash] == nil {
		home := o.home(o.members, hash) == o.host.name
		o.flows[hash] = &homeFlow{target: target, seen: o.host.fleet.tl.Now(), home: home}
	}
}

// apply takes a newer epoch and finds new holders for the flows held here.
func (o *homeTable) apply(e *flow.Epoch) {
	o.newest = e.Number()
	var members []homeMember
	for _, m := range e.Members() {
		if m.State == flow.Active {
			members = append(members, homeMember{name: m.Name, seed: xxhash.Sum64String(m.Name)})
		}
	}
	if slices.Equal(members, o.members) {
		return
	}
	o.before, o.members = o.members, members
	hashes := make([]uint64, 0, len(o.flows))
	for hash := range o.flows {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	for _, hash := range hashes {
		o.flows[hash].home = o.home(members, hash) == o.host.name
		o.move(hash)
	}
}

// move tells the holders of a flow that were not its holders before. The first
// of the old holders that is alive does so.
func (o *homeTable) move(hash uint64) {
	old := holders(o.before, hash, o.alive)
	if len(old) == 0 || old[0] != o.host.name {
		return
	}
	known := holders(o.before, hash, func(string) bool { return true })
	for _, name := range holders(o.members, hash, o.alive) {
		if name != o.host.name && !slices.Contains(known, name) {
			o.moved = append(o.moved, homeTell{to: name, hash: hash, target: o.flows[hash].target})
		}
	}
}

// holders returns the home and the backup of a flow among members.
func holders(members []homeMember, hash uint64, alive func(string) bool) []string {
	var first, second uint64
	out := make([]string, 0, 2)
	for _, m := range members {
		if !alive(m.name) {
			continue
		}
		score := mix(hash ^ m.seed)
		switch {
		case len(out) == 0 || score > first:
			if len(out) < 2 {
				out = append(out, "")
			}
			if len(out) == 2 {
				out[1], second = out[0], first
			}
			out[0], first = m.name, score
		case len(out) == 1 || score > second:
			out = append(out[:1], m.name)
			second = score
		}
	}
	return out
}

// mix spreads the bits of x over all of them.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// alive reports whether the host takes a member for reachable.
func (o *homeTable) alive(name string) bool {
	to := o.host.fleet.host(name)
	return to.reachable && !o.host.fleet.parted(o.host.domain, to.domain)
}

func (o *homeTable) home(members []homeMember, hash uint64) string {
	names := holders(members, hash, o.alive)
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// route sends a datagram to its target or on to another member. The home of a
// flow that it does not hold asks the home by the members before.
func (o *homeTable) route(origin *homeTable, s *simFlow, hops int, asked bool) {
	f := o.host.fleet
	if held := o.flows[s.hash]; held != nil {
		held.seen = f.tl.Now()
		o.deliver(origin, s, held.target)
		return
	}
	if target, ok := o.cached[s.hash]; ok {
		f.traffic.deliver(o.host, s, target)
		return
	}
	home := o.home(o.members, s.hash)
	if home != o.host.name {
		o.hop(origin, home, s, hops, asked)
		return
	}
	before := o.home(o.before, s.hash)
	if !asked && before != "" && before != home {
		o.hop(origin, before, s, hops, true)
		return
	}
	o.open(origin, s)
}

// deliver sends a datagram to its target and tells the member at which it came
// in, which remembers it with StrategyOwnerCache.
func (o *homeTable) deliver(origin *homeTable, s *simFlow, target flow.TargetID) {
	f := o.host.fleet
	f.traffic.deliver(o.host, s, target)
	if f.cfg.Strategy != StrategyOwnerCache || origin == o {
		return
	}
	if d, ok := f.delay(o.host.domain, origin.host.domain, false); ok {
		f.tl.After(d, func() { origin.cached[s.hash] = target })
	}
}

func (o *homeTable) hop(origin *homeTable, name string, s *simFlow, hops int, asked bool) {
	f := o.host.fleet
	if name == "" || hops >= maxHomeHops {
		return
	}
	f.Count.Hops++
	to := f.host(name)
	d, ok := f.delay(o.host.domain, to.domain, false)
	if !ok {
		return
	}
	f.tl.After(d, func() {
		if to.up() && !s.ended {
			to.homes.route(origin, s, hops+1, asked)
		}
	})
}

// open chooses the target of a new flow and tells the backup.
func (o *homeTable) open(origin *homeTable, s *simFlow) {
	ids := o.host.own.ids[s.service]
	if len(ids) == 0 {
		return
	}
	best := ids[0]
	for _, id := range ids {
		if o.counts[id] < o.counts[best] {
			best = id
		}
	}
	o.counts[best]++
	o.keep(s.hash, best)
	if names := holders(o.members, s.hash, o.alive); len(names) > 1 {
		o.fresh = append(o.fresh, homeTell{to: names[1], hash: s.hash, target: best})
	}
	o.deliver(origin, s, best)
}

// idle reports whether the host has the epoch and nothing to tell.
func (o *homeTable) idle(number uint64) bool {
	return o.newest == number && len(o.fresh) == 0 && len(o.moved) == 0
}
