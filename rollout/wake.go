package rollout

import (
	"slices"
	"time"

	"wisteriaweir/member"
)

// Times and limits of the recovery after a pause of the process.
const (
	// MaxPause is the time between two events at which a balancer starts a recovery. It
	// is shorter than member.SuspicionTimeout: after a pause below MaxPause, the other
	// balancers do not yet consider this one unreachable if they received its heartbeats
	// until the pause.
	MaxPause = 2500 * time.Millisecond

	// queryInterval is the time between two rounds of VersionQuery messages. During the
	// recovery it also replaces pullTimeout, so that a Pull is repeated earlier.
	queryInterval = 200 * time.Millisecond
	// recoveryTimeout is the time after which a balancer continues with its active
	// release even if no reply has confirmed it.
	recoveryTimeout = 3 * time.Second
	// maxQueriedPeers is the largest number of members that are queried in a round.
	maxQueriedPeers = 3
)

// pauseRecovery is the state of the recovery after a pause of the process. During
// the pause the lease holder may have written a status that reports a newer number
// as active and does not count this balancer. It may write more such statuses as long
// as it considers this balancer unreachable. This balancer is therefore stale until
// the lease holder has replied with its number after the pause, considers this
// balancer reachable, and that number is active here.
type pauseRecovery struct {
	// isStale reports whether the recovery is running.
	isStale bool
	// nonce distinguishes replies to the queries after this pause from replies to
	// earlier queries.
	nonce uint64
	// detectedAt is the time of the first event after the pause.
	detectedAt time.Duration
	// queriedAt is the time of the last round of queries.
	queriedAt time.Duration
	// isConfirmed reports whether the lease holder, or a member of another domain, has
	// replied that it considers this balancer reachable.
	isConfirmed bool
	// maxReportedNumber is the highest number in the replies. The recovery ends
	// when it is active here.
	maxReportedNumber uint64
}

// VersionQuery asks for the current release of the receiver, after a pause of the
// sender.
type VersionQuery struct {
	// Nonce is a random number that the reply repeats.
	Nonce uint64
}

// VersionReply answers a VersionQuery. A balancer that is stale itself or has no
// release does not answer.
type VersionReply struct {
	// Nonce is the nonce of the query.
	Nonce uint64
	// Number is the number of the sender's current release.
	Number uint64
	// Digest is the digest of the sender's current release.
	Digest string
	// IsReceiverReachable reports whether the sender considers the receiver
	// reachable.
	IsReceiverReachable bool
	// IsLeaseHolder reports whether the sender holds the lease of its domain.
	IsLeaseHolder bool
}

func (VersionQuery) message() {}
func (VersionReply) message() {}

// IsFresh reports whether traffic may follow the active release. After a pause of
// the process it may not, until other balancers have replied with their numbers
// and the highest of them is active here. Without such a reply the balancer
// continues with its active release after 3 s, or at once if it has no reachable
// peer.
func (c *Core) IsFresh() bool {
	return !c.recovery.isStale
}

// detectPause starts the recovery if MaxPause or more has passed since the last
// event. It is called before each event is processed. The first round of queries is
// due at once, and a Pull from before the pause does not delay the next one.
func (c *Core) detectPause(now time.Duration) {
	sinceLastEvent := now - c.lastEventAt
	c.lastEventAt = now
	if !c.started || sinceLastEvent < MaxPause {
		return
	}
	c.recovery = pauseRecovery{isStale: true, nonce: c.rnd.Uint64(), detectedAt: now, queriedAt: now - queryInterval}
	c.hasPendingPull = false
}

// recoverFromPause ends the recovery if the highest number in the replies is active
// here and the replies confirm that this balancer is reachable, if there is no member
// to query, or after recoveryTimeout. Otherwise it sends the next round of queries if
// that is due.
func (c *Core) recoverFromPause(now time.Duration) {
	if !c.recovery.isStale {
		return
	}
	peers := c.queriedPeers()
	isRecovered := c.recovery.isConfirmed && c.activeNumber >= c.recovery.maxReportedNumber
	if isRecovered || len(peers) == 0 || now-c.recovery.detectedAt >= recoveryTimeout {
		c.recovery.isStale = false
		return
	}
	if now-c.recovery.queriedAt < queryInterval {
		return
	}
	c.recovery.queriedAt = now
	for _, m := range peers {
		c.emit(Send{To: m, Message: VersionQuery{Nonce: c.recovery.nonce}})
	}
}

// queriedPeers returns at most maxQueriedPeers members to query, in random order:
// other reachable members of the own domain, with the lease holder first, or reachable
// members of other domains if the own one has no other reachable member.
func (c *Core) queriedPeers() []member.Member {
	var peers, otherDomains []member.Member
	for _, e := range c.view.Entries {
		switch {
		case e.Name == c.cfg.Self.Name || e.State == member.StateUnreachable:
		case e.Domain == c.cfg.Self.Domain:
			peers = append(peers, e.Member)
		default:
			otherDomains = append(otherDomains, e.Member)
		}
	}
	if len(peers) == 0 {
		peers = otherDomains
	}
	c.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if holderIndex := slices.IndexFunc(peers, func(m member.Member) bool { return m.Name == c.leaseHolder }); holderIndex > 0 {
		peers[0], peers[holderIndex] = peers[holderIndex], peers[0]
	}
	return peers[:min(len(peers), maxQueriedPeers)]
}

// handleVersionQuery answers a VersionQuery, unless this balancer is stale itself or
// has no release.
func (c *Core) handleVersionQuery(to member.Member, m VersionQuery) {
	if c.recovery.isStale || c.release.Number == 0 {
		return
	}
	e, ok := c.view.Entry(to.Name)
	c.emit(Send{To: to, Message: VersionReply{
		Nonce:               m.Nonce,
		Number:              c.release.Number,
		Digest:              c.release.Digest,
		IsReceiverReachable: ok && e.State != member.StateUnreachable,
		IsLeaseHolder:       c.isLeaseHolder,
	}})
}

// handleVersionReply records the reply to a VersionQuery and pulls a newer release. A
// pending Pull delays the next one by queryInterval only.
func (c *Core) handleVersionReply(now time.Duration, from member.Member, m VersionReply) {
	if !c.recovery.isStale || m.Nonce != c.recovery.nonce {
		return
	}
	// A balancer that queries members of other domains is alone in its own one and
	// writes its status itself, so that the reply of any of them suffices.
	if m.IsReceiverReachable && (m.IsLeaseHolder || from.Domain != c.cfg.Self.Domain) {
		c.recovery.isConfirmed = true
	}
	c.recovery.maxReportedNumber = max(c.recovery.maxReportedNumber, m.Number)
	c.hasPendingPull = c.hasPendingPull && now-c.pullSentAt < queryInterval
	c.handlePeerRelease(now, from, m.Number, m.Digest)
	c.recoverFromPause(now)
}
