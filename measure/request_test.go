package measure

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkRequests prints the tables of Requests:
//
//	go test ./measure -run - -bench BenchmarkRequests -benchtime 1x
func BenchmarkRequests(b *testing.B) {
	for range b.N {
		tables, err := Requests(1)
		if err != nil {
			b.Fatal(err)
		}
		for _, t := range tables {
			if err := t.Write(os.Stdout, FormatText); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// TestRequestRunIsRepeatable guards against different latencies in two runs with the
// same seed, for example from the iteration order of a map. No request may be lost,
// run twice, be misrouted or be falsely reported as not run.
func TestRequestRunIsRepeatable(t *testing.T) {
	c := qt.New(t)
	run := requestCase{size: requestSizes[1], load: 0.7, duration: 3 * time.Second}
	var first *requestStats
	for range 2 {
		requests := run.requests(7)
		runRequestSimulation(run, requests, 7)
		s := requestStatsOf(requests)
		c.Assert(s.answered > 0, qt.IsTrue)
		c.Assert(s.lost+s.ranTwice+s.misrouted+s.falselyNotRun, qt.Equals, 0)
		if first != nil {
			c.Assert(s.all, qt.DeepEquals, first.all)
		}
		first = s
	}
}

// TestIdealQueueServesInOrder guards against an ideal queue that does not serve
// requests in order of arrival, or that uses more or fewer slots than the target has.
func TestIdealQueueServesInOrder(t *testing.T) {
	c := qt.New(t)
	size := requestSize{balancers: []int{1}, targets: 1, maxHolders: 1}
	run := requestCase{size: size, duration: time.Second}
	requests := []*simRequest{
		{arrivedAt: 0, serviceTime: 3 * meanRequestServiceTime, service: deskService},
		{arrivedAt: 0, serviceTime: meanRequestServiceTime, service: deskService},
		{arrivedAt: 0, serviceTime: meanRequestServiceTime, service: deskService},
	}
	runIdeal(run, requests)
	c.Assert(requests[0].answeredAt, qt.Equals, 3*meanRequestServiceTime)
	c.Assert(requests[1].answeredAt, qt.Equals, meanRequestServiceTime)
	c.Assert(requests[2].answeredAt, qt.Equals, 2*meanRequestServiceTime)
}
