package request

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/service"
)

// Core decides about the requests of one balancer. It is not safe for
// concurrent use.
type Core struct {
	cfg Config
	// now is the time of the current event.
	now time.Duration
	// started reports whether there has been an event.
	started bool
	// effects are the effects of the current event so far.
	effects []Effect

	timers timerQueue
	// lastSeq is the last sequence number assigned. Timers, requests and attempts
	// share one sequence.
	lastSeq uint64
	// wakeAt is the time of the last Wake, -1 if none.
	wakeAt time.Duration

	serviceConfig service.Config
	slotIdleTimes map[TargetKey]time.Duration
	// view has the live balancers that accept new requests.
	view []Member
	// leaving has the live balancers that are stopping.
	leaving []Member
	// forwarded has the requests that were sent to another coordinator.
	forwarded map[Key]*forwardedRequest
	// openClaims has the requests in stateClaiming, by the nonce of the claim.
	openClaims map[uint64]*record
	// coordinators caches the coordinator of each service in the local domain.
	coordinators map[string]Member
	// stamps are the newest freshness stamps of other balancers.
	stamps map[Peer]uint64
	// excluded has the unresponsive coordinators, which are not selected until
	// they send a message or the view changes.
	excluded map[Peer]bool
	// pools has the state of each service, by name.
	pools map[string]*pool
	// serviceNames has the keys of pools, sorted.
	serviceNames []string
	// attempts has the open attempts, by token.
	attempts map[uint64]*attempt
	// pushes has the requests pushed to other coordinators, by token.
	pushes      map[uint64]*push
	claimHolder claimHolder
	// lastUnique is the counter behind uniqueNumber.
	lastUnique uint64
	// pauseEndedAt is when the last pause ended, an hour before the start if there
	// was none.
	pauseEndedAt time.Duration
	stopping     bool
	stopped      bool
}

// New returns a Core that has no configuration, no view and no holder set yet.
func New(cfg Config) *Core {
	cfg.Limits = cfg.Limits.withDefaults()
	cfg.Times = cfg.Times.withDefaults()
	c := &Core{
		cfg:          cfg,
		forwarded:    make(map[Key]*forwardedRequest),
		coordinators: make(map[string]Member),
		stamps:       make(map[Peer]uint64),
		excluded:     make(map[Peer]bool),
		openClaims:   make(map[uint64]*record),
		pools:        make(map[string]*pool),
		attempts:     make(map[uint64]*attempt),
		pushes:       make(map[uint64]*push),
		wakeAt:       -1,
		pauseEndedAt: -time.Hour,
	}
	c.claimHolder.init(c)
	c.maintain()
	return c
}

// Handle processes one event and returns the effects to execute, in order. The
// time now must not be earlier than in the previous call.
func (c *Core) Handle(now time.Duration, e Event) []Effect {
	c.effects = nil
	elapsed := now - c.now
	c.now = max(now, c.now)
	if c.started && elapsed > c.cfg.MaxPause {
		c.handlePause()
	}
	c.started = true
	c.runTimers()
	c.handleEvent(e)
	c.runTimers()
	c.serveChangedPools()
	c.reportLoads()
	c.finishStop()
	c.emitWake()
	return c.effects
}

// handleEvent calls the handler for the type of e.
func (c *Core) handleEvent(e Event) {
	switch e := e.(type) {
	case Received:
		c.handleReceived(e.Request)
	case Cancelled:
		c.handleCancelled(e)
	case Answered:
		c.handleAnswered(e)
	case TargetLost:
		c.handleTargetLost(e)
	case MessageReceived:
		c.handleMessage(e.From, e.Message)
	case ViewChanged:
		c.handleViewChanged(e)
	case ClaimHoldersChanged:
		c.claimHolder.applySet(e.Set)
	case ConfigChanged:
		c.handleConfigChanged(e)
	case Stop:
		c.handleStop()
	case Tick:
	}
}

// handleMessage calls the handler for the type of m. Any message ends the
// exclusion of its sender as a coordinator.
func (c *Core) handleMessage(from Peer, m Message) {
	c.endExclusion(from)
	switch m := m.(type) {
	case Hop:
		c.handleHop(from, m)
	case Taken:
		c.handleTaken(m, from)
	case StaleStamp:
		c.handleStaleStamp(m, from)
	case Done:
		c.handleDone(m.Key, from)
	case UnknownRequest:
		c.handleUnknownRequest(m.Key, from)
	case Cancel:
		c.handleCancel(m)
	case Push:
		c.handlePush(from, m)
	case PushReply:
		c.handlePushReply(from, m)
	case LoadReport:
		c.handleLoadReport(from, m)
	case Repeat:
		c.handleRepeat(from, m.Request)
	case Yield:
		c.handleYield(from, m)
	case ClaimRequest:
		c.send(from, c.claimHolder.handleClaimRequest(from, m))
	case Vote:
		c.handleVote(from, m)
	case ClaimHolderHeartbeat:
		c.claimHolder.handleHeartbeat(from, m)
	case HandoverRequest:
		c.claimHolder.handleClaimsRequest(from, m)
	case HandoverReply:
		c.claimHolder.handleClaimsReply(from, m)
	}
}

// emit adds e to the effects of the current event.
func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// send sends m to a peer. A message to this balancer itself is handled at once.
func (c *Core) send(to Peer, m Message) {
	if to == c.cfg.Self.Peer {
		c.handleMessage(to, m)
		return
	}
	c.emit(Send{To: to, Message: m})
}

// isReachable reports whether p is this balancer or reachable in the local view.
func (c *Core) isReachable(p Peer) bool {
	if p == c.cfg.Self.Peer {
		return true
	}
	return containsPeer(c.view, p) || containsPeer(c.leaving, p)
}

// uniqueNumber returns a 64-bit number that, except for a hash collision, no
// other balancer and no other process instance uses.
func (c *Core) uniqueNumber() uint64 {
	c.lastUnique++
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], c.cfg.Seed)
	binary.BigEndian.PutUint64(b[8:], c.cfg.Self.Life)
	binary.BigEndian.PutUint64(b[16:], c.lastUnique)
	return xxhash.Sum64(append(b[:], c.cfg.Self.Name...))
}

// handleViewChanged applies a new view: it selects the coordinators again and
// handles the requests whose coordinator, claim owner or push receiver is no longer
// reachable.
func (c *Core) handleViewChanged(e ViewChanged) {
	c.view, c.leaving = e.Members, e.Leaving
	clear(c.coordinators)
	clear(c.excluded)
	maps.DeleteFunc(c.stamps, func(p Peer, _ uint64) bool { return !c.isReachable(p) })
	c.rerouteForwarded()
	for _, name := range c.serviceNames {
		c.pools[name].updateRemotes()
	}
	c.recheckClaims()
}

// handleConfigChanged applies a configuration unless it is older than the
// current one.
func (c *Core) handleConfigChanged(e ConfigChanged) {
	if e.Config.Number < c.serviceConfig.Number {
		return
	}
	c.serviceConfig, c.slotIdleTimes = e.Config, e.SlotIdleTimes
	for _, name := range c.serviceNames {
		c.pools[name].updateTargets()
	}
}

// maintain runs every HeartbeatInterval: it sends heartbeats and removes expired
// state. Because of its timer even an idle Core handles events regularly, so that
// a long time between two events means a pause of the process.
func (c *Core) maintain() {
	c.after(c.cfg.HeartbeatInterval, c.maintain)
	c.claimHolder.maintain()
	for _, name := range slices.Clone(c.serviceNames) {
		c.pools[name].cleanUp()
		c.removeUnused(name)
	}
}

// handlePause ends those requests from before a pause that are not repeatable and
// that were forwarded to a coordinator, had an open claim or were queued. It also
// discards the heartbeats received by the claim holder. For MaxPause after the
// pause, handleReceived replies with OutcomeUnknown to further requests that are
// not repeatable, because they may have waited for any part of the pause.
func (c *Core) handlePause() {
	c.pauseEndedAt = c.now
	clear(c.claimHolder.lastHeartbeatAt)
	c.failUnrepeatable()
	for _, name := range c.serviceNames {
		c.pools[name].handlePause()
	}
}

// handleStop stops coordinating services and pushes the queued requests to the next
// coordinators.
func (c *Core) handleStop() {
	c.stopping = true
	clear(c.coordinators)
	for _, name := range c.serviceNames {
		c.pools[name].updateRemotes()
	}
}

// finishStop emits Stopped once after Stop, when no request is unfinished and the
// coordinators have acknowledged all forwarded requests.
func (c *Core) finishStop() {
	if !c.stopping || c.stopped {
		return
	}
	for _, name := range c.serviceNames {
		if c.pools[name].openRecords > 0 {
			return
		}
	}
	for _, f := range c.forwarded {
		if !f.accepted {
			return
		}
	}
	c.stopped = true
	c.emit(Stopped{})
}
