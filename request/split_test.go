package request_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/request"
)

// TestSplitVotesFindAnOwner gives copies of one request to the balancers of
// several failure domains at one time, so that each holder grants its claim to
// another: it runs once all the same, and its caller gets the answer.
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
				for _, g := range w.replies[k] {
					c.Check(g.reply.Outcome, qt.Equals, request.OutcomeAnswer, qt.Commentf("%v", g.reply.Cause))
				}
			}
		})
	}
}
