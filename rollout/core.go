// Package rollout distributes releases to all balancers and collects reports of
// the release numbers that are active on them. A release is one numbered state of
// the fleet, together with the configuration that its head names. Release numbers
// are the numbers of fleet states, not of tickets.
//
// # Usage
//
//	core := rollout.NewCore(rollout.Config{Self: self, Seed: seed})
//	for _, e := range core.Handle(now, rollout.PeerReleaseReceived{From: m, Number: 7, Digest: d}) {
//		switch e := e.(type) {
//		case rollout.Send:
//			// deliver e.Message to e.To
//		case rollout.Apply:
//			// apply e.Release.State() to the traffic
//		}
//	}
//
// The lease holder of a failure domain watches the platform and sends each
// change as a Delta down a tree of the domain's members. A Delta is applied only
// to the release that it was made from, and the digest of the resulting release
// is checked afterwards. A member with another release sends a Pull and receives
// a Delta from its own release, or a Snapshot. A member that missed a message
// receives the newer number in a heartbeat and pulls the release. Each member sends
// a Report of the active numbers to its parent in the tree. A core never goes back
// to a lower number.
package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaweir/member"
)

// Times and limits of the distribution.
const (
	// TickInterval is the time between two Tick events.
	TickInterval = 100 * time.Millisecond

	// pullTimeout is the time that a Pull waits for a reply before another Pull may
	// be sent.
	pullTimeout = time.Second
	// leaderUpdateInterval is the time after a LeaderUpdate at which the lease holder
	// starts the next one, even if the release has not changed.
	leaderUpdateInterval = 2 * time.Second
	// reportInterval is the time between two unchanged reports, after the repeats of the
	// last changed one.
	reportInterval = 2 * time.Second
	// reportRepeatInterval is the time between the repeats of a changed report.
	reportRepeatInterval = 500 * time.Millisecond
	// minReportInterval is the minimum time between a report and the next changed one.
	minReportInterval = 200 * time.Millisecond
	// minStatusWriteInterval is the minimum time between two writes of the status.
	minStatusWriteInterval = time.Second
	// maxStatusWriteInterval is the time after which an unchanged status is written again.
	maxStatusWriteInterval = time.Minute
	// fetchRetryDelay is the time before a Fetch is retried that failed or returned no
	// newer release. A random time of up to fetchRetryDelay is added.
	fetchRetryDelay = time.Second
	// firstFetchDelay is the time from the first event of a core to its first Fetch,
	// unless its balancer acquires the lease earlier. Until then the core can receive a
	// release from its peers.
	firstFetchDelay = 3 * time.Second
	// firstFetchJitter is the upper bound of the random time added to firstFetchDelay.
	firstFetchJitter = 5 * time.Second
	// maxReportRepeats is the number of repeats of a changed report, in case a message is
	// lost.
	maxReportRepeats = 2
	// maxChildren is the largest number of members to which one member sends updates.
	maxChildren = 4
	// maxFormerReleases is the number of former releases that are retained, so that
	// a Pull can be answered with a Delta.
	maxFormerReleases = 16
)

// Config holds the settings of a Core.
type Config struct {
	// Self is this balancer.
	Self member.Member
	// Seed is the seed of the random decisions, which makes them reproducible.
	Seed uint64
}

// Core decides which messages, platform calls and releases are due on this
// balancer. It does no I/O: it turns events into effects. It is not safe for
// concurrent use.
type Core struct {
	cfg  Config
	rnd  *rand.Rand
	view member.View
	tree tree

	release Release
	// formerReleases are the last releases before the current one, at most
	// maxFormerReleases, sorted from the oldest to the newest.
	formerReleases []Release
	// activeNumber is the number of the release that the traffic follows, 0 for none.
	activeNumber uint64
	// hasDigestMismatch reports whether another member has named a different digest
	// under the current number, and the platform has not yet returned its release of
	// that number.
	hasDigestMismatch bool
	// reportedMismatch is the last mismatch that was reported.
	reportedMismatch DigestMismatch

	isLeaseHolder bool
	// leaseHolder is the name of the last known lease holder, empty for none.
	leaseHolder string
	// fence is the fencing number of leaseHolder.
	fence uint64
	// sequence is the highest sequence number of the LeaderUpdates of leaseHolder.
	sequence uint64
	// lastLeaderUpdateAt is the time at which this balancer, as the lease holder, last
	// started a LeaderUpdate.
	lastLeaderUpdateAt time.Duration

	recovery    pauseRecovery
	lastEventAt time.Duration
	// hasPendingPull reports whether the last Pull, sent at pullSentAt, has not led to
	// a new release.
	hasPendingPull bool
	pullSentAt     time.Duration
	// hasPendingFetch reports whether the caller still performs the last Fetch.
	hasPendingFetch bool
	// nextFetchAt is the earliest time of the next Fetch.
	nextFetchAt time.Duration
	// started reports whether the core has handled an event.
	started bool
	// childReports holds the last report of each child in the tree, by name.
	childReports map[string]childReport
	// sentReport is the last report that was sent to the parent.
	sentReport   Report
	reportSentAt time.Duration
	// remainingRepeats is the number of repeats of sentReport that are still to be sent.
	remainingRepeats int
	statusWrittenAt  time.Duration
	status           statusState
	effects          []Effect
}

// childReport is a report that a member has sent to this balancer as its parent in
// the tree.
type childReport struct {
	// life identifies the process instance that sent the report.
	life   uint64
	report Report
}

// NewCore returns a core without a configuration.
func NewCore(cfg Config) *Core {
	return &Core{
		cfg:          cfg,
		rnd:          rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Life)),
		childReports: make(map[string]childReport),
	}
}

// Release returns the newest release that the core has accepted. It may not be
// active yet.
func (c *Core) Release() Release {
	return c.release
}

// LeaseHolder returns the name of the last known lease holder of the domain, or
// an empty string if none is known.
func (c *Core) LeaseHolder() string {
	return c.leaseHolder
}

// Handle processes one event and returns the effects to perform. The time now is
// the duration since the start of the process.
func (c *Core) Handle(now time.Duration, e Event) []Effect {
	c.effects = nil
	c.detectPause(now)
	if !c.started {
		c.started = true
		c.nextFetchAt = now + firstFetchDelay + c.jitter(firstFetchJitter)
	}
	switch e := e.(type) {
	case Tick:
		c.tick(now)
	case ViewChanged:
		c.handleView(e.View)
	case PeerReleaseReceived:
		c.handlePeerRelease(now, e.From, e.Number, e.Digest)
	case MessageReceived:
		c.handleMessage(now, e.From, e.Message)
	case LeaseAcquired:
		c.handleAcquired(now, e.Fence)
	case LeaseReleased:
		c.isLeaseHolder = false
	case Fetched:
		c.handleFetched(now, e.Release)
	case FetchFailed:
		c.hasPendingFetch = false
		c.nextFetchAt = now + fetchRetryDelay + c.jitter(fetchRetryDelay)
	case ReleaseActive:
		c.activeNumber = max(c.activeNumber, e.Number)
		c.recoverFromPause(now)
	}
	return c.effects
}

// handleView stores a new view and removes the reports of members that are no
// longer in it.
func (c *Core) handleView(v member.View) {
	c.view = v
	for name := range c.childReports {
		if _, ok := v.Entry(name); !ok {
			delete(c.childReports, name)
		}
	}
	c.rebuildTree()
}

// emit adds an effect to the result of the current call of Handle.
func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// jitter returns a random duration below limit.
func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.rnd.Int64N(int64(limit)))
}

// tick emits what is due at the time now. A core that is stale after a pause sends
// no LeaderUpdate and no report, and writes no status.
func (c *Core) tick(now time.Duration) {
	if now >= c.nextFetchAt && c.needsPlatform() {
		c.fetch()
	}
	c.recoverFromPause(now)
	if c.recovery.isStale {
		return
	}
	if c.isLeaseHolder && now-c.lastLeaderUpdateAt >= leaderUpdateInterval {
		c.startLeaderUpdate(now)
	}
	c.sendReport(now)
}

// needsPlatform reports whether this balancer has to fetch from the platform: it
// holds the lease, has no release, or has to resolve a digest mismatch.
func (c *Core) needsPlatform() bool {
	return c.isLeaseHolder || c.hasDigestMismatch || c.release.Number == 0
}

// fetch emits a Fetch, unless one is pending. The Fetch asks for a release above the
// current number, or from the current number on if a digest mismatch has to be
// resolved.
func (c *Core) fetch() {
	if c.hasPendingFetch {
		return
	}
	c.hasPendingFetch = true
	after := c.release.Number
	if c.hasDigestMismatch {
		after--
	}
	c.emit(Fetch{After: after})
}

// handleFetched applies a release of the platform if it is newer, or if it resolves a
// digest mismatch. Otherwise the platform's read was stale, and the Fetch is retried
// after a delay.
func (c *Core) handleFetched(now time.Duration, r Release) {
	c.hasPendingFetch = false
	c.nextFetchAt = now
	if c.hasDigestMismatch && r.Number == c.release.Number {
		c.resolveMismatch(now, r)
		return
	}
	if !c.applyIfNewer(now, r) {
		c.nextFetchAt = now + fetchRetryDelay + c.jitter(fetchRetryDelay)
	}
}

// resolveMismatch replaces the current release by the platform's release of the
// same number if their digests differ.
func (c *Core) resolveMismatch(now time.Duration, r Release) {
	c.hasDigestMismatch = false
	if r.Digest != c.release.Digest {
		c.setRelease(now, r)
	}
}

// handlePeerRelease compares the release of another member with the current one.
// It reports a digest mismatch. It pulls a newer release, unless another Pull was
// sent less than pullTimeout ago and is still pending.
func (c *Core) handlePeerRelease(now time.Duration, from member.Member, number uint64, digest string) {
	if number == c.release.Number && digest != c.release.Digest {
		c.reportMismatch(now, from.Name, digest)
	}
	if number <= c.release.Number || c.hasPendingPull && now-c.pullSentAt < pullTimeout {
		return
	}
	c.sendPull(now, from, c.release.Digest)
}

// sendPull asks a member for a newer release: for a Delta if digest is that of
// the current release, for a Snapshot if digest is empty.
func (c *Core) sendPull(now time.Duration, from member.Member, digest string) {
	c.hasPendingPull = true
	c.pullSentAt = now
	c.emit(Send{To: from, Message: Pull{Number: c.release.Number, Digest: digest}})
}

// reportMismatch emits a DigestMismatch, unless it was the last one that was
// reported, and schedules a Fetch of the platform's release of the current number. A
// pending Fetch is replaced, as it asks for a higher number.
func (c *Core) reportMismatch(now time.Duration, from, digest string) {
	m := DigestMismatch{Number: c.release.Number, Own: c.release.Digest, Other: digest, From: from}
	if c.reportedMismatch.Number == m.Number && c.reportedMismatch.Other == m.Other {
		return
	}
	c.reportedMismatch = m
	c.emit(m)
	c.hasDigestMismatch = true
	c.hasPendingFetch = false
	c.nextFetchAt = now + c.jitter(fetchRetryDelay)
}

// applyIfNewer makes r the current release if its number is higher than the current
// one. It reports whether it did.
func (c *Core) applyIfNewer(now time.Duration, r Release) bool {
	if r.Number <= c.release.Number {
		return false
	}
	c.setRelease(now, r)
	return true
}

// setRelease makes r the current release, and sends the children a LeaderUpdate with
// the delta from the previous release. If there is no such delta, for example because
// it is too large, the LeaderUpdate has none, and the children pull the release.
func (c *Core) setRelease(now time.Duration, r Release) {
	previous := c.release
	c.retainFormer(previous)
	c.release = r
	c.hasDigestMismatch = false
	c.hasPendingPull = false
	c.emit(Apply{Release: r})
	if c.isLeaseHolder {
		c.sequence++
		c.lastLeaderUpdateAt = now
	}
	d, _ := r.DeltaFrom(previous)
	c.sendToChildren(d)
}

// retainFormer adds r to the former releases and removes the oldest ones above
// the limit.
func (c *Core) retainFormer(r Release) {
	if r.Number == 0 {
		return
	}
	c.formerReleases = append(c.formerReleases, r.withoutState())
	if excess := len(c.formerReleases) - maxFormerReleases; excess > 0 {
		c.formerReleases = slices.Delete(c.formerReleases, 0, excess)
	}
}

// handleMessage processes a message of a member. Messages of members that are not in
// the view are ignored, and so are LeaderUpdates and Reports from other domains.
func (c *Core) handleMessage(now time.Duration, from string, m Message) {
	e, ok := c.view.Entry(from)
	if !ok {
		return
	}
	switch m := m.(type) {
	case LeaderUpdate:
		if e.Domain == c.cfg.Self.Domain {
			c.handleLeaderUpdate(now, e.Member, m)
		}
	case Report:
		if e.Domain == c.cfg.Self.Domain {
			c.childReports[from] = childReport{life: e.Life, report: m}
		}
	case Pull:
		c.handlePull(e.Member, m)
	case SnapshotReply:
		c.applySnapshot(now, e.Member, m.Snapshot)
	case VersionQuery:
		c.handleVersionQuery(e.Member, m)
	case VersionReply:
		c.handleVersionReply(now, e.Member, m)
	case DeltaReply:
		c.handleDeltaReply(now, e.Member, m.Delta)
	}
}
