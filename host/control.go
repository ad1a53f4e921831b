package host

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"

	"wisteriaweir/catalog"
	"wisteriaweir/placement"
	"wisteriaweir/platform"
	"wisteriaweir/reader"
)

const (
	// controlTick is the time between two looks at what is due.
	controlTick = 100 * time.Millisecond
	// dutyStep is the time between two looks at whether this host has to read.
	dutyStep = 50 * time.Millisecond
	// paceEvery is the time between two sends of large contents, linkShare the part
	// of the link that they may take.
	paceEvery = 10 * time.Millisecond
	linkShare = 0.2
	// loadHosts is the number of neighbours that one word on the load goes to; of
	// more of them, others each time.
	loadHosts = 24
	// verdictHosts is the largest number of other hosts that are told of a verdict
	// across failure domains.
	verdictHosts = 24
	// noteQueue is the number of datagrams from other hosts that may wait.
	noteQueue = 256
	// strongProcessor and strongLink are the share of a core and the Mbit/s from
	// which a host counts as one with something to spare.
	strongProcessor = 0.3
	strongLink      = 50
	// settleAtFirst is how long a host that starts with all the others waits
	// before it lists them.
	settleAtFirst = 1200 * time.Millisecond
)

// heard is a note from another host.
type heard struct {
	from reader.Member
	note reader.Note
}

// control owns what is believed of the outside and of the other hosts.
type control struct {
	h       *Host
	core    *reader.Core
	encoder *reader.Encoder
	conn    *net.UDPConn
	// dead are the stamps of the targets that this host last called dead.
	dead []uint32
	// outbox holds datagrams of large contents, which go out at a pace that leaves
	// the link to the packets.
	outbox []outgoing
}

// outgoing is a datagram for another host. Kind is the kind of the content that
// it is a part of.
type outgoing struct {
	to   netip.AddrPort
	kind contentKind
	b    []byte
}

// contentKind tells apart contents of which a newer one makes an older one
// needless.
type contentKind int

const (
	noContent contentKind = iota
	allRoutes
	allTargets
	changes
)

func kindOf(n reader.Note) contentKind {
	c, ok := n.(reader.Content)
	switch {
	case !ok:
		return noContent
	case c.Routes != nil:
		return allRoutes
	case c.Full:
		return allTargets
	default:
		return changes
	}
}

// listenNotes opens the socket on which the other hosts are heard.
func (h *Host) listenNotes() (*net.UDPConn, reader.Member, error) {
	at := netip.AddrPortFrom(h.cfg.Boot.IP, uint16(h.cfg.Boot.FirstPort))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, reader.Member{}, &StartError{Part: "notes", Address: at.String(), Err: err}
	}
	b := h.cfg.Boot
	strong := b.Processor >= strongProcessor && b.Link >= strongLink
	return conn, reader.Member{Name: b.Name, Domain: b.Domain, At: at, Strong: strong}, nil
}

// believe owns the catalog: it takes in what the store and the other hosts say,
// and publishes it.
func (h *Host) believe(ctx context.Context) error {
	conn, self, err := h.listenNotes()
	if err != nil {
		return err
	}
	defer conn.Close()
	c := &control{
		h:       h,
		core:    reader.New(reader.Config{Self: self}),
		encoder: reader.NewEncoder(self, uint64(h.started.UnixNano())),
		conn:    conn,
	}
	h.control = c
	notes := make(chan heard, noteQueue)
	members := make(chan []reader.Member)
	go h.hear(ctx, conn, notes)
	go h.findMembers(ctx, self, members)
	first := !h.cfg.Boot.FirstStart
	go (&feed{h: h, kind: platform.KindConfig, pause: routesPause}).run(ctx, first)
	go (&feed{h: h, kind: platform.KindTargets, pause: targetsPause}).run(ctx, first)
	return c.run(ctx, notes, members)
}

func (c *control) run(ctx context.Context, notes <-chan heard, members <-chan []reader.Member) error {
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	known := false
	var pace <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case n := <-notes:
			c.hear(n)
		case l := <-c.h.loads:
			c.tellLoad(l)
		case n := <-c.h.findings:
			c.perform(c.core.Found(c.h.now(), n))
		case m := <-members:
			known = true
			c.perform(c.core.SetMembers(c.h.now(), m))
		case <-tick.C:
			if known {
				c.perform(c.core.Tick(c.h.now()))
			}
		case <-pace:
			c.drain()
			pace = nil
		case read := <-c.h.inspectMembers:
			read()
		}
		if at, ok := c.core.Confirmed(); ok {
			c.h.confirmed.Store(int64(at))
		}
		if pace == nil && len(c.outbox) > 0 {
			pace = time.After(paceEvery)
		}
		c.h.domainPeers.Store(int32(len(c.core.Neighbours())))
		if c.core.Reading() != c.h.reading.Load() {
			c.h.reading.Store(c.core.Reading())
			c.h.log.WithField("reading", c.core.Reading()).Info("host: duty to read the store changed")
		}
	}
}

// hear takes in a note; what concerns the packets goes on to their goroutine.
func (c *control) hear(n heard) {
	l, ok := n.note.(reader.Load)
	if !ok {
		c.perform(c.core.Hear(c.h.now(), n.from, n.note))
		return
	}
	select {
	case c.h.neighbours <- neighbourLoad{name: n.from.Name, near: n.from.Domain == c.h.cfg.Boot.Domain, load: l.Load}:
	default:
		c.h.count.noteDropped.Inc()
	}
}

// tellLoad tells the load to the other hosts of the failure domain, and verdicts
// that are new to all hosts that share readers.
func (c *control) tellLoad(l placement.Load) {
	neighbours := c.core.Neighbours()
	if len(neighbours) > loadHosts {
		neighbours = slices.Clone(neighbours)
		rand.Shuffle(len(neighbours), func(i, j int) { neighbours[i], neighbours[j] = neighbours[j], neighbours[i] })
		neighbours = neighbours[:loadHosts]
	}
	for _, m := range neighbours {
		c.tell(reader.Tell{To: m, Note: reader.Load{Load: l}})
	}
	slices.Sort(l.Dead)
	news := len(l.Dead) > 0 && !slices.Equal(l.Dead, c.dead)
	c.dead = l.Dead
	group := c.core.Group()
	if !news || len(group) > verdictHosts {
		return
	}
	for _, m := range group {
		if m.Domain != c.h.cfg.Boot.Domain {
			c.tell(reader.Tell{To: m, Note: reader.Load{Load: placement.Load{Dead: l.Dead}}})
		}
	}
}

// perform carries out what the core wants.
func (c *control) perform(effects []reader.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case reader.Tell:
			c.tell(e)
		case reader.Publish:
			c.publish(e.Catalog)
		}
	}
}

func (c *control) tell(t reader.Tell) {
	datagrams, err := c.encoder.Encode(t.Note)
	if err != nil {
		c.h.log.WithError(err).Error("host: note not encoded")
		return
	}
	kind := kindOf(t.Note)
	if len(datagrams) == 1 {
		c.send(outgoing{to: t.To.At, b: datagrams[0]})
		return
	}
	if kind == allRoutes || kind == allTargets {
		c.outbox = slices.DeleteFunc(c.outbox, func(o outgoing) bool { return o.to == t.To.At && o.kind == kind })
	}
	parts := make([]outgoing, 0, len(datagrams))
	for _, b := range datagrams {
		parts = append(parts, outgoing{to: t.To.At, kind: kind, b: b})
	}
	if kind != changes {
		c.outbox = append(c.outbox, parts...)
		return
	}
	// Changes go before whole contents.
	at := slices.IndexFunc(c.outbox, func(o outgoing) bool { return o.kind != changes })
	if at < 0 {
		at = len(c.outbox)
	}
	c.outbox = slices.Insert(c.outbox, at, parts...)
}

func (c *control) send(o outgoing) {
	c.h.count.noteBytes.Add(len(o.b))
	if _, err := c.conn.WriteToUDPAddrPort(o.b, o.to); err != nil {
		c.h.count.noteErrors.Inc()
	}
}

// drain sends what the pace allows for one paceEvery.
func (c *control) drain() {
	budget := c.h.cfg.Boot.Link * linkShare / 8 * 1e6 * paceEvery.Seconds()
	for budget > 0 && len(c.outbox) > 0 {
		c.send(c.outbox[0])
		budget -= float64(len(c.outbox[0].b))
		c.outbox = c.outbox[1:]
	}
}

// publish makes a catalog what the packets follow.
func (c *control) publish(cat catalog.Catalog) {
	old := c.h.current.Load()
	if cat.Routes().Number() != old.Routes().Number() {
		c.h.log.WithFields(log.Fields{
			"number": cat.Routes().Number(), "before": old.Routes().Number(), "revision": cat.RoutesRevision(),
			"routes": cat.Routes().Size(),
		}).Info("host: routes in force")
	}
	c.h.current.Store(&cat)
}

// hear reads datagrams from the other hosts until ctx ends.
func (h *Host) hear(ctx context.Context, conn *net.UDPConn, out chan<- heard) {
	decoder := reader.NewDecoder()
	b := make([]byte, reader.MaxNote+1)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() == nil {
				h.count.noteErrors.Inc()
			}
			continue
		}
		from, note, err := decoder.Decode(b[:n])
		if err != nil {
			h.count.noteMalformed.Inc()
			continue
		}
		if note == nil || from.Name == h.cfg.Boot.Name {
			continue
		}
		select {
		case out <- heard{from: from, note: note}:
		default:
			h.count.noteDropped.Inc()
		}
	}
}

// findMembers announces this host in the store and lists the others. A host that
// is new lists them after its announcement, so that of two that start at once one
// finds the other and greets it.
func (h *Host) findMembers(ctx context.Context, self reader.Member, out chan<- []reader.Member) {
	if h.cfg.Boot.FirstStart {
		h.try(ctx, "announce", func() error { return h.announce(ctx, self) })
		_ = platform.Sleep(ctx, settleAtFirst)
	}
	if slices.Contains(h.passMembers(ctx, out), self) {
		return
	}
	h.try(ctx, "announce", func() error { return h.announce(ctx, self) })
	h.passMembers(ctx, out)
}

// passMembers lists the hosts and passes them on.
func (h *Host) passMembers(ctx context.Context, out chan<- []reader.Member) []reader.Member {
	var members []reader.Member
	h.try(ctx, "members", func() error {
		var err error
		members, err = h.listMembers(ctx)
		return err
	})
	select {
	case out <- members:
	case <-ctx.Done():
	}
	return members
}

// try repeats a call to the store until it succeeds.
func (h *Host) try(ctx context.Context, what string, call func() error) {
	for failures := 1; ctx.Err() == nil; failures++ {
		err := call()
		if err == nil {
			return
		}
		if failures == 1 {
			h.log.WithError(err).WithField("for", what).Warn("host: store failed")
		}
		_ = platform.Sleep(ctx, h.backoff.After(failures))
	}
}

func (h *Host) announce(ctx context.Context, self reader.Member) error {
	return h.store.Load().Set(ctx, platform.KindHosts, self.Name, platform.HostSpec{
		Address: self.At.String(), Domain: self.Domain, Strong: self.Strong,
	})
}

func (h *Host) listMembers(ctx context.Context) ([]reader.Member, error) {
	records, _, err := h.store.Load().List(ctx, platform.KindHosts)
	if err != nil {
		return nil, err
	}
	var members []reader.Member
	for _, r := range records {
		spec, at, err := platform.ParseHost(r)
		if err != nil {
			h.log.WithError(err).Warn("host: entry of a host not used")
			continue
		}
		members = append(members, reader.Member{Name: r.Name, Domain: spec.Domain, At: at, Strong: spec.Strong})
	}
	return members, nil
}
