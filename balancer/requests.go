package balancer

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"wisteriaweir/entry"
	"wisteriaweir/request"
	"wisteriaweir/request/requestpb"
	"wisteriaweir/service"
)

// kindRequest is the kind of envelopes that carry a message of package request.
const kindRequest = "request"

// requests passes events to the core of requests and executes its effects. All
// of its tasks run on one serial queue.
type requests struct {
	b     *Balancer
	queue *serialQueue
	core  *request.Core
	// timer queues a Tick at the time of the last Wake of the core.
	timer *time.Timer
	// done is closed once the core has stopped.
	done chan struct{}
	// hasStopped is set just before done is closed, so that done is closed only once.
	hasStopped atomic.Bool
	// newestClaimSet is the number of the newest set of claim holders whose
	// claims this balancer holds completely. Other goroutines read it.
	newestClaimSet atomic.Uint64
	// attempts holds the attempts that have no response yet, by token.
	attempts     map[uint64]pendingAttempt
	nextExpiryAt time.Duration
}

// newRequests returns a requests whose core knows no service yet.
func newRequests(b *Balancer) *requests {
	s := b.cfg.Setting
	r := &requests{
		b:        b,
		queue:    newSerialQueue(b.pool, s.Limits.ShardQueue),
		done:     make(chan struct{}),
		attempts: make(map[uint64]pendingAttempt),
	}
	r.core = request.New(request.Config{
		Self: request.Member{Peer: request.Peer{Name: b.self.Name, Life: b.self.Life}, Domain: b.self.Domain},
		Seed: b.self.Life,
		Limits: request.Limits{
			MaxQueued:    s.Limits.QueuedPerService,
			MaxPerCaller: s.Limits.QueuedPerCaller,
			MaxRecords:   s.Limits.DedupeEntries,
			MaxClaims:    s.Limits.DedupeEntries,
		},
		Times: request.Times{
			RepeatWindow:      s.Times.RepeatWindow,
			MaxDeadline:       s.Times.RequestDeadlineMax,
			HeartbeatInterval: s.Times.Heartbeat,
			MaxPause:          s.Times.PauseBound,
			MaxClockSkew:      s.Times.SkewBound,
		},
	})
	r.timer = time.AfterFunc(time.Hour, func() { r.enqueue(request.Tick{}) })
	return r
}

// enqueue queues an event regardless of the limit of the queue. It is for
// events whose number is bounded by their source.
func (r *requests) enqueue(e request.Event) {
	r.queue.pushAlways(func() { r.handle(e) })
}

// tryEnqueue queues an event and reports whether the queue had room for it.
func (r *requests) tryEnqueue(e request.Event) bool {
	return r.queue.push(func() { r.handle(e) })
}

// handle passes an event to the core and executes the resulting effects.
func (r *requests) handle(e request.Event) {
	if a, ok := e.(request.Answered); ok {
		r.reportResponse(a)
	}
	r.expireAttempts()
	for _, effect := range r.core.Handle(r.b.now(), e) {
		r.execute(effect)
	}
	r.newestClaimSet.Store(r.core.NewestCompleteSet())
}

func (r *requests) execute(e request.Effect) {
	switch e := e.(type) {
	case request.Forward:
		r.forward(e)
	case request.Abort:
		r.abort(e)
	case request.Send:
		r.send(e)
	case request.Reply:
		r.reply(e)
	case request.Wake:
		r.timer.Reset(max(0, e.At-r.b.now()))
	case request.Stopped:
		if r.hasStopped.CompareAndSwap(false, true) {
			close(r.done)
		}
	}
}

// handleDatagram handles a caller's datagram to a request address.
func (r *requests) handleDatagram(h entry.Header, s service.Service, payload []byte) {
	m, err := entry.ParseMessage(payload)
	if err != nil {
		r.b.counters.DroppedMalformed.Inc()
		return
	}
	key := request.Key{
		Caller:    h.Source,
		Address:   h.Destination,
		Token:     entry.CallerToken(m),
		MessageID: m.ID,
	}
	if m.Type == entry.TypeReset {
		r.cancel(key, s, m)
		return
	}
	if !m.Code.IsRequest() {
		r.b.counters.DroppedMalformed.Inc()
		return
	}
	remaining := m.Timeout
	if remaining <= 0 {
		remaining = r.b.cfg.Setting.Times.RequestDeadline
	}
	e := request.Received{Request: request.Request{
		Key:        key,
		Service:    s.Name,
		Code:       uint8(m.Code),
		Repeatable: m.Code.IsIdempotent(),
		Remaining:  remaining,
		Payload:    payload,
	}}
	if !r.tryEnqueue(e) {
		r.b.counters.DroppedQueue.Inc()
	}
}

// cancel handles a caller's reset, which cancels its request. The reset has the
// message ID and the token of a confirmable request, so the key is built from a
// message of that type.
func (r *requests) cancel(key request.Key, s service.Service, m entry.Message) {
	m.Type = entry.TypeConfirmable
	key.Token = entry.CallerToken(m)
	r.b.counters.RequestsCancelled.Inc()
	if !r.tryEnqueue(request.Cancelled{Key: key, Service: s.Name}) {
		r.b.counters.DroppedQueue.Inc()
	}
}

// handleTargetDatagram handles a target's datagram from a request address.
func (r *requests) handleTargetDatagram(from netip.AddrPort, payload []byte) {
	m, err := entry.ParseMessage(payload)
	if err != nil {
		r.b.counters.DroppedMalformed.Inc()
		return
	}
	token, ok := entry.ParseAttemptToken(m.Token)
	if !ok || m.Code.IsRequest() || m.Code == entry.CodeEmpty {
		r.b.counters.AttemptsStray.Inc()
		return
	}
	e := request.Answered{
		Token:   token,
		Target:  r.b.snapshot().targetNameAt(from),
		Result:  request.ResultRan,
		Code:    uint8(m.Code),
		Payload: payload,
	}
	if m.Code == entry.CodeServiceUnavailable {
		e.Result = request.ResultRefused
		e.RetryAfter = m.MaxAge
		r.b.counters.AttemptsShed.Inc()
	} else {
		r.b.counters.AttemptsAnswered.Inc()
	}
	if !r.tryEnqueue(e) {
		r.b.counters.DroppedQueue.Inc()
	}
}

// handleMessage decodes and queues a message of the instance life of the
// balancer called name.
func (r *requests) handleMessage(name string, life uint64, payload []byte) {
	m, err := requestpb.Unmarshal(payload)
	if err != nil {
		r.b.log.WithError(err).WithField("from", name).Warn("message of another balancer is not readable")
		return
	}
	if !r.tryEnqueue(request.MessageReceived{From: request.Peer{Name: name, Life: life}, Message: m}) {
		r.b.counters.DroppedQueue.Inc()
	}
}

// forward sends an attempt to its target.
func (r *requests) forward(e request.Forward) {
	m, err := entry.ParseMessage(e.Request.Payload)
	if err != nil {
		return
	}
	m = m.WithToken(entry.AttemptToken(e.Token), uint16(e.Token))
	m.Timeout = e.Request.Remaining
	r.recordAttempt(e)
	r.sendToTarget(e.Request.Key, m, e.Target)
}

// abort sends a reset for an attempt to its target. An Abort does not contain
// the addresses of the request, so the entry address is sent as both of them.
func (r *requests) abort(e request.Abort) {
	m := entry.Message{Type: entry.TypeReset, ID: uint16(e.Token), Token: entry.AttemptToken(e.Token)}
	r.sendToTarget(request.Key{Caller: r.b.cfg.Setting.Addresses.Entry, Address: r.b.cfg.Setting.Addresses.Entry}, m, e.Target)
}

// sendToTarget encodes a message and sends it to a target, with the addresses
// of key in the header.
func (r *requests) sendToTarget(key request.Key, m entry.Message, t service.Target) {
	b, err := m.Encode()
	if err != nil {
		r.b.log.WithError(err).WithField("target", t.Name).Warn("request cannot be encoded")
		return
	}
	d := entry.AppendHeader(nil, entry.Header{Source: key.Caller, Destination: key.Address})
	r.b.sendTarget(append(d, b...), t.Address)
}

// send sends a message to another balancer, unless its instance is not a known
// member.
func (r *requests) send(e request.Send) {
	to, ok := r.b.snapshot().member(e.To.Name, e.To.Life)
	if !ok {
		return
	}
	payload, err := requestpb.Marshal(e.Message)
	if err != nil {
		r.b.log.WithError(err).WithField("to", e.To.Name).Error("message cannot be encoded")
		return
	}
	// The core resends messages whose loss would matter, and the transport
	// counts those that it drops.
	r.b.sendEnvelope(to, kindRequest, payload)
}

// reply sends the outcome of a request to its caller.
func (r *requests) reply(e request.Reply) {
	m := r.outcomeMessage(e)
	b, err := m.Encode()
	if err != nil {
		r.b.log.WithError(err).WithField("service", e.Service).Warn("response to the caller cannot be encoded")
		return
	}
	d := entry.AppendHeader(nil, entry.Header{Source: e.Key.Address, Destination: e.Key.Caller})
	r.b.send(append(d, b...), r.b.cfg.Setting.Addresses.Fabric)
}

// outcomeMessage returns the message that carries the outcome of a request to
// its caller, and counts it.
func (r *requests) outcomeMessage(e request.Reply) entry.Message {
	switch e.Outcome {
	case request.OutcomeResponse:
		r.b.counters.RequestsAnswered.Inc()
		response := entry.ReplyTo(e.Key.Token, e.Key.MessageID, entry.Code(e.Code))
		m, err := entry.ParseMessage(e.Payload)
		if err != nil {
			return response
		}
		m.Type = response.Type
		return m.WithToken(response.Token, response.ID)
	case request.OutcomeNotRun:
		return r.refusalMessage(e, entry.CodeServiceUnavailable)
	case request.OutcomeBusy:
		return r.refusalMessage(e, entry.CodeTooManyRequests)
	default:
		r.b.counters.RequestsUnknown.Inc()
		r.outcomeLog(e).WithField("cause", e.Cause.String()).Debug("outcome not known")
		return entry.ReplyTo(e.Key.Token, e.Key.MessageID, entry.CodeGatewayTimeout)
	}
}

// outcomeLog returns a log entry with the service and the caller of an outcome.
func (r *requests) outcomeLog(e request.Reply) *log.Entry {
	return r.b.log.WithField("service", e.Service).WithField("caller", e.Key.Caller.String())
}

// refusalMessage returns the message that refuses a request, and counts the
// refusal. Max-Age contains the time after which the caller may retry, at least
// one second.
func (r *requests) refusalMessage(e request.Reply, c entry.Code) entry.Message {
	r.b.counters.RequestsRefused.Inc()
	r.outcomeLog(e).WithField("code", uint8(c)).WithField("after", e.RetryAfter.String()).Debug("request refused")
	m := entry.ReplyTo(e.Key.Token, e.Key.MessageID, c)
	m.MaxAge = max(e.RetryAfter, time.Second)
	return m
}
