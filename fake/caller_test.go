package fake

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/entry"
)

// delayedResponseService responds to each request in order. Before a response it
// sends the messages that are queued in extra.
type delayedResponseService struct {
	conn  *net.UDPConn
	extra chan entry.Message
}

// run serves until the socket is closed.
func (s *delayedResponseService) run() {
	b := make([]byte, readBufferBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		m, err := entry.ParseMessage(b[:n])
		if err != nil {
			continue
		}
		for len(s.extra) > 0 {
			wire, _ := (<-s.extra).Encode()
			_, _ = s.conn.WriteToUDPAddrPort(wire, from)
		}
		reply := m.Reply(entry.CodeContent)
		reply.Payload = m.Payload
		wire, _ := reply.Encode()
		_, _ = s.conn.WriteToUDPAddrPort(wire, from)
	}
}

// TestCallerTellsLateAnswersFromCrossedOnes sends three requests from one port, and
// guards against a wrong count of misrouted responses: a late response to the
// first request is not misrouted; a response whose token was never sent from this
// port is, and so is a response with the first request's token and the content of
// the second.
func TestCallerTellsLateAnswersFromCrossedOnes(t *testing.T) {
	c := qt.New(t)
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	s := &delayedResponseService{conn: conn, extra: make(chan entry.Message, 2)}
	defer conn.Close()
	go s.run()
	caller := NewCaller(CallerConfig{Timeout: 5 * time.Second, Log: func(line string) { t.Log(line) }})
	desk := CallerService{Name: "levy-desk", Request: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	port, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(desk.Request))
	c.Assert(err, qt.IsNil)
	defer port.Close()
	send := func(id string, extra ...entry.Message) {
		for _, m := range extra {
			s.extra <- m
		}
		caller.sendRequest(context.Background(), port, desk, id, false)
	}
	response := func(token, id string) entry.Message {
		return entry.Message{
			Type:    entry.TypeAcknowledgement,
			Code:    entry.CodeContent,
			Token:   []byte(token),
			Payload: encodeJSON(responseBody{ID: id, Service: desk.Name}),
		}
	}
	late := response("desk-000", "levy-desk-000")
	send("levy-desk-000")
	send("levy-desk-001", late, entry.Message{Type: entry.TypeAcknowledgement, Code: entry.CodeGatewayTimeout, Token: late.Token})
	c.Check(caller.result.Answered, qt.Equals, 2)
	c.Check(caller.result.Crossed, qt.Equals, 0)
	send("levy-desk-002", response("desk-009", "levy-desk-009"), response("desk-000", "levy-desk-001"))
	c.Check(caller.result.Answered, qt.Equals, 3)
	c.Check(caller.result.Crossed, qt.Equals, 2)
}
