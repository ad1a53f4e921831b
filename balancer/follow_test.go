package balancer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/fake"
	"wisteriaweir/fleet"
	"wisteriaweir/member"
	"wisteriaweir/platform"
	"wisteriaweir/ticket"
)

// runTasks runs the tasks of ctl until ctx ends, and calls step every 100 ms.
func runTasks(ctx context.Context, ctl *control, step func()) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-ctl.tasks:
			task()
		case <-tick.C:
			step()
		}
	}
}

// stallingTransport is a transport whose watches get no response while
// isStalled is set. Other calls work.
type stallingTransport struct {
	rt        http.RoundTripper
	mu        sync.Mutex
	calls     int
	isStalled atomic.Bool
}

// RoundTrip forwards one call. While stalled, it blocks a watch until its
// context ends.
func (s *stallingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.isStalled.Load() && r.URL.Query().Has("watch") {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	return s.rt.RoundTrip(r)
}

// withoutDeadline hides the Deadline method of a test from package rapid, since
// the deadline has no meaning in virtual time.
type withoutDeadline struct{ *testing.T }

// checkApplied returns an error unless the applied versions increase and end with the
// current version of the object, which is 0 if the object does not exist.
func checkApplied(applied []uint64, current uint64) error {
	for i := 1; i < len(applied); i++ {
		if applied[i] <= applied[i-1] {
			return fmt.Errorf("versions applied out of order: %v", applied)
		}
	}
	if len(applied) == 0 || applied[len(applied)-1] != current {
		return fmt.Errorf("applied %v, the object is at version %d", applied, current)
	}
	return nil
}

// TestObjectWatcherLosesNoChange guards against a watcher that misses the last
// change of an object or goes back to an older version. The object changes while
// the platform has outages, expires watches, loses responses, returns stale
// versions or invalid JSON, or stops answering watches. The last version must be
// applied within about 9 s after the faults end.
func TestObjectWatcherLosesNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(t *rapid.T) {
			rate := rapid.SampledFrom([]float64{0, 0.2, 0.5})
			faults := fake.PlatformFaults{
				DropRate: rate.Draw(t, "drop"), LostResponseRate: rate.Draw(t, "lost"), StaleReadRate: rate.Draw(t, "stale"),
				EndWatches: rapid.Bool().Draw(t, "expire"), InvalidJSONRate: rate.Draw(t, "rubbish"),
			}
			p := fake.NewPlatform(fake.PlatformConfig{Seed: rapid.Uint64().Draw(t, "seed"), Faults: faults})
			rt := &stallingTransport{rt: p.Transport()}
			ctl := newTestControl(rt)
			ctx, cancel := context.WithCancel(context.Background())
			var applied []uint64
			w := &objectWatcher{c: ctl, path: "head", apply: func(o platform.Object) { applied = append(applied, o.Version) }}
			w.start(ctx)
			writer := newTestControl(p.Transport()).b.platform
			n := rapid.IntRange(1, 20).Draw(t, "changes")
			pauses := rapid.SliceOfN(rapid.IntRange(0, 3000), n, n).Draw(t, "between")
			stalls := rapid.SliceOfN(rapid.IntRange(0, 4), n, n).Draw(t, "silent")
			outages := rapid.SliceOfN(rapid.IntRange(0, 4), n, n).Draw(t, "outage")
			go func() {
				for i := range n {
					_, _ = writer.Put(ctx, "head", uint64(i), []byte{byte(i)})
					time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
					rt.isStalled.Store(stalls[i] == 0)
					p.SetFaults(faults.WithOutage(outages[i] == 0))
				}
				p.SetFaults(fake.PlatformFaults{})
				rt.isStalled.Store(false)
				time.Sleep(objectWatchTimeout + 4*time.Second)
				cancel()
			}()
			runTasks(ctx, ctl, func() {})
			o, err := writer.Get(context.Background(), "head")
			if errors.As(err, new(*platform.NotFoundError)) {
				o, err = platform.Object{}, nil // No write succeeded: the object still has version 0.
			}
			if err != nil {
				t.Fatal(err)
			}
			if err := checkApplied(applied, o.Version); err != nil {
				t.Fatal(err)
			}
		})
	})
}

// TestObjectWatcherStops guards against changes that are applied after a stop,
// and against a restart that continues from an old version: a restarted watcher
// must apply the current state first.
func TestObjectWatcherStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := fake.NewPlatform(fake.PlatformConfig{})
		ctl := newTestControl(p.Transport())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var applied []uint64
		w := &objectWatcher{c: ctl, path: "head", apply: func(o platform.Object) { applied = append(applied, o.Version) }}
		go runTasks(ctx, ctl, func() {})
		w.start(ctx)
		time.Sleep(time.Second)
		w.stop()
		_, err := ctl.b.platform.Put(ctx, "head", 0, []byte("a"))
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Minute)
		synctest.Wait()
		c.Assert(applied, qt.DeepEquals, []uint64{0})
		w.start(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(applied, qt.DeepEquals, []uint64{0, 1})
		w.stop()
	})
}

// TestPlatformCallsOfAHolder guards against a lease holder that calls the
// platform more often than needed or misses a ticket. It counts the calls of a
// lease holder by kind in a minute without a change, then submits one ticket,
// which must reach the fleet object within a second.
func TestPlatformCallsOfAHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var written writeRecord
		p := fake.NewPlatform(fake.PlatformConfig{OnWrite: written.add})
		ctl := newTestControl(p.Transport())
		ctl.b.cfg.IsPartitioned = func(_, _ string) bool { return true }
		ctl.b.requests = &requests{}
		acquireLease(c, ctl)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c.Assert(ctl.announce(ctx, platform.StateLive), qt.IsNil)
		ctl.members.view = member.View{Entries: []member.Entry{{Member: ctl.b.self, State: member.StateLive}}}
		go runTasks(ctx, ctl, func() {
			ctl.leaseRunner.tick(ctx)
			ctl.proposer.tick(ctx)
			if writes := written.writtenTo(fleet.Path); len(writes) > 0 {
				newest := writes[len(writes)-1]
				ctl.fleet, _ = fleet.Decode(newest.Value)
				ctl.proposer.recordVersion(newest.Version, ctl.fleet.Number)
			}
		})
		time.Sleep(30 * time.Second)
		before := p.Calls()
		time.Sleep(time.Minute)
		calls := p.Calls()
		for kind, n := range before {
			calls[kind] -= n
		}
		t.Logf("calls in a minute: %v", calls)
		c.Check(calls["get"], qt.Equals, 0)
		c.Check(calls["hosts"] <= 1, qt.IsTrue)
		c.Check(calls["watch"] <= 13, qt.IsTrue)

		n := len(written.writtenTo(fleet.Path))
		_, err := ticket.Submit(ctx, ctl.b.platform, ticket.Ticket{Number: 1, Title: "x", Author: "y", Domains: []string{"west-a"}})
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		c.Check(len(written.writtenTo(fleet.Path)) > n, qt.IsTrue)
	})
}
