package host

import (
	"context"
	"fmt"
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
	"wisteriaweir/warmup"
)

const (
	// controlTickInterval is the time between two calls of the reader core's Tick.
	controlTickInterval = 100 * time.Millisecond
	// readerPollInterval is how often a store watcher checks whether this host has
	// become a reader.
	readerPollInterval = 50 * time.Millisecond
	// maxLoadReportHosts is the largest number of domain peers that receive one load
	// report. If there are more, each report goes to a new random selection.
	maxLoadReportHosts = 24
	// maxHealthReportHosts is the largest number of other hosts that share readers with
	// this one for which health reports are sent across failure domains. With more
	// hosts, none are sent.
	maxHealthReportHosts = 24
	// healthReportInterval is how often an unchanged health report is repeated.
	healthReportInterval = time.Second
	// failureReportInterval is the minimum time between two health reports when
	// requests have failed since the last one.
	failureReportInterval = 150 * time.Millisecond
	// maxQueuedMessages is the capacity of the queue of received messages.
	maxQueuedMessages = 256
	// minSpareCPU is the smallest CPU share, as a fraction of one core, with which a host
	// counts as having spare capacity. The host needs minSpareLinkMbps as well.
	minSpareCPU = 0.3
	// minSpareLinkMbps is the lowest link speed, in Mbit/s, with which a host counts as
	// having spare capacity.
	minSpareLinkMbps = 50
)

// receivedMessage is a message from another host.
type receivedMessage struct {
	from    reader.Member
	message reader.Message
}

// control owns the catalog and the list of the other hosts. Its methods run in the
// control goroutine.
type control struct {
	h       *Host
	core    *reader.Core
	encoder *reader.Encoder
	conn    *net.UDPConn
	// lastHealthReport is the last health report that this host sent across failure
	// domains.
	lastHealthReport placement.LoadReport
	// healthReportSentAt is when lastHealthReport was sent.
	healthReportSentAt time.Duration
	// sendQueue holds the datagrams of updates that need more than one. They are sent
	// at a limited rate, so that most of the link remains for the packets.
	sendQueue []queuedDatagram
	// publishedMembers is the version of the members that publishHosts last published.
	publishedMembers uint64
}

// listenMessages opens the socket for messages from the other hosts. It returns the
// socket and this host as a member.
func (h *Host) listenMessages() (*net.UDPConn, reader.Member, error) {
	addr := netip.AddrPortFrom(h.cfg.Settings.IP, uint16(h.cfg.Settings.FirstPort))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, reader.Member{}, &StartError{Part: "notes", Address: addr.String(), Err: err}
	}
	settings := h.cfg.Settings
	hasSpareCapacity := settings.CPUShare >= minSpareCPU && settings.LinkMbps >= minSpareLinkMbps
	return conn, reader.Member{Name: settings.Name, Domain: settings.Domain, Address: addr, HasSpareCapacity: hasSpareCapacity}, nil
}

// runControl maintains the catalog: it applies the responses of the store and the
// messages of the other hosts, and publishes the result, until ctx ends.
func (h *Host) runControl(ctx context.Context) error {
	conn, self, err := h.listenMessages()
	if err != nil {
		return err
	}
	defer conn.Close()
	c := &control{
		h:       h,
		core:    reader.New(reader.Config{Self: self, UsesEvacuations: h.usesEvacuations()}),
		encoder: reader.NewEncoder(self, uint64(h.startedAt.UnixNano())),
		conn:    conn,
	}
	h.control = c
	messages := make(chan receivedMessage, maxQueuedMessages)
	members := make(chan []reader.Member)
	go h.receiveMessages(ctx, conn, messages)
	go h.newMembership(self, members).run(ctx)
	listAtStart := !h.cfg.Settings.IsFirstStart
	go (&storeWatcher{h: h, kind: platform.KindConfig, batchDelay: routesBatchDelay}).run(ctx, listAtStart)
	go (&storeWatcher{h: h, kind: platform.KindTargets, batchDelay: targetsBatchDelay}).run(ctx, listAtStart)
	if h.usesEvacuations() {
		go (&storeWatcher{h: h, kind: platform.KindEvacuations, batchDelay: evacuationsBatchDelay}).run(ctx, listAtStart)
	}
	return c.run(ctx, messages, members)
}

// run is the event loop of the control goroutine.
func (c *control) run(ctx context.Context, messages <-chan receivedMessage, members <-chan []reader.Member) error {
	tick := time.NewTicker(controlTickInterval)
	defer tick.Stop()
	hasMembers := false
	var paceTimer <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-messages:
			c.handleMessage(m)
		case l := <-c.h.outgoingLoads:
			c.sendLoad(l)
		case stamps := <-c.h.outgoingLookups:
			c.lookUp(stamps)
		case reply := <-c.h.outgoingReplies:
			c.sendMessage(reply)
		case u := <-c.h.storeUpdates:
			c.applyEffects(c.core.HandleStoreUpdate(c.h.now(), u))
		case list := <-members:
			hasMembers = true
			c.applyEffects(c.core.SetMembers(c.h.now(), list))
			c.publishHosts()
		case <-tick.C:
			if hasMembers {
				c.applyEffects(c.core.Tick(c.h.now()))
				c.publishHosts()
			}
		case <-paceTimer:
			c.sendPaced()
			paceTimer = nil
		case inspect := <-c.h.inspectMembers:
			inspect()
		}
		if at, ok := c.core.LastConfirmed(); ok {
			c.h.lastConfirmed.Store(int64(at))
		}
		if paceTimer == nil && len(c.sendQueue) > 0 {
			paceTimer = time.After(paceInterval)
		}
		if awaits := c.core.AwaitsDomain(c.h.now()); awaits != c.h.awaitsDomain.Load() {
			c.h.awaitsDomain.Store(awaits)
			c.h.log.WithField("awaits", awaits).Info("host: wait for the other hosts of the failure domain changed")
		}
		c.h.domainPeerCount.Store(int32(len(c.core.DomainPeers())))
		if c.core.IsReading() != c.h.isReading.Load() {
			c.h.isReading.Store(c.core.IsReading())
			c.h.log.WithField("reading", c.core.IsReading()).Info("host: duty to read the store changed")
		}
	}
}

// handleMessage applies a message. Load and health reports, lookups and replies to them are
// forwarded to the packet goroutine, and dropped if its queue is full.
func (c *control) handleMessage(m receivedMessage) {
	var l reader.Load
	switch msg := m.message.(type) {
	case reader.Load:
		l = msg
	case reader.Lookup, reader.Found:
		c.queueLookup(m)
		return
	default:
		c.applyEffects(c.core.HandleMessage(c.h.now(), m.from, m.message))
		return
	}
	select {
	case c.h.receivedLoads <- receivedLoad{name: m.from.Name, domain: m.from.Domain, sameDomain: m.from.Domain == c.h.cfg.Settings.Domain, load: l.LoadReport}:
		if len(l.Stalled) > 0 || len(l.Responded) > 0 {
			c.h.wakeForwarder()
		}
	default:
		c.h.counters.droppedMessages.Inc()
	}
}

// sendLoad sends the load report to the domain peers, and the health report in it
// to the hosts of other failure domains.
func (c *control) sendLoad(l placement.LoadReport) {
	peers := c.core.DomainPeers()
	if len(peers) > maxLoadReportHosts {
		peers = slices.Clone(peers)
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:maxLoadReportHosts]
	}
	for _, m := range peers {
		c.sendMessage(reader.Send{To: m, Message: reader.Load{LoadReport: l}})
	}
	c.sendHealthReport(placement.LoadReport{Dead: l.Dead, Failures: l.Failures})
}

// sendHealthReport sends the dead targets and the failure weights in l to the hosts
// of other failure domains that share readers with this one. It does so at once if the
// set of dead targets has changed since the last report, after failureReportInterval
// if a failure weight has grown, and otherwise every healthReportInterval. It sends
// nothing if l has neither, or if there are more than maxHealthReportHosts such hosts.
func (c *control) sendHealthReport(l placement.LoadReport) {
	slices.Sort(l.Dead)
	now := c.h.now()
	minInterval := healthReportInterval
	if !slices.Equal(l.Dead, c.lastHealthReport.Dead) {
		minInterval = 0
	} else if hasNewFailures(l.Failures, c.lastHealthReport.Failures) {
		minInterval = failureReportInterval
	}
	peers := c.core.GroupPeers()
	if len(l.Dead) == 0 && len(l.Failures) == 0 || now-c.healthReportSentAt < minInterval || len(peers) > maxHealthReportHosts {
		return
	}
	c.lastHealthReport, c.healthReportSentAt = l, now
	for _, m := range peers {
		if m.Domain != c.h.cfg.Settings.Domain {
			c.sendMessage(reader.Send{To: m, Message: reader.Load{LoadReport: l}})
		}
	}
}

// hasNewFailures reports whether the failure weight of any target is larger in
// current than in reported.
func hasNewFailures(current, reported map[uint32]placement.OutcomeWeights) bool {
	for stamp, weights := range current {
		if weights.Failed > reported[stamp].Failed {
			return true
		}
	}
	return false
}

// applyEffects executes the effects that the reader core returned.
func (c *control) applyEffects(effects []reader.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case reader.Send:
			c.sendMessage(e)
		case reader.Publish:
			c.publish(e.Catalog)
		case reader.Mismatch:
			c.h.counters.mismatchedDeltas.Inc()
			c.h.log.WithFields(log.Fields{"position": e.Position.String(), "base": e.Base.String(), "routes": e.IsRoutes}).Info("host: delta does not fit the catalog, requesting a snapshot")
		case reader.Ignored:
			c.h.counters.ignoredUpdates.Inc()
			c.h.log.WithFields(log.Fields{
				"position": e.Position.String(), "catalog_position": e.CatalogPosition.String(), "number": e.Number, "catalog_number": e.CatalogNumber,
			}).Warn("host: response of the store ignored, the catalog is newer")
		}
	}
}

// publish makes cat the catalog that the packet goroutine uses.
func (c *control) publish(cat catalog.Catalog) {
	previous := c.h.currentCatalog.Load()
	if cat.Routes().Number() != previous.Routes().Number() {
		c.h.log.WithFields(log.Fields{
			"number": cat.Routes().Number(), "before": previous.Routes().Number(), "revision": cat.RoutesPosition().Revision, "era": catalog.EraName(cat.RoutesPosition().Era),
			"routes": cat.Routes().Size(), "digest": formatDigest(cat.Routes().Digest()),
		}).Info("host: routes in force")
	}
	if p := previous.TargetsPosition(); p.IsKnown() && cat.TargetsPosition().Era > p.Era {
		c.handleRestore(previous, cat)
	}
	c.recordEvacuations(previous, cat)
	c.h.currentCatalog.Store(&cat)
}

// handleRestore logs that the catalog has reached a new era of the store, and lets
// membership check this host's entry.
func (c *control) handleRestore(previous *catalog.Catalog, cat catalog.Catalog) {
	c.h.counters.restores.Inc()
	c.h.log.WithFields(log.Fields{
		"position": cat.TargetsPosition().String(), "before": previous.TargetsPosition().String(),
		"routes": cat.RoutesPosition().String(), "number": cat.Routes().Number(),
		"targets": len(cat.Targets()), "targets_before": len(previous.Targets()),
	}).Warn("host: targets of a restored store in use")
	select {
	case c.h.storeRestored <- struct{}{}:
	default: // It has not been received since the last one.
	}
}

// publishHosts passes the known hosts to the packet goroutine if they have changed. It
// must not be called before the store has listed them: a host that lacks many others would
// take too large a part of the limits on targets that are warming up.
func (c *control) publishHosts() {
	version := c.core.MembersVersion()
	if version == c.publishedMembers {
		return
	}
	c.publishedMembers = version
	members := c.core.Members()
	hosts := make([]warmup.Host, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, warmup.Host{Name: m.Name, Domain: m.Domain})
	}
	c.h.knownHosts.Store(&hosts)
}

// senderError reports a problem in a message, with the host that sent it.
type senderError struct {
	// host is the name of the sender, empty if it cannot be read.
	host string
	err  error
}

func (e *senderError) Error() string {
	return fmt.Sprintf("from %.64q: %v", e.host, e.err)
}

func (e *senderError) Unwrap() error {
	return e.err
}

// receiveMessages reads datagrams from the other hosts until ctx ends, and queues
// the messages in them. It drops messages when the queue is full.
func (h *Host) receiveMessages(ctx context.Context, conn *net.UDPConn, messages chan<- receivedMessage) {
	decoder := reader.NewDecoder()
	b := make([]byte, reader.MaxDatagramSize+1)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() == nil {
				h.counters.messageErrors.Inc()
			}
			continue
		}
		from, message, err := decoder.Decode(b[:n])
		if err != nil {
			h.counters.malformedMessages.Inc()
			h.invalid.report(messageSource, "host: message of another host ignored, it cannot be read", &senderError{host: from.Name, err: err})
			continue
		}
		for _, err := range decoder.Invalid() {
			h.invalid.report(messageSource, "host: invalid element of a message skipped", &senderError{host: from.Name, err: err})
		}
		if message == nil || from.Name == h.cfg.Settings.Name {
			continue
		}
		select {
		case messages <- receivedMessage{from: from, message: message}:
		default:
			h.counters.droppedMessages.Inc()
		}
	}
}
