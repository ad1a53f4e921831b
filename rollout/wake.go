package rollout

import (
	"slices"
	"time"

	"wisteriaweir/member"
)

// Times and limits of a balancer that did not run for a while.
const (
	// MaxPause is the longest pause after which a balancer goes on as if nothing
	// had happened. It is less than member.SuspicionTime, so that nobody who was
	// heard before the pause is unreachable for others by then.
	MaxPause = 2500 * time.Millisecond

	checkRepeat   = 200 * time.Millisecond
	checkPatience = 3 * time.Second
	checkPeers    = 3
)

// wake is what a balancer does after a pause: while it did not run, a status
// may have said that a number is in force without it, and the next one may as
// long as the holder of the lease takes it for unreachable. It is stale until the
// holder has told its number since then and counts it again, and that number is
// in force here.
type wake struct {
	stale bool
	// nonce tells answers to questions of this pause from others.
	nonce   uint64
	at      time.Duration
	askedAt time.Duration
	// heard says that the word of the others is enough.
	heard bool
	// number is the greatest that was told.
	number uint64
}

// VersionQuery asks for the number in force, after a pause.
type VersionQuery struct {
	Nonce uint64
}

// VersionReply answers a VersionQuery. A balancer that is stale itself does not answer.
type VersionReply struct {
	Nonce  uint64
	Number uint64
	Digest string
	// IsReceiverReachable says that the sender takes the receiver for reachable.
	IsReceiverReachable bool
	// IsLeaseHolder says that the sender holds the lease of its domain.
	IsLeaseHolder bool
}

func (VersionQuery) message() {}
func (VersionReply) message() {}

// IsFresh reports whether traffic may follow the release in force. It may not
// after a pause, until others have told what is in force; a balancer that nobody
// answers goes on with what it has after a few seconds.
func (c *Core) IsFresh() bool {
	return !c.wake.stale
}

// notice looks for a pause before each event.
func (c *Core) notice(now time.Duration) {
	gap := now - c.handledAt
	c.handledAt = now
	if !c.started || gap < MaxPause {
		return
	}
	c.wake = wake{stale: true, nonce: c.rnd.Uint64(), at: now, askedAt: now - checkRepeat}
	c.pulling = false
}

// refresh asks others, or ends the wait.
func (c *Core) refresh(now time.Duration) {
	if !c.wake.stale {
		return
	}
	peers := c.checkPeers()
	done := c.wake.heard && c.inForce >= c.wake.number
	if done || len(peers) == 0 || now-c.wake.at >= checkPatience {
		c.wake.stale = false
		return
	}
	if now-c.wake.askedAt < checkRepeat {
		return
	}
	c.wake.askedAt = now
	for _, m := range peers {
		c.emit(Send{To: m, Message: VersionQuery{Nonce: c.wake.nonce}})
	}
}

// checkPeers returns some members to ask: those of the own domain, the holder
// of the lease first, or others if there are none.
func (c *Core) checkPeers() []member.Member {
	var own, other []member.Member
	for _, e := range c.view.Entries {
		switch {
		case e.Name == c.cfg.Self.Name || e.State == member.StateUnreachable:
		case e.Domain == c.cfg.Self.Domain:
			own = append(own, e.Member)
		default:
			other = append(other, e.Member)
		}
	}
	if len(own) == 0 {
		own = other
	}
	c.rnd.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	if i := slices.IndexFunc(own, func(m member.Member) bool { return m.Name == c.holder }); i > 0 {
		own[0], own[i] = own[i], own[0]
	}
	return own[:min(len(own), checkPeers)]
}

// check answers a VersionQuery.
func (c *Core) check(to member.Member, m VersionQuery) {
	if c.wake.stale || c.release.Number == 0 {
		return
	}
	e, ok := c.view.Entry(to.Name)
	c.emit(Send{To: to, Message: VersionReply{
		Nonce:               m.Nonce,
		Number:              c.release.Number,
		Digest:              c.release.Digest,
		IsReceiverReachable: ok && e.State != member.StateUnreachable,
		IsLeaseHolder:       c.leading,
	}})
}

// checked takes the answer to a VersionQuery.
func (c *Core) checked(now time.Duration, from member.Member, m VersionReply) {
	if !c.wake.stale || m.Nonce != c.wake.nonce {
		return
	}
	// Whoever is alone in its domain writes its status itself.
	if m.IsReceiverReachable && (m.IsLeaseHolder || from.Domain != c.cfg.Self.Domain) {
		c.wake.heard = true
	}
	c.wake.number = max(c.wake.number, m.Number)
	c.pulling = c.pulling && now-c.pulledAt < checkRepeat
	c.heard(now, from, m.Number, m.Digest)
	c.refresh(now)
}
