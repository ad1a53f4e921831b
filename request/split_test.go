package request_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/request"
)

// TestSplitVotesFindAnOwner guards against split votes that leave a request without
// an owner or with two. Copies of one request reach the balancers of several
// failure domains at the same time, so that each claim holder may grant the claim to
// another balancer. The request must run once and its caller must get the response.
func TestSplitVotesFindAnOwner(t *testing.T) {
	for _, domains := range [][]string{{"d1", "d2"}, {"d1", "d2", "d3"}} {
		t.Run(fmt.Sprint(len(domains)), func(t *testing.T) {
			c := qt.New(t)
			w := newRegion(1, domains, len(domains), request.Limits{})
			keys := make([]request.Key, 100)
			for i := range keys {
				keys[i] = newKey(i)
				w.After(time.Duration(i)*20*time.Millisecond, func() {
					for _, n := range w.nodes {
						r := request.Request{Key: keys[i], Service: deskName, Remaining: time.Second}
						w.event(n, request.Received{Request: r})
					}
				})
			}
			w.RunUntil(w.Now() + 4*time.Second)
			for _, k := range keys {
				c.Check(w.runs[k], qt.Equals, 1)
				for _, timed := range w.replies[k] {
					c.Check(timed.reply.Outcome, qt.Equals, request.OutcomeResponse, qt.Commentf("%v", timed.reply.Cause))
				}
			}
		})
	}
}
