package balancer

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/panjf2000/ants/v2"
)

// TestSerialQueueKeepsOrderAndLimit guards against tasks that run out of order,
// and against more accepted tasks than the limit while a task is running.
func TestSerialQueueKeepsOrderAndLimit(t *testing.T) {
	c := qt.New(t)
	pool, err := ants.NewPool(1)
	c.Assert(err, qt.IsNil)
	defer pool.Release()
	q := newSerialQueue(pool, 3)
	var mu sync.Mutex
	var got []int
	entered, release := make(chan struct{}), make(chan struct{})
	done := make(chan struct{})
	c.Assert(q.push(func() {
		close(entered)
		<-release
	}), qt.IsTrue)
	<-entered
	accepted := 0
	for i := range 10 {
		if q.push(func() {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, i)
		}) {
			accepted++
		}
	}
	q.pushAlways(func() { close(done) })
	close(release)
	<-done
	mu.Lock()
	defer mu.Unlock()
	c.Assert(accepted, qt.Equals, 3)
	c.Assert(got, qt.DeepEquals, []int{0, 1, 2})
}

// FuzzDecodeDuty guards against a panic on an invalid status report.
func FuzzDecodeDuty(f *testing.F) {
	f.Add([]byte(`{"ready":true,"claims":3}`))
	f.Add([]byte(`{"ready":true,"seen":"CAEYASIFAwAAAA=="}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = decodeStatusReport(b)
	})
}
