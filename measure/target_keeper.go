package measure

import (
	"time"

	"wisteriaweir/target"
)

const (
	// attemptTimeout bounds one attempt, attemptDeadline all of them.
	attemptTimeout  = 500 * time.Millisecond
	attemptDeadline = 2 * time.Second
	// awayWait is how long a request waits for its own domain before another one
	// is tried.
	awayWait = 30 * time.Millisecond
	// keeperQueue bounds the requests that wait.
	keeperQueue = 1024
)

// targetRequest is one request of a caller.
type targetRequest struct {
	at   time.Duration
	last string
}

// targetKeeper is a stand-in for the request keeper of one failure domain: a
// queue in order, own targets first, the least busy of the free ones, and among
// equals the one that got something longest ago, as in package request.
type targetKeeper struct {
	run    *targetRun
	domain string
	view   *targetView
	busy   map[string]int
	// used tells the order in which targets got something last.
	used  map[string]int
	order int
	queue []*targetRequest
	woken bool
}

func (k *targetKeeper) now() time.Duration { return k.run.tl.Now() }

func (k *targetKeeper) accept(r *targetRequest) {
	if len(k.queue) >= keeperQueue {
		k.run.lost++
		return
	}
	k.queue = append(k.queue, r)
	k.dispatch()
}

// dispatch sends what waits for as long as a slot is free.
func (k *targetKeeper) dispatch() {
	for len(k.queue) > 0 {
		r := k.queue[0]
		if k.now()-r.at >= attemptDeadline {
			k.run.lost++
			k.queue = k.queue[1:]
			continue
		}
		s, ok := k.pick(r)
		if !ok {
			k.wake()
			return
		}
		k.queue = k.queue[1:]
		k.send(r, s)
	}
}

// wake tries again soon, since the head may go to another domain by then.
func (k *targetKeeper) wake() {
	if k.woken {
		return
	}
	k.woken = true
	k.run.tl.After(awayWait/3, func() {
		k.woken = false
		k.dispatch()
	})
}

// pick returns the share of the least busy target with a free slot, own domain
// first. A target that just failed the request is taken last.
func (k *targetKeeper) pick(r *targetRequest) (target.Share, bool) {
	shares := k.view.shares()
	if s, ok := k.pickIn(shares, r, true); ok {
		return s, true
	}
	if k.now()-r.at < awayWait && shares.Capacity(true) > 0 {
		return target.Share{}, false
	}
	return k.pickIn(shares, r, false)
}

func (k *targetKeeper) pickIn(shares target.Shares, r *targetRequest, local bool) (target.Share, bool) {
	var best target.Share
	found, least := false, 0.0
	for i := range shares.Len() {
		s := shares.At(i)
		busy := k.busy[s.Target.Name]
		if s.Local != local || !s.Eligible() || busy >= s.Slots() || s.Target.Name == r.last {
			continue
		}
		used := float64(busy) / float64(s.Target.Slots*int(s.Level))
		if !found || used < least || used == least && k.used[s.Target.Name] < k.used[best.Target.Name] {
			best, found, least = s, true, used
		}
	}
	return best, found
}

// send tries a request at a target. What comes first of the reply and the time
// limit ends the attempt.
func (k *targetKeeper) send(r *targetRequest, s target.Share) {
	name, sent := s.Target.Name, k.now()
	k.busy[name]++
	k.order++
	k.used[name] = k.order
	open := true
	end := func(e target.Event) {
		if open {
			open = false
			k.ended(r, s, sent, e)
		}
	}
	server := k.run.server(name)
	k.run.deliver(k.domain, server.domain, func() {
		server.receive(func(e target.Event) {
			k.run.deliver(server.domain, k.domain, func() { end(e) })
		})
	})
	k.run.tl.After(attemptTimeout, func() { end(target.Failed{Target: name}) })
}

// ended takes the end of an attempt and frees its slot.
func (k *targetKeeper) ended(r *targetRequest, s target.Share, sent time.Duration, e target.Event) {
	name := s.Target.Name
	switch answer := e.(type) {
	case target.Answered:
		answer.Latency = k.now() - sent
		k.view.handle(k.now(), answer)
		k.run.latencies = append(k.run.latencies, k.now()-r.at)
	case target.Failed:
		k.run.failed++
		k.view.handle(k.now(), answer)
		k.again(r, name)
	case target.Shed:
		k.view.handle(k.now(), answer)
		k.again(r, name)
	}
	k.run.tl.After(s.SlotIdleTime, func() {
		k.busy[name]--
		k.dispatch()
	})
}

// again puts a request back at the head of the queue.
func (k *targetKeeper) again(r *targetRequest, failed string) {
	r.last = failed
	k.queue = append([]*targetRequest{r}, k.queue...)
}
