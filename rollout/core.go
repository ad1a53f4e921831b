// Package rollout decides how accepted configurations reach every balancer,
// and how it is observed that they are in force.
//
// # Usage
//
//	core := rollout.NewCore(rollout.Config{Self: self, Seed: seed})
//	for _, e := range core.Handle(now, rollout.PeerConfigReceived{From: m, Number: 7, Digest: d}) {
//		switch e := e.(type) {
//		case rollout.Send:
//			// deliver e.Message to e.To
//		case rollout.Apply:
//			// put e.Release.State() in force
//		}
//	}
//
// The holder of a domain's lease watches the platform and sends what changed
// down a tree of the domain's members. A Delta is applied only to the release
// that it was made from, and the digest of the whole is checked afterwards.
// Whoever holds another release pulls, and gets the changes since that one, or
// the whole. Whoever missed it hears of the number in a heartbeat and pulls it. Reports of the numbers in force go up the tree. A
// core only moves forward in number.
package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaweir/member"
)

// Times and limits of the fan-out.
const (
	// TickInterval is the time between two Tick events.
	TickInterval = 100 * time.Millisecond

	pullTimeout    = time.Second
	leadInterval   = 2 * time.Second
	reportInterval = 2 * time.Second
	reportRepeat   = 500 * time.Millisecond
	reportGap      = 200 * time.Millisecond
	writeInterval  = time.Second
	writeRefresh   = time.Minute
	fetchRetry     = time.Second
	bootTime       = 3 * time.Second
	bootJitter     = 5 * time.Second
	repeats        = 2
	fanOut         = 4
	// keptReleases is the number of former releases that are kept to answer pulls
	// with what changed since.
	keptReleases = 16
)

// Config holds the settings of a Core.
type Config struct {
	// Self is this balancer.
	Self member.Member
	// Seed makes the jitter reproducible.
	Seed uint64
}

// Core decides about the fan-out. It is used by one goroutine.
type Core struct {
	cfg  Config
	rnd  *rand.Rand
	view member.View
	tree tree

	release Release
	// former are releases that were held before, the newest last.
	former   []Release
	inForce  uint64
	disputed bool
	reported DigestMismatch

	leading  bool
	holder   string
	fence    uint64
	sequence uint64
	leadAt   time.Duration

	wake      wake
	handledAt time.Duration
	pulling   bool
	pulledAt  time.Duration
	fetching  bool
	fetchAt   time.Duration
	started   bool
	reports   map[string]child
	sent      Report
	sentAt    time.Duration
	repeat    int
	writtenAt time.Duration
	status    statusState
	effects   []Effect
}

// child is the last report of a member below this one.
type child struct {
	life   uint64
	report Report
}

// NewCore returns a core without a configuration.
func NewCore(cfg Config) *Core {
	return &Core{
		cfg:     cfg,
		rnd:     rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Life)),
		reports: make(map[string]child),
	}
}

// Release returns the newest release that the core took.
func (c *Core) Release() Release {
	return c.release
}

// LeaseHolder returns the name of the balancer that last led the domain, as far as
// this one has heard; empty if it has heard of none.
func (c *Core) LeaseHolder() string {
	return c.holder
}

// Handle takes one event at a time since the start of the process and returns
// what has to be done.
func (c *Core) Handle(now time.Duration, e Event) []Effect {
	c.effects = nil
	c.notice(now)
	if !c.started {
		c.started = true
		c.fetchAt = now + bootTime + c.jitter(bootJitter)
	}
	switch e := e.(type) {
	case Tick:
		c.tick(now)
	case ViewChanged:
		c.see(e.View)
	case PeerConfigReceived:
		c.heard(now, e.From, e.Number, e.Digest)
	case Received:
		c.receive(now, e.From, e.Message)
	case Acquired:
		c.acquire(now, e.Fence)
	case Released:
		c.leading = false
	case Fetched:
		c.fetched(now, e.Release)
	case FetchFailed:
		c.fetching = false
		c.fetchAt = now + fetchRetry + c.jitter(fetchRetry)
	case ReleaseActive:
		c.inForce = max(c.inForce, e.Number)
		c.refresh(now)
	}
	return c.effects
}

// see takes a new view and forgets the reports of members that are gone.
func (c *Core) see(v member.View) {
	c.view = v
	for name := range c.reports {
		if _, ok := v.Entry(name); !ok {
			delete(c.reports, name)
		}
	}
	c.replant()
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.rnd.Int64N(int64(limit)))
}

func (c *Core) tick(now time.Duration) {
	if now >= c.fetchAt && c.wantsPlatform() {
		c.fetch()
	}
	c.refresh(now)
	if c.wake.stale {
		return
	}
	if c.leading && now-c.leadAt >= leadInterval {
		c.lead(now)
	}
	c.report(now)
}

// wantsPlatform reports whether this balancer has a reason of its own to call
// the platform: it holds the lease, has nothing, or has to settle a mismatch.
func (c *Core) wantsPlatform() bool {
	return c.leading || c.disputed || c.release.Number == 0
}

func (c *Core) fetch() {
	if c.fetching {
		return
	}
	c.fetching = true
	after := c.release.Number
	if c.disputed {
		after--
	}
	c.emit(Fetch{After: after})
}

func (c *Core) fetched(now time.Duration, r Release) {
	c.fetching = false
	c.fetchAt = now
	if c.disputed && r.Number == c.release.Number {
		c.settle(now, r)
		return
	}
	if !c.adopt(now, r) {
		c.fetchAt = now + fetchRetry + c.jitter(fetchRetry)
	}
}

// settle takes the platform's word for the content of the own number.
func (c *Core) settle(now time.Duration, r Release) {
	c.disputed = false
	if r.Digest != c.release.Digest {
		c.take(now, r)
	}
}

// heard compares the configuration of another member with the own one.
func (c *Core) heard(now time.Duration, from member.Member, number uint64, digest string) {
	if number == c.release.Number && digest != c.release.Digest {
		c.mismatch(now, from.Name, digest)
	}
	if number <= c.release.Number || c.pulling && now-c.pulledAt < pullTimeout {
		return
	}
	c.pull(now, from, c.release.Digest)
}

// pull asks a member for what is newer: the changes since the own content if
// digest names it, else the whole.
func (c *Core) pull(now time.Duration, from member.Member, digest string) {
	c.pulling = true
	c.pulledAt = now
	c.emit(Send{To: from, Message: Pull{Number: c.release.Number, Digest: digest}})
}

func (c *Core) mismatch(now time.Duration, from, digest string) {
	m := DigestMismatch{Number: c.release.Number, Own: c.release.Digest, Other: digest, From: from}
	if c.reported.Number == m.Number && c.reported.Other == m.Other {
		return
	}
	c.reported = m
	c.emit(m)
	c.disputed = true
	c.fetching = false
	c.fetchAt = now + c.jitter(fetchRetry)
}

// adopt takes a release if it is newer.
func (c *Core) adopt(now time.Duration, r Release) bool {
	if r.Number <= c.release.Number {
		return false
	}
	c.take(now, r)
	return true
}

// take makes r the own release and tells the members below what changed.
func (c *Core) take(now time.Duration, r Release) {
	before := c.release
	c.keep(before)
	c.release = r
	c.disputed = false
	c.pulling = false
	c.emit(Apply{Release: r})
	if c.leading {
		c.sequence++
		c.leadAt = now
	}
	d, _ := r.DeltaFrom(before)
	c.down(d)
}

// keep remembers a former release.
func (c *Core) keep(r Release) {
	if r.Number == 0 {
		return
	}
	c.former = append(c.former, r.withoutState())
	if n := len(c.former) - keptReleases; n > 0 {
		c.former = slices.Delete(c.former, 0, n)
	}
}

func (c *Core) receive(now time.Duration, from string, m Message) {
	e, ok := c.view.Entry(from)
	if !ok {
		return
	}
	switch m := m.(type) {
	case LeaderUpdate:
		if e.Domain == c.cfg.Self.Domain {
			c.led(now, e.Member, m)
		}
	case Report:
		if e.Domain == c.cfg.Self.Domain {
			c.reports[from] = child{life: e.Life, report: m}
		}
	case Pull:
		c.pulled(e.Member, m)
	case SnapshotReply:
		c.given(now, e.Member, m.Snapshot)
	case VersionQuery:
		c.check(e.Member, m)
	case VersionReply:
		c.checked(now, e.Member, m)
	case DeltaReply:
		c.givenDelta(now, e.Member, m.Delta)
	}
}
