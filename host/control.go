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
	// loadHosts is the number of neighbours that one word on the load goes to; of
	// more of them, others each time.
	loadHosts = 24
	// verdictHosts is the largest number of other hosts that are told of a verdict
	// across failure domains.
	verdictHosts = 24
	// verdictEvery is the time after which a verdict that holds is told again, failureEvery
	// the least time between words on targets on which more has failed.
	verdictEvery = time.Second
	failureEvery = 150 * time.Millisecond
	// noteQueue is the number of datagrams from other hosts that may wait.
	noteQueue = 256
	// strongProcessor and strongLink are the share of a core and the Mbit/s from
	// which a host counts as one with something to spare.
	strongProcessor = 0.3
	strongLink      = 50
)

// heard is a note from another host.
type heard struct {
	from reader.Member
	note reader.Message
}

// control owns what is believed of the outside and of the other hosts.
type control struct {
	h       *Host
	core    *reader.Core
	encoder *reader.Encoder
	conn    *net.UDPConn
	// verdicts are those on targets that this host told last, at verdictsAt.
	verdicts   placement.Load
	verdictsAt time.Duration
	// outbox holds datagrams of large contents, which go out at a pace that leaves
	// the link to the packets.
	outbox []outgoing
}

// listenNotes opens the socket on which the other hosts are heard.
func (h *Host) listenNotes() (*net.UDPConn, reader.Member, error) {
	at := netip.AddrPortFrom(h.cfg.Settings.IP, uint16(h.cfg.Settings.FirstPort))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, reader.Member{}, &StartError{Part: "notes", Address: at.String(), Err: err}
	}
	b := h.cfg.Settings
	strong := b.CPUShare >= strongProcessor && b.LinkMbps >= strongLink
	return conn, reader.Member{Name: b.Name, Domain: b.Domain, Address: at, HasSpareCapacity: strong}, nil
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
	go h.newMembership(self, members).run(ctx)
	first := !h.cfg.Settings.IsFirstStart
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
			c.perform(c.core.HandleStoreUpdate(c.h.now(), n))
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
		if at, ok := c.core.LastConfirmed(); ok {
			c.h.confirmed.Store(int64(at))
		}
		if pace == nil && len(c.outbox) > 0 {
			pace = time.After(paceEvery)
		}
		c.h.domainPeers.Store(int32(len(c.core.DomainPeers())))
		if c.core.IsReading() != c.h.reading.Load() {
			c.h.reading.Store(c.core.IsReading())
			c.h.log.WithField("reading", c.core.IsReading()).Info("host: duty to read the store changed")
		}
	}
}

// hear takes in a note; what concerns the packets goes on to their goroutine.
func (c *control) hear(n heard) {
	l, ok := n.note.(reader.Load)
	if !ok {
		c.perform(c.core.HandleMessage(c.h.now(), n.from, n.note))
		return
	}
	select {
	case c.h.neighbours <- neighbourLoad{name: n.from.Name, near: n.from.Domain == c.h.cfg.Settings.Domain, load: l.Load}:
	default:
		c.h.count.noteDropped.Inc()
	}
}

// tellLoad tells the load to the other hosts of the failure domain, and verdicts
// to all hosts that share readers.
func (c *control) tellLoad(l placement.Load) {
	neighbours := c.core.DomainPeers()
	if len(neighbours) > loadHosts {
		neighbours = slices.Clone(neighbours)
		rand.Shuffle(len(neighbours), func(i, j int) { neighbours[i], neighbours[j] = neighbours[j], neighbours[i] })
		neighbours = neighbours[:loadHosts]
	}
	for _, m := range neighbours {
		c.tell(reader.Send{To: m, Message: reader.Load{Load: l}})
	}
	c.tellVerdicts(placement.Load{Dead: l.Dead, Failures: l.Failures})
}

// tellVerdicts tells verdicts on targets to the hosts of other failure domains that
// share readers: those that are new, and each again as long as it holds.
func (c *control) tellVerdicts(l placement.Load) {
	slices.Sort(l.Dead)
	now := c.h.now()
	wait := verdictEvery
	if !slices.Equal(l.Dead, c.verdicts.Dead) {
		wait = 0
	} else if failedMore(l.Failures, c.verdicts.Failures) {
		wait = failureEvery
	}
	group := c.core.GroupPeers()
	if len(l.Dead) == 0 && len(l.Failures) == 0 || now-c.verdictsAt < wait || len(group) > verdictHosts {
		return
	}
	c.verdicts, c.verdictsAt = l, now
	for _, m := range group {
		if m.Domain != c.h.cfg.Settings.Domain {
			c.tell(reader.Send{To: m, Message: reader.Load{Load: l}})
		}
	}
}

// failedMore reports whether requests have failed since older failures.
func failedMore(newer, older map[uint32]placement.OutcomeWeights) bool {
	for stamp, d := range newer {
		if d.Failed > older[stamp].Failed {
			return true
		}
	}
	return false
}

// perform carries out what the core wants.
func (c *control) perform(effects []reader.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case reader.Send:
			c.tell(e)
		case reader.Publish:
			c.publish(e.Catalog)
		}
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
	b := make([]byte, reader.MaxDatagramSize+1)
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
		if note == nil || from.Name == h.cfg.Settings.Name {
			continue
		}
		select {
		case out <- heard{from: from, note: note}:
		default:
			h.count.noteDropped.Inc()
		}
	}
}
