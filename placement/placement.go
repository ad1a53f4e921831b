// Package placement decides, for each packet of a caller, where it is sent. The
// target of an open flow is found by the stamp: a target identifier that the packet
// carries (a routing cookie). A new flow is placed on a target by the load and the
// health of the targets, which are measured on the flows themselves.
//
// # Usage
//
//	c := placement.New(placement.Config{Domain: "west-a", Seed: 1, MaxFlows: 100000})
//	c.SetCatalog(now, cat)
//	switch d := c.Handle(now, p, datagram).(type) {
//	case placement.Forward:
//		// write d.To.Stamp into an opening packet, send it to d.To.Address
//	case placement.Reject:
//		// reset the flow towards its caller
//	case placement.Drop:
//		// discard the packet, count d.Reason
//	case placement.Queue:
//		// do nothing: the core has copied the packet
//	}
//	for _, e := range c.Effects() {
//		// perform e: a Resend or a Reset
//	}
//
// Once the time that NextDeadline returns has come, Tick must be called as soon as no
// received packet is unread. Tick and SetPeerLoad can produce effects as well.
//
// A Core does no I/O, reads no clock and starts no goroutine: the parameter now of
// its methods is the time since the start of the process. A Core is not safe for
// concurrent use.
package placement

import (
	"math/rand/v2"
	"time"

	"wisteriaweir/admission"
	"wisteriaweir/catalog"
	"wisteriaweir/packet"
	"wisteriaweir/route"
	"wisteriaweir/speed"
	"wisteriaweir/warmup"
)

// Config configures a Core.
type Config struct {
	// Host is the name of this host, as in the lists passed to SetHosts.
	Host string
	// HostsPerTarget is the number of hosts of a failure domain that use each of its
	// targets under load; see package subset. 0 means all.
	HostsPerTarget int
	// TargetSpeed enables the estimates of the speeds of targets; see package speed. If it
	// is false, all targets count as equally fast.
	TargetSpeed bool
	// Domain is the failure domain of this host.
	Domain string
	// Warmup bounds the opening packets that are sent to a target that is warming up.
	Warmup WarmupConfig
	// Seed seeds the choice between targets of equal cost, and between the services of
	// a route.
	Seed uint64
	// MaxFlows is the maximum number of flows in the table.
	MaxFlows int
	// SharedAdmission selects the services that have an admission level, which the hosts of
	// the failure domain share; see package admission.
	SharedAdmission SharedAdmission
	// LinkMbps is the speed of the host's link in Mbit/s, 0 if it is not known.
	LinkMbps float64
	// Observe is the callback for each change of a target's state. It may be nil and
	// must not block.
	Observe func(TargetNotice)
	// ObserveFlow is the callback for each decision on a flow and each observation of
	// one. It may be nil and must not block.
	ObserveFlow func(FlowNotice)
}

// SharedAdmission selects the services that have an admission level.
type SharedAdmission int

// Values of SharedAdmission.
const (
	// NoSharedAdmission: no service has a level.
	NoSharedAdmission SharedAdmission = iota
	// ShortFlowAdmission: services whose flows carry about one request have a level. A level
	// can reject new flows only, and works best where each request comes on a new flow.
	ShortFlowAdmission
	// FullAdmission: all services have a level. Requests of rejected priorities that come on
	// open flows wait. If most requests come on open flows, the worse priorities lose more by
	// that than the better ones gain.
	FullAdmission
)

// WarmupConfig bounds the opening packets to a target that is warming up, from all hosts
// together: in each second at most the rate of its service times Overshoot, plus Slack.
// If both are 0, there is no bound. Otherwise SetHosts must be called; see package warmup
// for what is guaranteed.
type WarmupConfig struct {
	Overshoot, Slack float64
}

// Core places flows on targets and tracks them.
type Core struct {
	cfg     Config
	rnd     *rand.Rand
	catalog catalog.Catalog
	// targets holds the targets by their ID.
	targets map[string]*Target
	// targetsInStartOrder holds the targets, sorted by start time.
	targetsInStartOrder []*Target
	// targetsByStamp holds the targets by their stamp, except for those that collide.
	targetsByStamp map[uint32]*Target
	// pools holds the targets of each service, sorted by start time.
	pools map[string][]*Target
	flows map[packet.FlowKey]*flow
	// domainHosts are the names of the hosts of this host's failure domain.
	domainHosts []string
	// subsets holds the inputs of the current assignment of targets, by service.
	subsets map[string]subsetInput
	// flowCounts counts the flows and requests of each service.
	flowCounts map[string]*flowCount
	// lastFlowNumber is the number of the newest flow.
	lastFlowNumber uint64
	// openings are the opening packets that wait for a response, sorted by deadline.
	// It may contain entries of flows that were answered, removed or sent again since.
	openings []pendingOpening
	// queuedRequests are the requests that wait for their targets, oldest first. It may
	// contain requests that have left the queue; see expireQueued.
	queuedRequests []*queuedRequest
	// worstPriorities holds the worst priority of the routes of each service.
	worstPriorities map[string]int
	// lastShed holds the newest rejection of a flow for overload, by service.
	lastShed map[string]shedding
	// hosts computes this host's parts of the limits on targets that are warming up.
	hosts *warmup.Core
	// admissions holds the admission controllers by service. It is empty unless
	// Config.SharedAdmission is set.
	admissions map[string]*admission.Controller
	// pendingEffects are the effects that have not been fetched yet.
	pendingEffects []Effect
	// inFlightRequests are the requests in progress, oldest first. It may contain
	// requests that have ended; see expireRequests.
	inFlightRequests []inFlightRequest
	// lastExpiryAt is when expireRequests last ran; see expireInterval.
	lastExpiryAt time.Duration
	// pendingRequests are the requests whose outcome is unknown, in the order in which
	// they are checked.
	pendingRequests []pendingRequest
	// responseSizes holds the mean sizes of responses by the address of their service.
	responseSizes map[route.Address]responseSize
	// usualLatencies holds the usual latencies of routes by the address of their service.
	usualLatencies map[route.Address]speed.Usual
	// paths holds the delays of the paths to the targets by failure domain.
	paths map[string]speed.Path
	// domainPeers holds the load reports of the other hosts of the failure domain, by
	// host name.
	domainPeers map[string]domainPeer
	// remoteFailures holds the failure reports of other hosts, by host name.
	remoteFailures map[string]failureReport
	// readyAt is when the catalog first was complete, so that flows could be placed.
	readyAt time.Duration
	// ready reports whether readyAt is set.
	ready bool
	// lastOutageAt is when the store was last reported unavailable.
	lastOutageAt time.Duration
	// hadOutage reports whether lastOutageAt is set.
	hadOutage bool
	// socketDrainedAt is when the socket last had no unread packet.
	socketDrainedAt time.Duration
	// recentProgress counts the recent responses of all targets.
	recentProgress eventWindow
	// recentStalls counts the recent stalls on targets that were not dead.
	recentStalls eventWindow
	// domainProgressAt holds when a target last responded to any host, and lastResponding the
	// target that last responded to this one, by failure domain.
	domainProgressAt map[string]time.Duration
	lastResponding   map[string]*Target
	// suspicions are the targets that are considered dead unless the suspicion is refuted,
	// sorted by the time of the decision.
	suspicions []*Target
	// lookups are the unknown stamps of open flows.
	lookups lookups
	// reportUrgent is the result of HasUrgentReport.
	reportUrgent bool
	// link is the link of this host.
	link link
	// isolated reports whether the host is isolated; see SetIsolated.
	isolated bool
	// cutOff is the result of isCutOff for the latest choice of a target.
	cutOff bool
	// sweptAt is when sweep last ran.
	sweptAt time.Duration
}

// New returns a core with an empty catalog. It drops all packets until SetCatalog is
// called with a complete one.
func New(cfg Config) *Core {
	c := &Core{
		cfg:            cfg,
		rnd:            rand.New(rand.NewPCG(cfg.Seed, 0)),
		targets:        map[string]*Target{},
		targetsByStamp: map[uint32]*Target{},
		pools:          map[string][]*Target{},
		flows:          map[packet.FlowKey]*flow{},
		hosts:          warmup.New(cfg.Host),
		link:           newLink(cfg.LinkMbps),

		subsets:     map[string]subsetInput{},
		flowCounts:  map[string]*flowCount{},
		domainPeers: map[string]domainPeer{},

		lookups: lookups{askedAt: map[uint32]time.Duration{}},

		domainProgressAt: map[string]time.Duration{},
		lastResponding:   map[string]*Target{},

		remoteFailures: map[string]failureReport{},
		responseSizes:  map[route.Address]responseSize{},
		usualLatencies: map[route.Address]speed.Usual{},
		paths:          map[string]speed.Path{},
		lastShed:       map[string]shedding{},
		admissions:     map[string]*admission.Controller{},

		worstPriorities: map[string]int{},
	}
	return c
}

// Handle decides on one packet. datagram is the packet as received; the core only
// reads it, and copies it where it has to store it.
func (c *Core) Handle(now time.Duration, p packet.Packet, datagram []byte) Decision {
	c.link.receive(now, len(datagram))
	if !c.catalog.IsComplete() {
		return Drop{Reason: CatalogIncomplete}
	}
	if now-c.sweptAt >= sweepInterval {
		c.sweep(now)
	}
	if now-c.lastExpiryAt >= expireInterval {
		c.expireRequests(now)
		c.expireQueued(now)
		c.dispatchDue(now)
	}
	if p.IsOpening() {
		return c.handleOpening(now, p, datagram)
	}
	return c.handleData(now, p, datagram)
}

// handleOpening decides on an opening packet: that of a new flow, or a
// retransmission.
func (c *Core) handleOpening(now time.Duration, p packet.Packet, datagram []byte) Decision {
	r, ok := c.catalog.Routes().Lookup(route.Address{IP: p.Flow.ServiceIP, Port: p.Flow.ServicePort})
	if !ok {
		return c.reject(p, NoRoute)
	}
	f := c.flows[p.Flow]
	if f != nil && f.placedHere && f.openingSeq == p.Seq && p.Retransmits > 0 {
		if f.answered {
			return Drop{Reason: Retransmission} // The caller has received the response: its next packet overtook this one.
		}
		return c.handleRetransmit(now, p, f, r)
	}
	if f != nil {
		c.removeFlow(f)
	}
	service := r.Pick(c.rnd.Float64())
	objective, _ := latencyLimits(r)
	t, elsewhere := c.choose(now, service, nil)
	if t == nil {
		return c.reject(p, NoTarget)
	}
	if !c.admitsByLevel(now, t, p.Flow, r.Priority, objective) {
		return c.reject(p, NotAdmitted)
	}
	if wait, ok := c.admit(now, t, r.Priority, objective); !ok {
		c.notifyFlow(FlowNotice{Event: FlowRejected, Flow: p.Flow, Target: t, Reason: Overloaded, Duration: wait, Retransmits: p.Retransmits})
		return Reject{Reason: Overloaded}
	}
	if len(c.flows) >= c.cfg.MaxFlows {
		return c.reject(p, FlowTableFull)
	}
	c.notifyFlow(FlowNotice{Event: FlowPlaced, Flow: p.Flow, Target: t, Retransmits: p.Retransmits, Elsewhere: elsewhere})
	f = c.openFlow(now, p, t, r.Kind)
	f.service = service
	f.openingDatagram = append([]byte(nil), datagram...)
	c.awaitOpening(now, f)
	return Forward{To: t}
}

// reject returns the decision to answer an opening packet by a reset, and notifies
// the observer of it.
func (c *Core) reject(p packet.Packet, reason Reason) Decision {
	c.notifyFlow(FlowNotice{Event: FlowRejected, Flow: p.Flow, Reason: reason, Retransmits: p.Retransmits})
	return Reject{Reason: reason}
}

// handleRetransmit sends a retransmitted opening packet to another target than the
// one that has not responded to it, if there is another.
func (c *Core) handleRetransmit(now time.Duration, p packet.Packet, f *flow, r route.Route) Decision {
	c.recordStall(now, f)
	f.urgency = overdue
	if !r.HasService(f.service) {
		f.service = r.Pick(c.rnd.Float64())
	}
	t, elsewhere := c.choose(now, f.service, f.target)
	if t == nil {
		c.removeFlow(f)
		return c.reject(p, NoTarget)
	}
	c.notifyFlow(FlowNotice{Event: FlowPlacedAgain, Flow: p.Flow, Target: t, Retransmits: p.Retransmits, Elsewhere: elsewhere})
	c.moveFlow(f, t)
	f.lastSentAt = now
	f.targetsTried = 1
	c.awaitOpening(now, f)
	return Forward{To: t}
}

// handleData decides on a packet of an open flow. The stamp of the packet determines
// the target.
func (c *Core) handleData(now time.Duration, p packet.Packet, datagram []byte) Decision {
	t := c.targetsByStamp[p.Stamp]
	if t == nil {
		return c.holdUnknown(now, p, datagram)
	}
	f := c.flows[p.Flow]
	if f == nil {
		f = c.takeOver(now, p, t)
	}
	if f == nil {
		return Forward{To: t}
	}
	if f.target != t {
		c.moveFlow(f, t)
	}
	c.track(now, f, p)
	if p.Size > 0 {
		return c.handleRequest(now, f, p, datagram)
	}
	return Forward{To: t}
}

// handleRequest decides on data from the caller: a new request, more data of the
// same request, or a retransmission of data that the target has not acknowledged.
func (c *Core) handleRequest(now time.Duration, f *flow, p packet.Packet, datagram []byte) Decision {
	c.expireDead(now, f.target)
	if f.target.dead && f.kind.IsIdempotent() {
		c.notifyFlow(FlowNotice{Event: FlowReset, Flow: f.key, Target: f.target, Reason: DeadTarget})
		c.removeFlow(f)
		return Reject{Reason: DeadTarget}
	}
	if !packet.SeqAfter(p.EndSeq(), f.endSeq) {
		if f.queued != nil {
			return Drop{Reason: Retransmission}
		}
		c.recordStall(now, f)
		if f.removed {
			return Drop{Reason: DeadTarget}
		}
		return Forward{To: f.target}
	}
	f.endSeq = p.EndSeq()
	switch {
	case f.queued != nil:
		f.queued.appendDatagram(datagram)
		return Queue{}
	case !f.countedBusy && c.mustQueue(now, f):
		c.enqueue(now, f, p.Seq, datagram)
		return Queue{}
	default:
		f.lastSentAt = now
		c.startRequest(now, f)
		return Forward{To: f.target}
	}
}
