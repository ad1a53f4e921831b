package measure

import (
	"wisteriaweir/packet"
)

// simpleWindow is the number of requests in progress that strategyFirstCome allows a
// host on each target.
const simpleWindow = 2

// receiveSimple handles a packet of a caller by a simple strategy: a new flow goes to the
// target on which this host has the fewest requests, one of its own failure domain if
// there are several.
func (r *overloadRun) receiveSimple(h *overloadHost, f *overloadFlow, p packet.Packet) {
	switch {
	case p.IsOpening():
		r.forward(f, r.leastBusy(h), true, false)
	case p.Size > 0:
		r.receiveSimpleRequest(h, f)
	default:
		r.finishSimple(h, f)
	}
}

// leastBusy returns the target for a new flow.
func (r *overloadRun) leastBusy(h *overloadHost) *overloadTarget {
	var best *overloadTarget
	bestCost := 0
	for i := range r.pattern.targets {
		t := r.targets[targetID(i)]
		cost := 2 * (h.busy[t] + len(h.waiting[t]))
		if t.domain != h.domain {
			cost++
		}
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// receiveSimpleRequest sends or queues a request. Retransmissions are dropped.
func (r *overloadRun) receiveSimpleRequest(h *overloadHost, f *overloadFlow) {
	if f.request == nil || f.request == f.sent {
		return
	}
	f.sent = f.request
	if r.strategy == strategyFirstCome && h.busy[f.target] >= simpleWindow {
		h.waiting[f.target] = append(h.waiting[f.target], f)
		return
	}
	h.busy[f.target]++
	r.forward(f, f.target, false, true)
}

// finishSimple counts the request of f as finished, and sends the next one that waits.
func (r *overloadRun) finishSimple(h *overloadHost, f *overloadFlow) {
	t := f.target
	if t == nil || f.sent == nil || h.busy[t] == 0 {
		return
	}
	f.sent = nil
	h.busy[t]--
	for len(h.waiting[t]) > 0 && h.busy[t] < simpleWindow {
		next := h.waiting[t][0]
		h.waiting[t] = h.waiting[t][1:]
		if next.closed {
			continue
		}
		h.busy[t]++
		r.forward(next, t, false, true)
	}
}
