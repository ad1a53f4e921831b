package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/member"
)

// tree is the position of this balancer in the distribution tree of its domain.
// The lease holder is the root of the tree.
type tree struct {
	parent    member.Member
	hasParent bool
	children  []member.Member
	// memberCount is the number of reachable members of the domain, nameHashSum the
	// sum of the xxHash values of their names, modulo 2^64.
	memberCount int
	nameHashSum uint64
}

// rebuildTree rebuilds the tree after a change of the view or the lease holder.
func (c *Core) rebuildTree() {
	c.tree = buildTree(c.view, c.cfg.Self, c.leaseHolder)
}

func buildTree(v member.View, self member.Member, holder string) tree {
	var t tree
	members := reachableMembers(v, self.Domain)
	for _, m := range members {
		t.memberCount++
		t.nameHashSum += xxhash.Sum64String(m.Name)
	}
	root := slices.IndexFunc(members, func(m member.Member) bool { return m.Name == holder })
	if root < 0 {
		return t
	}
	holderMember := members[root]
	members = slices.Insert(slices.Delete(members, root, root+1), 0, holderMember)
	ownIndex := slices.IndexFunc(members, func(m member.Member) bool { return m.Name == self.Name })
	if ownIndex < 0 {
		return t
	}
	if ownIndex > 0 {
		t.parent, t.hasParent = members[(ownIndex-1)/maxChildren], true
	}
	firstChild := min(ownIndex*maxChildren+1, len(members))
	t.children = members[firstChild:min(firstChild+maxChildren, len(members))]
	return t
}

// reachableMembers returns the members of a domain that are not unreachable,
// sorted by the xxHash values of their names.
func reachableMembers(v member.View, domain string) []member.Member {
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

// handleAcquired makes this balancer the lease holder, unless it knows a higher
// fencing number. The lease holder fetches releases and sends updates.
func (c *Core) handleAcquired(now time.Duration, fence uint64) {
	if fence < c.fence {
		c.emit(LeaseSuperseded{Fence: c.fence})
		return
	}
	c.isLeaseHolder = true
	c.setLeaseHolder(c.cfg.Self.Name, fence)
	c.status = statusState{}
	c.nextFetchAt = now
	c.fetch()
	c.startLeaderUpdate(now)
}

// setLeaseHolder stores the lease holder and its fencing number, and rebuilds the
// tree.
func (c *Core) setLeaseHolder(holder string, fence uint64) {
	if fence == c.fence && holder == c.leaseHolder {
		return
	}
	c.leaseHolder, c.fence, c.sequence = holder, fence, 0
	c.rebuildTree()
}

// startLeaderUpdate sends a new LeaderUpdate without a delta, which the members
// forward down the tree. It names the lease holder and its current release.
func (c *Core) startLeaderUpdate(now time.Duration) {
	c.sequence++
	c.leaderUpdateAt = now
	c.sendToChildren(Delta{})
}

// sendToChildren sends a LeaderUpdate with the delta d, which may be zero, to the
// children.
func (c *Core) sendToChildren(d Delta) {
	for _, m := range c.tree.children {
		c.sendLeaderUpdate(m, d)
	}
}

func (c *Core) sendLeaderUpdate(to member.Member, d Delta) {
	c.emit(Send{To: to, Message: LeaderUpdate{
		Holder:   c.leaseHolder,
		Fence:    c.fence,
		Sequence: c.sequence,
		Number:   c.release.Number,
		Digest:   c.release.Digest,
		Delta:    d,
	}})
}

// handleLeaderUpdate applies a LeaderUpdate, and forwards it to the children if
// its sequence number is new. An update with a lower fencing number is not
// forwarded: its release is pulled if it is newer, since only the platform can
// have accepted it, and the sender receives the current lease holder in return.
func (c *Core) handleLeaderUpdate(now time.Duration, from member.Member, m LeaderUpdate) {
	if m.Fence < c.fence {
		c.handlePeerConfig(now, from, m.Number, m.Digest)
		c.sendLeaderUpdate(from, Delta{})
		return
	}
	if m.Fence > c.fence {
		c.supersede(m.Fence)
		c.setLeaseHolder(m.Holder, m.Fence)
	}
	isNew := m.Sequence > c.sequence
	c.sequence = max(c.sequence, m.Sequence)
	if len(m.Body) > 0 && c.applySnapshot(now, from, Snapshot{Number: m.Number, Digest: m.Digest, Body: m.Body}) {
		return
	}
	if m.Delta.Number == m.Number && c.applyDelta(now, from, m.Delta) {
		return
	}
	c.handlePeerConfig(now, from, m.Number, m.Digest)
	if isNew && !c.isLeaseHolder {
		c.sendToChildren(Delta{})
	}
}

func (c *Core) supersede(fence uint64) {
	if !c.isLeaseHolder {
		return
	}
	c.isLeaseHolder = false
	c.emit(LeaseSuperseded{Fence: fence})
}
