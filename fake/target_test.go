package fake

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/entry"
)

// targetClient is a running target and a socket that is connected to it.
type targetClient struct {
	c      *qt.C
	target *Target
	conn   *net.UDPConn
}

// startTarget runs a target of the service levy-desk until the test ends.
func startTarget(t *testing.T, slots int, meanServiceTime time.Duration) *targetClient {
	c := qt.New(t)
	target, err := NewTarget(TargetConfig{
		Service:         "levy-desk",
		Name:            "a",
		Listen:          netip.MustParseAddrPort("127.0.0.1:0"),
		Slots:           slots,
		MeanServiceTime: meanServiceTime,
		Seed:            1,
	})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- target.Run(ctx) }()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(target.Addr()))
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
		conn.Close()
	})
	return &targetClient{c: c, target: target, conn: conn}
}

// post sends a request that may not be repeated.
func (e *targetClient) post(token, id string) {
	m := entry.Message{
		Type:    entry.TypeConfirmable,
		Code:    entry.CodePost,
		Token:   []byte(token),
		Payload: encodeJSON(requestBody{ID: id, Service: "levy-desk"}),
	}
	b, err := m.Encode()
	e.c.Assert(err, qt.IsNil)
	h := entry.Header{
		Source:      netip.MustParseAddrPort("127.0.0.1:1"),
		Destination: netip.MustParseAddrPort("127.0.0.1:2"),
	}
	_, err = e.conn.Write(append(entry.AppendHeader(nil, h), b...))
	e.c.Assert(err, qt.IsNil)
}

// receiveResponse returns the next response, which has to arrive within 5 s.
func (e *targetClient) receiveResponse() entry.Message {
	b := make([]byte, readBufferBytes)
	e.c.Assert(e.conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	n, err := e.conn.Read(b)
	e.c.Assert(err, qt.IsNil)
	_, payload, err := entry.ParseHeader(b[:n])
	e.c.Assert(err, qt.IsNil)
	m, err := entry.ParseMessage(payload)
	e.c.Assert(err, qt.IsNil)
	return m
}

// TestTargetAnswersOverlappingRequests guards against responses with the token or
// the content of another request, when several requests are sent before the first
// response.
func TestTargetAnswersOverlappingRequests(t *testing.T) {
	e := startTarget(t, 8, 20*time.Millisecond)
	want := make(map[string]bool)
	for _, token := range []string{"one", "two", "three", "four"} {
		e.post(token, token)
		want[token] = true
	}
	for len(want) > 0 {
		m := e.receiveResponse()
		e.c.Assert(want[string(m.Token)], qt.IsTrue, qt.Commentf("token %q", m.Token))
		e.c.Assert(string(m.Payload), qt.Contains, `"id":"`+string(m.Token)+`"`)
		delete(want, string(m.Token))
	}
}

// TestTargetRunsARepeatedAttemptOnce guards against a target that runs duplicates of
// a request. A balancer sends an attempt again after the target has responded if the
// response was lost. Source: RFC 7252, section 4.5.
func TestTargetRunsARepeatedAttemptOnce(t *testing.T) {
	e := startTarget(t, 1, time.Millisecond)
	for range 3 {
		e.post("attempt", "levy-desk-1")
		e.receiveResponse()
	}
	e.c.Assert(e.target.State().Runs["levy-desk-1"], qt.Equals, 1)
}
