package fake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"wisteriaweir/entry"
)

// tokenLen is the maximum length of a request's token, in bytes.
const tokenLen = 8

// callerRequest is one request of a Caller.
type callerRequest struct {
	caller  *Caller
	conn    *net.UDPConn
	service string
	id      string
	// post reports whether the request may not be repeated.
	post bool
}

// sentToken identifies a sent request: the caller's local address, the service and
// the token.
type sentToken struct {
	from    string
	service string
	token   string
}

// run sends the request, and retransmits it with doubled delays until its final
// response arrives or responseGrace after its deadline has passed.
func (r *callerRequest) run(ctx context.Context) outcome {
	m := r.message()
	wire, err := m.Encode()
	if err != nil {
		return outcomeLost
	}
	r.caller.recordSent(r.tokenKey(m.Token), r.id)
	end := time.Now().Add(m.Timeout + responseGrace)
	delay := initialRetransmitDelay
	b := make([]byte, maxDatagram)
	for time.Now().Before(end) && ctx.Err() == nil {
		_, _ = r.conn.Write(wire)
		nextSend := time.Now().Add(delay)
		if nextSend.After(end) {
			nextSend = end
		}
		delay *= 2
		if o, ok := r.awaitResponse(b, nextSend, m); ok {
			return o
		}
	}
	r.caller.log(fmt.Sprintf("request %s from %v (%v) received no final response by %s", r.id, r.conn.LocalAddr(), m.Code, time.Now().Format(time.StampMilli)))
	return outcomeLost
}

// message returns the request as it is sent. Its token is the end of the ID.
func (r *callerRequest) message() entry.Message {
	m := entry.Message{
		Type:    entry.TypeConfirmable,
		Code:    entry.CodeGet,
		ID:      uint16(len(r.id)),
		Token:   []byte(r.id[len(r.id)-min(len(r.id), tokenLen):]),
		Timeout: r.caller.cfg.Timeout,
		Payload: encode(requestBody{ID: r.id, Service: r.service}),
	}
	if r.post {
		m.Code = entry.CodePost
	}
	return m
}

func (r *callerRequest) tokenKey(token []byte) sentToken {
	return sentToken{from: r.conn.LocalAddr().String(), service: r.service, token: string(token)}
}

// awaitResponse reads until the final response to m arrives, and returns false if
// none has arrived at the given time.
func (r *callerRequest) awaitResponse(b []byte, until time.Time, m entry.Message) (outcome, bool) {
	for {
		_ = r.conn.SetReadDeadline(until)
		n, err := r.conn.Read(b)
		if err != nil && (errors.Is(err, net.ErrClosed) || time.Now().After(until)) {
			return outcomeLost, false
		}
		if err != nil {
			continue
		}
		a, err := entry.ParseMessage(b[:n])
		if err != nil || a.Code == entry.CodeEmpty || a.Code.IsRequest() {
			continue
		}
		if string(a.Token) != string(m.Token) {
			r.checkOtherToken(a)
			continue
		}
		r.checkBody(a, r.id)
		return r.classify(a), true
	}
}

// checkOtherToken checks a response with another token. The operating system may
// reuse the port of a finished request, whose late responses then arrive here: such
// a response is misrouted unless its token was sent from this port to this service.
func (r *callerRequest) checkOtherToken(a entry.Message) {
	id, ok := r.caller.sentID(r.tokenKey(a.Token))
	if !ok {
		r.recordMisrouted(a)
		return
	}
	r.checkBody(a, id)
}

// checkBody records a response as misrouted if its content belongs to another
// request than id or to another service.
func (r *callerRequest) checkBody(a entry.Message, id string) {
	if a.Code != entry.CodeContent {
		return
	}
	var body responseBody
	if json.Unmarshal(a.Payload, &body) != nil || body.ID != id || body.Service != r.service {
		r.recordMisrouted(a)
	}
}

func (r *callerRequest) recordMisrouted(a entry.Message) {
	r.caller.count(func(r *Result) { r.Crossed++ })
	r.caller.log(fmt.Sprintf("request %s from %v received a misrouted response: code %d, token %q, payload %s", r.id, r.conn.LocalAddr(), a.Code, a.Token, a.Payload))
}

// classify returns the outcome that the code of a response stands for.
func (r *callerRequest) classify(a entry.Message) outcome {
	switch a.Code {
	case entry.CodeContent:
		return outcomeAnswered
	case entry.CodeUnavailable, entry.CodeTooManyRequests:
		return outcomeRefused
	default:
		r.caller.log(fmt.Sprintf("request %s from %v has an unknown outcome: response code %d", r.id, r.conn.LocalAddr(), a.Code))
		return outcomeUnknown
	}
}

// recordSent records the ID of the request that a token belongs to.
func (c *Caller) recordSent(k sentToken, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentIDs[k] = id
}

// sentID returns the ID of the request that a token was sent with, and false if the
// token was never sent.
func (c *Caller) sentID(k sentToken) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.sentIDs[k]
	return id, ok
}
