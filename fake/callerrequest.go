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

// maxTokenBytes is the maximum length of a request's token, in bytes.
const maxTokenBytes = 8

// callerRequest is one request of a Caller.
type callerRequest struct {
	caller  *Caller
	conn    *net.UDPConn
	service string
	id      string
	// isPost reports whether the request is a POST, which may not be repeated.
	isPost bool
}

// sentTokenKey identifies a token that was sent: the caller's local address, the
// service and the token.
type sentTokenKey struct {
	from    string
	service string
	token   string
}

// run sends the request and returns its outcome. It retransmits the request, with a
// delay that doubles each time, until the final response arrives, ctx ends, or
// responseGrace has passed since the deadline of the request.
func (r *callerRequest) run(ctx context.Context) outcome {
	m := r.message()
	wire, err := m.Encode()
	if err != nil {
		return outcomeLost
	}
	r.caller.recordSent(r.tokenKey(m.Token), r.id)
	end := time.Now().Add(m.Timeout + responseGrace)
	delay := initialRetransmitDelay
	b := make([]byte, readBufferBytes)
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

// message returns the request as it is sent. Its token is the last maxTokenBytes
// bytes of the ID, or the whole ID if that is shorter.
func (r *callerRequest) message() entry.Message {
	m := entry.Message{
		Type:    entry.TypeConfirmable,
		Code:    entry.CodeGet,
		ID:      uint16(len(r.id)),
		Token:   []byte(r.id[len(r.id)-min(len(r.id), maxTokenBytes):]),
		Timeout: r.caller.cfg.Timeout,
		Payload: encodeJSON(requestBody{ID: r.id, Service: r.service}),
	}
	if r.isPost {
		m.Code = entry.CodePost
	}
	return m
}

// tokenKey returns the key of a token that was sent from this port to this service.
func (r *callerRequest) tokenKey(token []byte) sentTokenKey {
	return sentTokenKey{from: r.conn.LocalAddr().String(), service: r.service, token: string(token)}
}

// awaitResponse waits for the final response to m and returns its outcome. It returns
// false if none has arrived by the given time or the connection is closed.
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
		resp, err := entry.ParseMessage(b[:n])
		if err != nil || resp.Code == entry.CodeEmpty || resp.Code.IsRequest() {
			continue
		}
		if string(resp.Token) != string(m.Token) {
			r.checkOtherToken(resp)
			continue
		}
		r.checkBody(resp, r.id)
		return r.classify(resp), true
	}
}

// checkOtherToken checks a response with another token. The operating system may
// reuse the port of a finished request, whose late responses then arrive here: such
// a response is misrouted unless its token was sent from this port to this service.
func (r *callerRequest) checkOtherToken(resp entry.Message) {
	id, ok := r.caller.sentID(r.tokenKey(resp.Token))
	if !ok {
		r.recordMisrouted(resp)
		return
	}
	r.checkBody(resp, id)
}

// checkBody records a response as misrouted if its content belongs to a request
// other than id or to another service. Responses without content are not checked.
func (r *callerRequest) checkBody(resp entry.Message, id string) {
	if resp.Code != entry.CodeContent {
		return
	}
	var body responseBody
	if json.Unmarshal(resp.Payload, &body) != nil || body.ID != id || body.Service != r.service {
		r.recordMisrouted(resp)
	}
}

func (r *callerRequest) recordMisrouted(resp entry.Message) {
	r.caller.updateResult(func(r *Result) { r.Crossed++ })
	r.caller.log(fmt.Sprintf("request %s from %v received a misrouted response: code %d, token %q, payload %s", r.id, r.conn.LocalAddr(), resp.Code, resp.Token, resp.Payload))
}

// classify returns the outcome that the code of a response represents.
func (r *callerRequest) classify(resp entry.Message) outcome {
	switch resp.Code {
	case entry.CodeContent:
		return outcomeAnswered
	case entry.CodeServiceUnavailable, entry.CodeTooManyRequests:
		return outcomeRefused
	default:
		r.caller.log(fmt.Sprintf("request %s from %v has an unknown outcome: response code %d", r.id, r.conn.LocalAddr(), resp.Code))
		return outcomeUnknown
	}
}

// recordSent records the ID of the request that a token belongs to.
func (c *Caller) recordSent(k sentTokenKey, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentIDs[k] = id
}

// sentID returns the ID of the request that a token was sent with, and false if the
// token was never sent.
func (c *Caller) sentID(k sentTokenKey) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.sentIDs[k]
	return id, ok
}
