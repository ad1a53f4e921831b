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

// kindRequest marks envelopes that carry a message of package request.
const kindRequest = "request"

// requests feeds the core of requests and performs its effects. All of it runs
// on one lane.
type requests struct {
	b       *Balancer
	lane    *lane
	core    *request.Core
	timer   *time.Timer
	stopped chan struct{}
	ended   atomic.Bool
	// claims is the number of the newest set of holders whose claims are all
	// held here.
	claims atomic.Uint64
	// attempts are those that no target has answered yet, by token.
	attempts  map[uint64]sentAttempt
	overdueAt time.Duration
}

func newRequests(b *Balancer) *requests {
	s := b.cfg.Setting
	r := &requests{
		b:        b,
		lane:     newLane(b.pool, s.Limits.ShardQueue),
		stopped:  make(chan struct{}),
		attempts: make(map[uint64]sentAttempt),
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
	r.timer = time.AfterFunc(time.Hour, func() { r.must(request.Tick{}) })
	return r
}

// must queues an event that may not be dropped: one that is bounded by its
// source.
func (r *requests) must(e request.Event) {
	r.lane.pushAlways(func() { r.handle(e) })
}

// offer queues an event that may be dropped when there is too much to do.
func (r *requests) offer(e request.Event) bool {
	return r.lane.push(func() { r.handle(e) })
}

func (r *requests) handle(e request.Event) {
	if a, ok := e.(request.Answered); ok {
		r.settled(a)
	}
	r.overdue()
	for _, effect := range r.core.Handle(r.b.now(), e) {
		r.perform(effect)
	}
	r.claims.Store(r.core.NewestCompleteSet())
}

func (r *requests) perform(e request.Effect) {
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
		if r.ended.CompareAndSwap(false, true) {
			close(r.stopped)
		}
	}
}

// received takes a caller's datagram to a request address.
func (r *requests) received(h entry.Header, s service.Service, payload []byte) {
	m, err := entry.ParseMessage(payload)
	if err != nil {
		r.b.count.DroppedMalformed.Inc()
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
		r.b.count.DroppedMalformed.Inc()
		return
	}
	left := m.Timeout
	if left <= 0 {
		left = r.b.cfg.Setting.Times.RequestDeadline
	}
	e := request.Received{Request: request.Request{
		Key:        key,
		Service:    s.Name,
		Code:       uint8(m.Code),
		Repeatable: m.Code.Idempotent(),
		Remaining:  left,
		Payload:    payload,
	}}
	if !r.offer(e) {
		r.b.count.DroppedQueue.Inc()
	}
}

// cancel passes on that the caller wants no answer any more. A reset names the
// message ID and the token of a confirmable request.
func (r *requests) cancel(key request.Key, s service.Service, m entry.Message) {
	m.Type = entry.TypeConfirmable
	key.Token = entry.CallerToken(m)
	r.b.count.RequestsCancelled.Inc()
	if !r.offer(request.Cancelled{Key: key, Service: s.Name}) {
		r.b.count.DroppedQueue.Inc()
	}
}

// answered takes a target's datagram from a request address.
func (r *requests) answered(from netip.AddrPort, payload []byte) {
	m, err := entry.ParseMessage(payload)
	if err != nil {
		r.b.count.DroppedMalformed.Inc()
		return
	}
	token, ok := entry.ParseAttemptToken(m.Token)
	if !ok || m.Code.IsRequest() || m.Code == entry.CodeEmpty {
		r.b.count.AttemptsStray.Inc()
		return
	}
	e := request.Answered{
		Token:   token,
		Target:  r.b.snapshot().targetAt(from),
		Result:  request.ResultRan,
		Code:    uint8(m.Code),
		Payload: payload,
	}
	if m.Code == entry.CodeUnavailable {
		e.Result = request.ResultRefused
		e.RetryAfter = m.MaxAge
		r.b.count.AttemptsShed.Inc()
	} else {
		r.b.count.AttemptsAnswered.Inc()
	}
	if !r.offer(e) {
		r.b.count.DroppedQueue.Inc()
	}
}

// delivered takes a message of another balancer.
func (r *requests) delivered(name string, life uint64, payload []byte) {
	m, err := requestpb.Unmarshal(payload)
	if err != nil {
		r.b.log.WithError(err).WithField("from", name).Warn("message of another balancer is not readable")
		return
	}
	if !r.offer(request.MessageReceived{From: request.Peer{Name: name, Life: life}, Message: m}) {
		r.b.count.DroppedQueue.Inc()
	}
}

func (r *requests) forward(e request.Forward) {
	m, err := entry.ParseMessage(e.Request.Payload)
	if err != nil {
		return
	}
	m = m.WithToken(entry.AttemptToken(e.Token), uint16(e.Token))
	m.Timeout = e.Request.Remaining
	r.sent(e)
	r.toTarget(e.Request.Key, m, e.Target)
}

func (r *requests) abort(e request.Abort) {
	m := entry.Message{Type: entry.TypeReset, ID: uint16(e.Token), Token: entry.AttemptToken(e.Token)}
	r.toTarget(request.Key{Caller: r.b.cfg.Setting.Addresses.Entry, Address: r.b.cfg.Setting.Addresses.Entry}, m, e.Target)
}

func (r *requests) toTarget(key request.Key, m entry.Message, t service.Target) {
	b, err := m.Encode()
	if err != nil {
		r.b.log.WithError(err).WithField("target", t.Name).Warn("request cannot be encoded")
		return
	}
	d := entry.AppendHeader(nil, entry.Header{Source: key.Caller, Destination: key.Address})
	r.b.sendTarget(append(d, b...), t.Address)
}

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
	// The core sends again what has to arrive, and the transport counts drops.
	r.b.tell(to, kindRequest, payload)
}

func (r *requests) reply(e request.Reply) {
	m := r.answer(e)
	b, err := m.Encode()
	if err != nil {
		r.b.log.WithError(err).WithField("service", e.Service).Warn("answer cannot be encoded")
		return
	}
	d := entry.AppendHeader(nil, entry.Header{Source: e.Key.Address, Destination: e.Key.Caller})
	r.b.send(append(d, b...), r.b.cfg.Setting.Addresses.Fabric)
}

// answer returns the message that tells the caller the final answer.
func (r *requests) answer(e request.Reply) entry.Message {
	switch e.Outcome {
	case request.OutcomeAnswer:
		r.b.count.RequestsAnswered.Inc()
		frame := entry.AnswerTo(e.Key.Token, e.Key.MessageID, entry.Code(e.Code))
		m, err := entry.ParseMessage(e.Payload)
		if err != nil {
			return frame
		}
		m.Type = frame.Type
		return m.WithToken(frame.Token, frame.ID)
	case request.OutcomeNotRun:
		return r.refusal(e, entry.CodeUnavailable)
	case request.OutcomeBusy:
		return r.refusal(e, entry.CodeTooManyRequests)
	default:
		r.b.count.RequestsUnknown.Inc()
		r.told(e).WithField("cause", e.Cause.String()).Debug("outcome not known")
		return entry.AnswerTo(e.Key.Token, e.Key.MessageID, entry.CodeTimeout)
	}
}

// told returns a log entry that names whom a final answer goes to.
func (r *requests) told(e request.Reply) *log.Entry {
	return r.b.log.WithField("service", e.Service).WithField("caller", e.Key.Caller.String())
}

// refusal returns the message that tells the caller when to come back.
func (r *requests) refusal(e request.Reply, c entry.Code) entry.Message {
	r.b.count.RequestsRefused.Inc()
	r.told(e).WithField("code", uint8(c)).WithField("after", e.RetryAfter.String()).Debug("refused")
	m := entry.AnswerTo(e.Key.Token, e.Key.MessageID, c)
	m.MaxAge = max(e.RetryAfter, time.Second)
	return m
}
