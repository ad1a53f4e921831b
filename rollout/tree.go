package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/member"
)

// tree is the place of this balancer among the members of its domain, with the
// holder of the lease at the root.
type tree struct {
	parent   member.Member
	rooted   bool
	children []member.Member
	// count and names sum up all members of the domain.
	count int
	names uint64
}

// replant finds the own place again after a change of the view or the holder.
func (c *Core) replant() {
	c.tree = plant(c.view, c.cfg.Self, c.holder)
}

func plant(v member.View, self member.Member, holder string) tree {
	var t tree
	members := branch(v, self.Domain)
	for _, m := range members {
		t.count++
		t.names += xxhash.Sum64String(m.Name)
	}
	root := slices.IndexFunc(members, func(m member.Member) bool { return m.Name == holder })
	if root < 0 {
		return t
	}
	m := members[root]
	members = slices.Insert(slices.Delete(members, root, root+1), 0, m)
	own := slices.IndexFunc(members, func(m member.Member) bool { return m.Name == self.Name })
	if own < 0 {
		return t
	}
	if own > 0 {
		t.parent, t.rooted = members[(own-1)/fanOut], true
	}
	first := min(own*fanOut+1, len(members))
	t.children = members[first:min(first+fanOut, len(members))]
	return t
}

// branch returns the members of a domain that can be reached, in the order of
// the hashes of their names.
func branch(v member.View, domain string) []member.Member {
	var members []member.Member
	for _, e := range v.Entries {
		if e.Domain == domain && e.State != member.StateUnreachable {
			members = append(members, e.Member)
		}
	}
	slices.SortFunc(members, func(a, b member.Member) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	return members
}

// acquire begins to lead, unless a higher fencing number is known already.
func (c *Core) acquire(now time.Duration, fence uint64) {
	if fence < c.fence {
		c.emit(LeaseSuperseded{Fence: c.fence})
		return
	}
	c.leading = true
	c.follow(c.cfg.Self.Name, fence)
	c.status = statusState{}
	c.fetchAt = now
	c.fetch()
	c.lead(now)
}

// follow remembers the holder with the highest fencing number.
func (c *Core) follow(holder string, fence uint64) {
	if fence == c.fence && holder == c.holder {
		return
	}
	c.holder, c.fence, c.sequence = holder, fence, 0
	c.replant()
}

// lead starts a LeaderUpdate, which tells everybody below who holds the lease.
func (c *Core) lead(now time.Duration) {
	c.sequence++
	c.leadAt = now
	c.down(Delta{})
}

// down sends a LeaderUpdate to the members below, with or without what changed.
func (c *Core) down(d Delta) {
	for _, m := range c.tree.children {
		c.tell(m, d)
	}
}

func (c *Core) tell(to member.Member, d Delta) {
	c.emit(Send{To: to, Message: LeaderUpdate{
		Holder:   c.holder,
		Fence:    c.fence,
		Sequence: c.sequence,
		Number:   c.release.Number,
		Digest:   c.release.Digest,
		Delta:    d,
	}})
}

// led takes a LeaderUpdate. One with a lower fencing number changes nothing but that a
// newer configuration, which only the platform can have accepted, is pulled.
func (c *Core) led(now time.Duration, from member.Member, m LeaderUpdate) {
	if m.Fence < c.fence {
		c.heard(now, from, m.Number, m.Digest)
		c.tell(from, Delta{})
		return
	}
	if m.Fence > c.fence {
		c.depose(m.Fence)
		c.follow(m.Holder, m.Fence)
	}
	fresh := m.Sequence > c.sequence
	c.sequence = max(c.sequence, m.Sequence)
	if len(m.Body) > 0 && c.given(now, from, Snapshot{Number: m.Number, Digest: m.Digest, Body: m.Body}) {
		return
	}
	if m.Delta.Number == m.Number && c.apply(now, from, m.Delta) {
		return
	}
	c.heard(now, from, m.Number, m.Digest)
	if fresh && !c.leading {
		c.down(Delta{})
	}
}

func (c *Core) depose(fence uint64) {
	if !c.leading {
		return
	}
	c.leading = false
	c.emit(LeaseSuperseded{Fence: fence})
}
