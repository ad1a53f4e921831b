package request_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/request"
	"wisteriaweir/service"
)

// TestRepeatableRequestOnOneBalancer guards against a repeatable request that is
// not forwarded or answered, and against a duplicate that runs again instead of
// getting the stored reply.
func TestRepeatableRequestOnOneBalancer(t *testing.T) {
	c := qt.New(t)
	self := request.Member{Peer: request.Peer{Name: "b1", Life: 1}, Domain: "d1"}
	core := request.New(request.Config{Self: self})
	desk := service.Service{Name: "levy-desk", Pool: []service.Target{{Name: "t1", Domain: "d1", Slots: 1}}}
	core.Handle(0, request.ConfigChanged{Config: service.Config{}.WithNumber(1).WithService(desk)})
	core.Handle(0, request.ViewChanged{Members: []request.Member{self}})
	r := request.Request{
		Key:        request.Key{Caller: netip.MustParseAddrPort("127.0.0.9:9000"), Token: "a"},
		Service:    "levy-desk",
		Repeatable: true,
		Remaining:  time.Second,
	}
	f := forwardOf(c, core.Handle(time.Millisecond, request.Received{Request: r}))
	c.Assert(f.Target.Name, qt.Equals, "t1")
	c.Assert(f.Request.Remaining, qt.Equals, time.Second)

	answer := request.Answered{Token: f.Token, Target: "t1", Code: 69, Payload: []byte("ok")}
	reply := replyOf(c, core.Handle(30*time.Millisecond, answer))
	c.Assert(reply.Key, qt.Equals, r.Key)
	c.Assert(reply.Outcome, qt.Equals, request.OutcomeResponse)
	c.Assert(string(reply.Payload), qt.Equals, "ok")

	duplicate := replyOf(c, core.Handle(40*time.Millisecond, request.Received{Request: r}))
	c.Assert(duplicate.Key, qt.Equals, r.Key)
	c.Assert(string(duplicate.Payload), qt.Equals, "ok")
}

func forwardOf(c *qt.C, effects []request.Effect) request.Forward {
	for _, e := range effects {
		if f, ok := e.(request.Forward); ok {
			return f
		}
	}
	c.Fatalf("no Forward in %v", effects)
	panic("not reached")
}

func replyOf(c *qt.C, effects []request.Effect) request.Reply {
	for _, e := range effects {
		if r, ok := e.(request.Reply); ok {
			return r
		}
	}
	c.Fatalf("no Reply in %v", effects)
	panic("not reached")
}

// BenchmarkRepeatable measures one repeatable request at a coordinator: hop,
// forward and response.
func BenchmarkRepeatable(b *testing.B) {
	self := request.Member{Peer: request.Peer{Name: "b1", Life: 1}, Domain: "d1"}
	other := request.Member{Peer: request.Peer{Name: "b2", Life: 1}, Domain: "d1"}
	core := request.New(request.Config{Self: self})
	desk := newService(deskName, []string{"d1"}, 140, 2)
	core.Handle(0, request.ConfigChanged{Config: service.Config{}.WithNumber(1).WithService(desk)})
	core.Handle(0, request.ViewChanged{Members: []request.Member{self, other}})
	now := time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 150 * time.Microsecond
		r := request.Request{Key: newKey(i % 65536), Service: deskName, Repeatable: true, Remaining: time.Second}
		r.Key.Token = "a"
		r.Key.MessageID = uint16(i >> 16)
		effects := core.Handle(now, request.MessageReceived{From: other.Peer, Message: request.Hop{Request: r, Stamp: 1}})
		for _, e := range effects {
			if f, ok := e.(request.Forward); ok {
				core.Handle(now, request.Answered{Token: f.Token, Target: f.Target.Name})
			}
		}
	}
}
