package request

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/service"
)

// Core decides about the requests of one balancer. It is not safe for
// concurrent use.
type Core struct {
	cfg     Config
	now     time.Duration
	started bool
	effects []Effect

	timers timerQueue
	order  uint64
	woken  time.Duration

	config  service.Config
	gaps    map[TargetKey]time.Duration
	view    []Member
	leaving []Member
	entries map[Key]*entry
	claims  map[uint64]*record
	keepers map[string]Member
	// stamps are the newest stamps of other balancers.
	stamps   map[Peer]uint64
	muted    map[Peer]bool
	pools    map[string]*pool
	names    []string
	attempts map[uint64]*attempt
	pushes   map[uint64]*push
	holder   holder
	nonce    uint64
	// paused is when the last pause ended, an hour before the start if none.
	paused   time.Duration
	stopping bool
	stopped  bool
}

// New returns a Core without configuration, view or holders.
func New(cfg Config) *Core {
	cfg.Limits = cfg.Limits.withDefaults()
	cfg.Times = cfg.Times.withDefaults()
	c := &Core{
		cfg:      cfg,
		entries:  make(map[Key]*entry),
		keepers:  make(map[string]Member),
		stamps:   make(map[Peer]uint64),
		muted:    make(map[Peer]bool),
		claims:   make(map[uint64]*record),
		pools:    make(map[string]*pool),
		attempts: make(map[uint64]*attempt),
		pushes:   make(map[uint64]*push),
		woken:    -1,
		paused:   -time.Hour,
	}
	c.holder.init(c)
	c.housekeep()
	return c
}

// Handle takes one event at the time now and returns what to do about it. The
// time never goes back.
func (c *Core) Handle(now time.Duration, e Event) []Effect {
	c.effects = nil
	gap := now - c.now
	c.now = max(now, c.now)
	if c.started && gap > c.cfg.MaxPause {
		c.afterPause()
	}
	c.started = true
	c.runTimers()
	c.handle(e)
	c.runTimers()
	c.settle()
	c.report()
	c.finishStop()
	c.wake()
	return c.effects
}

func (c *Core) handle(e Event) {
	switch e := e.(type) {
	case Received:
		c.received(e.Request)
	case Cancelled:
		c.cancelled(e)
	case Answered:
		c.answered(e)
	case TargetLost:
		c.targetLost(e)
	case MessageReceived:
		c.delivered(e.From, e.Message)
	case ViewChanged:
		c.viewChanged(e)
	case HoldersChanged:
		c.holder.change(e.Set)
	case ConfigChanged:
		c.configChanged(e)
	case Stop:
		c.stop()
	case Tick:
	}
}

func (c *Core) delivered(from Peer, m Message) {
	c.heard(from)
	switch m := m.(type) {
	case Hop:
		c.hop(from, m)
	case Taken:
		c.taken(m, from)
	case StaleStamp:
		c.stale(m, from)
	case Done:
		c.done(m.Key, from)
	case UnknownRequest:
		c.forgotten(m.Key, from)
	case Cancel:
		c.cancel(m)
	case Push:
		c.pushReceived(from, m)
	case PushReply:
		c.pushAnswered(from, m)
	case LoadReport:
		c.loadReceived(from, m)
	case Repeat:
		c.repeated(from, m.Request)
	case Yield:
		c.yielded(from, m)
	case ClaimRequest:
		c.send(from, c.holder.ask(from, m))
	case Vote:
		c.voted(from, m)
	case HolderHeartbeat:
		c.holder.beat(from, m)
	case ClaimsRequest:
		c.holder.fetched(from, m)
	case ClaimsReply:
		c.holder.claimed(from, m)
	}
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// send carries m to a peer; one to the core itself is handled at once.
func (c *Core) send(to Peer, m Message) {
	if to == c.cfg.Self.Peer {
		c.delivered(to, m)
		return
	}
	c.emit(Send{To: to, Message: m})
}

// alive reports whether p is in the own view.
func (c *Core) alive(p Peer) bool {
	if p == c.cfg.Self.Peer {
		return true
	}
	return contains(c.view, p) || contains(c.leaving, p)
}

// unique returns a number that no other life of any balancer uses, but for
// chance.
func (c *Core) unique() uint64 {
	c.nonce++
	var b [24]byte
	binary.BigEndian.PutUint64(b[:], c.cfg.Seed)
	binary.BigEndian.PutUint64(b[8:], c.cfg.Self.Life)
	binary.BigEndian.PutUint64(b[16:], c.nonce)
	return xxhash.Sum64(append(b[:], c.cfg.Self.Name...))
}

func (c *Core) viewChanged(e ViewChanged) {
	c.view, c.leaving = e.Members, e.Leaving
	clear(c.keepers)
	clear(c.muted)
	maps.DeleteFunc(c.stamps, func(p Peer, _ uint64) bool { return !c.alive(p) })
	c.reroute()
	for _, name := range c.names {
		c.pools[name].viewChanged()
	}
	c.checkClaims()
}

func (c *Core) configChanged(e ConfigChanged) {
	if e.Config.Number < c.config.Number {
		return
	}
	c.config, c.gaps = e.Config, e.SlotIdleTimes
	for _, name := range c.names {
		c.pools[name].configChanged()
	}
}

// housekeep keeps an idle core ticking, so that a gap between two events means
// a pause.
func (c *Core) housekeep() {
	c.after(c.cfg.HeartbeatInterval, c.housekeep)
	c.holder.housekeep()
	for _, name := range c.names {
		c.pools[name].housekeep()
	}
}

// afterPause drops what was claimed but not forwarded before a pause. What came
// in during it may be of any age and is not run either, if it may not be
// repeated.
func (c *Core) afterPause() {
	c.paused = c.now
	clear(c.holder.heard)
	c.dropEntries()
	for _, name := range c.names {
		c.pools[name].afterPause()
	}
}

func (c *Core) stop() {
	c.stopping = true
	clear(c.keepers)
	for _, name := range c.names {
		c.pools[name].viewChanged()
	}
}

func (c *Core) finishStop() {
	if !c.stopping || c.stopped {
		return
	}
	for _, name := range c.names {
		if c.pools[name].open > 0 {
			return
		}
	}
	c.stopped = true
	c.emit(Stopped{})
}
