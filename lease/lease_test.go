package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/lease"
	"wisteriaweir/measure"
)

const (
	// term is the term of each process.
	term = 6 * time.Second
	// skew is the MaxClockSkew of each process.
	skew = 300 * time.Millisecond
)

// faults are the probabilities of faults, from 0 to 1. A call fails for its caller if it is
// dropped or late or if its response is lost; in the latter two cases it takes effect all the
// same. A stale read returns an earlier state. The probabilities of a pause of each process
// and of the start or end of an outage of the platform are for each step of 100 ms.
type faults struct {
	drop, lost, late, stale, pause, outage float64
}

// world simulates a lease object of the platform, the processes that contend for it, and one
// receiver of their actions, in virtual time.
type world struct {
	t        *rapid.T
	timeline measure.Timeline
	rnd      *rand.Rand
	faults   faults
	down     bool // whether the platform is unavailable
	version  uint64
	record   lease.Record
	history  []lease.Record
	procs    []*process

	// fence is the fence of the receiver.
	fence lease.Fence
	// highestAdmitted is the highest fencing number of an admitted action.
	highestAdmitted uint64
	// acquiredBy has the name of the process that acquired each fencing number.
	acquiredBy map[uint64]string
	// lastHeldAt is the last time at which a process that is not paused held the lease.
	lastHeldAt time.Duration
	// longestGap is the longest time without such a holder.
	longestGap time.Duration
}

// process is a contending process. Its clock differs from the true time by an offset and
// runs clockRate times as fast.
type process struct {
	w           *world
	name        string
	l           *lease.Lease
	clockRate   float64
	clockOffset time.Duration
	pausedUntil time.Duration // the true time at which a pause ends
	dead        bool
	wakeCount   int // counts the Wakes; only the last one causes a Tick
	holding     bool
}

// clock returns the time on the clock of the process.
func (p *process) clock() time.Duration {
	return p.clockOffset + time.Duration(float64(p.w.timeline.Now())*p.clockRate)
}

func newWorld(t *rapid.T, n int, f faults) *world {
	w := &world{t: t, faults: f, rnd: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), acquiredBy: map[uint64]string{}}
	drift := float64(skew) / float64(term)
	for i := range n {
		name := fmt.Sprintf("balancer-%d", i)
		rate := 1 + float64(1-2*w.rnd.IntN(2))*drift*0.98 // almost as fast or as slow as MaxClockSkew allows
		p := &process{w: w, name: name, clockRate: rate, clockOffset: time.Duration(w.rnd.Int64N(int64(time.Hour)))}
		p.l = lease.New(lease.Config{Name: name, Life: uint64(i + 1), Term: term, MaxClockSkew: skew, Seed: w.rnd.Uint64()})
		w.procs = append(w.procs, p)
		w.timeline.After(w.delay(), func() { p.handle(lease.Contend{}) })
	}
	return w
}

func (w *world) happens(probability float64) bool { return w.rnd.Float64() < probability }

func (w *world) delay() time.Duration {
	return time.Millisecond + time.Duration(w.rnd.Int64N(int64(40*time.Millisecond)))
}

// handle passes an event to the process once its pause is over.
func (p *process) handle(e lease.Event) {
	if p.dead {
		return
	}
	if wait := p.pausedUntil - p.w.timeline.Now(); wait > 0 {
		p.w.timeline.After(wait, func() { p.handle(e) })
		return
	}
	for _, effect := range p.l.Handle(p.clock(), e) {
		p.execute(effect)
	}
}

func (p *process) execute(e lease.Effect) {
	w := p.w
	switch e := e.(type) {
	case lease.Read:
		w.call(p, lease.ReadFailed{}, func() lease.Event { return w.read() })
	case lease.Watch:
		w.watch(p, e.After, w.timeline.Now()+20*time.Second)
	case lease.Write:
		w.call(p, lease.WriteUnknown{}, func() lease.Event { return w.write(e) })
	case lease.Acquired:
		if other, ok := w.acquiredBy[e.Fence]; ok {
			w.t.Fatalf("%v: fencing number %d of %s was also acquired by %s", w.timeline.Now(), e.Fence, other, p.name)
		}
		w.acquiredBy[e.Fence] = p.name
		p.holding = true
	case lease.Released:
		p.holding = false
	case lease.Wake:
		p.wakeCount++
		n := p.wakeCount
		after := time.Duration(float64(e.At-p.clock())/p.clockRate) + time.Microsecond
		w.timeline.After(after, func() {
			if n == p.wakeCount {
				p.handle(lease.Tick{})
			}
		})
	}
}

// call simulates a call to the platform and its response. If the call fails, the process
// receives the event failed after a second.
func (w *world) call(p *process, failed lease.Event, act func() lease.Event) {
	if w.happens(w.faults.drop) {
		w.timeline.After(time.Second, func() { p.handle(failed) })
		return
	}
	if w.happens(w.faults.late) { // takes effect although the call times out for its caller
		w.timeline.After(time.Second, func() { p.handle(failed) })
		w.timeline.After(time.Duration(w.rnd.Int64N(int64(2*term))), func() { act() })
		return
	}
	w.timeline.After(w.delay(), func() {
		if w.down {
			w.timeline.After(time.Second, func() { p.handle(failed) })
			return
		}
		response := act()
		if w.happens(w.faults.lost) {
			w.timeline.After(time.Second, func() { p.handle(failed) })
			return
		}
		w.timeline.After(w.delay(), func() { p.handle(response) })
	})
}

func (w *world) read() lease.Event {
	if n := len(w.history); n > 0 && w.happens(w.faults.stale) {
		i := w.rnd.IntN(n)
		return lease.StateRead{Version: uint64(i + 1), Record: w.history[i]}
	}
	return lease.StateRead{Version: w.version, Record: w.record}
}

// watch simulates a long poll that ends at the time end.
func (w *world) watch(p *process, after uint64, end time.Duration) {
	w.timeline.After(w.delay(), func() {
		switch {
		case w.down:
			p.handle(lease.ReadFailed{})
		case w.version > after:
			p.handle(lease.StateRead{Version: w.version, Record: w.record})
		case w.timeline.Now() > end:
			p.handle(lease.Unchanged{})
		default:
			w.watch(p, after, end)
		}
	})
}

func (w *world) write(e lease.Write) lease.Event {
	if w.down {
		return lease.WriteUnknown{}
	}
	if e.Version != w.version {
		return lease.WriteConflict{Version: w.version, Record: w.record}
	}
	w.version++
	w.record = e.Record
	w.history = append(w.history, e.Record)
	return lease.Written{Version: w.version}
}

// step injects random faults, sends an action of each holder, and checks that there is at
// most one holder.
func (w *world) step() {
	var holders []string
	for _, p := range w.procs {
		fence, ok := p.l.Holding(p.clock())
		if !ok || p.dead {
			continue
		}
		holders = append(holders, p.name)
		w.act(p, fence)
		if w.timeline.Now() >= p.pausedUntil {
			w.lastHeldAt = w.timeline.Now()
		}
	}
	if len(holders) > 1 {
		w.t.Fatalf("%v: %v hold the lease at one time", w.timeline.Now(), holders)
	}
	w.longestGap = max(w.longestGap, w.timeline.Now()-w.lastHeldAt)
	for _, p := range w.procs {
		if w.happens(w.faults.pause) {
			p.pausedUntil = w.timeline.Now() + time.Duration(w.rnd.Int64N(int64(2*term)))
		}
	}
	if w.happens(w.faults.outage) {
		w.down = !w.down
	}
}

// act sends an action to the receiver. A paused process sends it when its pause ends, although
// its term may be over by then.
func (w *world) act(p *process, fence uint64) {
	wait := max(p.pausedUntil-w.timeline.Now(), 0) + w.delay()
	w.timeline.After(wait, func() {
		f, err := w.fence.Admit(fence)
		if err != nil {
			return
		}
		w.fence = f
		if fence < w.highestAdmitted {
			w.t.Fatalf("%v: an action with fencing number %d was admitted after %d", w.timeline.Now(), fence, w.highestAdmitted)
		}
		w.highestAdmitted = fence
	})
}

func (w *world) run(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := w.timeline.Now() + d; w.timeline.Now() < end; {
		w.timeline.RunUntil(w.timeline.Now() + tick)
		w.step()
	}
}

// TestNeverTwoHolders guards against two holders at one time, during outages, pauses and
// clock drift, and with lost responses, late calls and stale reads. A process must hold the
// lease four terms after the last fault.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := faults{
			drop:   rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "drop"),
			lost:   rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "lost"),
			late:   rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "late"),
			stale:  rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "stale"),
			pause:  rapid.SampledFrom([]float64{0, 0.005}).Draw(t, "pause"),
			outage: rapid.SampledFrom([]float64{0, 0.003}).Draw(t, "outage"),
		}
		w := newWorld(t, rapid.IntRange(2, 5).Draw(t, "processes"), f)
		w.run(2 * time.Minute)
		w.faults, w.down = faults{}, false
		w.run(4 * term)
		hasHolder := false
		for _, p := range w.procs {
			_, ok := p.l.Holding(p.clock())
			hasHolder = hasHolder || ok
		}
		if !hasHolder {
			t.Fatalf("no process holds the lease %v after the last fault", 4*term)
		}
	})
}

// TestTimeWithoutHolderIsBounded limits the time without a holder after a graceful
// leave, a crash and a pause of the holder.
func TestTimeWithoutHolderIsBounded(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		stop   func(*process)
		maxGap time.Duration
	}{
		{"leave", func(p *process) { p.handle(lease.Leave{}) }, time.Second},
		{"death", func(p *process) { p.dead = true }, term + 2*skew + term/10 + time.Second},
		{"pause", func(p *process) { p.pausedUntil = p.w.timeline.Now() + 2*term }, term + 2*skew + term/10 + time.Second},
	} {
		var worst time.Duration
		rapid.Check(t, func(t *rapid.T) {
			w := newWorld(t, 4, faults{})
			w.run(2 * term)
			w.longestGap = 0
			for _, p := range w.procs {
				if p.holding {
					scenario.stop(p)
				}
			}
			w.run(3 * term)
			if w.longestGap > scenario.maxGap {
				t.Fatalf("%s: %v without a holder, want at most %v", scenario.name, w.longestGap, scenario.maxGap)
			}
			if len(w.acquiredBy) != 2 {
				t.Fatalf("%s: the lease was acquired %d times, want 2", scenario.name, len(w.acquiredBy))
			}
			worst = max(worst, w.longestGap)
		})
		t.Logf("%s of the holder: at most %v without a holder, term %v, skew %v", scenario.name, worst, term, skew)
	}
}

// TestFenceRefusesOlderNumbers guards against the admission of actions of a former holder.
func TestFenceRefusesOlderNumbers(t *testing.T) {
	c := qt.New(t)
	var f lease.Fence
	f, err := f.Admit(3)
	c.Assert(err, qt.IsNil)
	f, err = f.Admit(3)
	c.Assert(err, qt.IsNil)
	_, err = f.Admit(2)
	var fenced *lease.FencedError
	c.Assert(err, qt.ErrorAs, &fenced)
	c.Assert(fenced.Highest, qt.Equals, uint64(3))
	c.Assert(f.Highest(), qt.Equals, uint64(3))
}

func FuzzParseRecord(f *testing.F) {
	f.Add(lease.Record{Holder: "balancer-1", Life: 1, Fence: 1, Renewal: 1, Term: term}.Encode())
	f.Add([]byte(`{"fence":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := lease.ParseRecord(value)
		if err != nil {
			return
		}
		again, err := lease.ParseRecord(r.Encode())
		if err != nil || again != r {
			t.Fatalf("%+v became %+v: %v", r, again, err)
		}
	})
}
