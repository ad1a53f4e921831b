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
	// parent is the parent of this balancer if hasParent is true.
	parent    member.Member
	hasParent bool
	// children are the children of this balancer, at most maxChildren.
	children []member.Member
	// memberCount is the number of reachable members of the domain.
	memberCount int
	// nameHashSum is the sum of the xxHash values of their names, modulo 2^64.
	nameHashSum uint64
}

// rebuildTree rebuilds the tree after a change of the view or the lease holder.
func (c *Core) rebuildTree() {
	c.tree = buildTree(c.view, c.cfg.Self, c.leaseHolder)
}

// buildTree returns the position of self in the tree of the reachable members of its
// domain. The members are listed with the lease holder first, and the children of the
// member with index i have the indexes from i*maxChildren+1 to (i+1)*maxChildren.
// There is no parent and no child if the lease holder or self is not reachable.
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

// reachableMembers returns all members of a domain but those that the view considers
// unreachable, sorted by the xxHash values of their names.
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

// handleAcquired makes this balancer the lease holder, unless it has received a higher
// fencing number. A new lease holder starts a Fetch and a LeaderUpdate at once.
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
// tree. The sequence numbers of a new lease holder start again.
func (c *Core) setLeaseHolder(holder string, fence uint64) {
	if fence == c.fence && holder == c.leaseHolder {
		return
	}
	c.leaseHolder, c.fence, c.sequence = holder, fence, 0
	c.rebuildTree()
}

// startLeaderUpdate sends the children a new LeaderUpdate without a delta, which they
// forward down the tree. It names the lease holder and its current release.
func (c *Core) startLeaderUpdate(now time.Duration) {
	c.sequence++
	c.lastLeaderUpdateAt = now
	c.sendToChildren(Delta{})
}

// sendToChildren sends a LeaderUpdate with the delta d, which may be zero, to the
// children.
func (c *Core) sendToChildren(d Delta) {
	for _, m := range c.tree.children {
		c.sendLeaderUpdate(m, d)
	}
}

// sendLeaderUpdate sends a member a LeaderUpdate that names the last known lease
// holder and the current release.
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

// handleLeaderUpdate applies the release of a LeaderUpdate, which also sends it to the
// children, or pulls it. If the update contains no release that can be applied, it is
// forwarded to the children if its sequence number is new. An update with a lower
// fencing number is from a former lease holder and is not forwarded. Its release is
// still pulled if it is newer, because every release was accepted by the platform.
// The sender receives a LeaderUpdate that names the current lease holder.
func (c *Core) handleLeaderUpdate(now time.Duration, from member.Member, m LeaderUpdate) {
	if m.Fence < c.fence {
		c.handlePeerRelease(now, from, m.Number, m.Digest)
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
	c.handlePeerRelease(now, from, m.Number, m.Digest)
	if isNew && !c.isLeaseHolder {
		c.sendToChildren(Delta{})
	}
}

// supersede ends the role of this balancer as the lease holder, because another one
// holds the lease under a higher fencing number.
func (c *Core) supersede(fence uint64) {
	if !c.isLeaseHolder {
		return
	}
	c.isLeaseHolder = false
	c.emit(LeaseSuperseded{Fence: fence})
}
