package measure

import (
	"time"

	"wisteriaweir/packet"
)

// try starts the next try of a request: on an idle flow, or on a new one.
func (r *overloadRun) try(q *overloadRequest) {
	if q.ended || q.tries == overloadTries {
		q.ended = true
		return
	}
	q.tries++
	idle := &r.idle[q.domain]
	if n := len(*idle); q.class.keepsFlows && q.tries == 1 && n > 0 {
		f := (*idle)[0]
		*idle = (*idle)[1:]
		f.request = q
		r.sendRequest(f)
		return
	}
	number := uint32(len(r.flows))
	f := &overloadFlow{
		number: number, class: q.class, request: q, seq: 1001,
		key:  packet.FlowKey{CallerIP: 0x64400000 + number>>14, CallerPort: uint16(1024 + number&0x3fff), ServiceIP: overloadServiceIP, ServicePort: q.class.port},
		host: r.hosts[q.domain+overloadDomains*r.rng.IntN(len(r.hosts)/overloadDomains)],
	}
	r.flows[number] = f
	r.open(f, 0)
}

// open sends the opening packet of f for the nth time. Callers repeat it after 200 ms and
// 600 ms.
func (r *overloadRun) open(f *overloadFlow, n uint32) {
	if f.opened || f.closed {
		return
	}
	p := packet.Packet{Flow: f.key, Flags: packet.Syn, Seq: 1000, Retransmits: n}
	r.After(callerDelay, func() { r.receive(f, p) })
	if n < 2 {
		r.After(200*time.Millisecond<<n, func() { r.open(f, n+1) })
		return
	}
	r.After(800*time.Millisecond, func() {
		if !f.opened && !f.closed {
			r.closeFlow(f)
			r.try(f.request)
		}
	})
}

// sendRequest sends the request of f, and again until there is a response.
func (r *overloadRun) sendRequest(f *overloadFlow) {
	q := f.request
	p := packet.Packet{Flow: f.key, Flags: packet.Ack, Stamp: f.stamp, Seq: f.seq, AckSeq: f.ackSeq, Size: 100}
	f.seq += 100
	var send func(wait time.Duration)
	send = func(wait time.Duration) {
		if f.request != q || f.closed {
			return
		}
		if q.ended {
			r.closeFlow(f)
			return
		}
		r.After(callerDelay, func() { r.receive(f, p) })
		r.After(wait, func() { send(min(2*wait, 1600*time.Millisecond)) })
	}
	send(200 * time.Millisecond)
}

// closeFlow ends f.
func (r *overloadRun) closeFlow(f *overloadFlow) {
	f.closed = true
	p := packet.Packet{Flow: f.key, Flags: packet.Ack | packet.Fin, Stamp: f.stamp, Seq: f.seq, AckSeq: f.ackSeq}
	r.After(callerDelay, func() { r.receive(f, p) })
}

// receiveResponse ends the request of job, or tries it again if it was refused, and
// acknowledges the response. The flow is then idle, or closed if it is not kept.
func (r *overloadRun) receiveResponse(job overloadJob, size uint32) {
	f, q := job.flow, job.request
	if f.request != q || f.closed {
		return
	}
	f.request = nil
	f.ackSeq += size
	ack := packet.Packet{Flow: f.key, Flags: packet.Ack, Stamp: f.stamp, Seq: f.seq, AckSeq: f.ackSeq}
	r.After(callerDelay, func() { r.receive(f, ack) })
	if f.class.keepsFlows && len(r.idle[q.domain]) < idleFlowsPerDomain && (r.pattern.flowEnd == 0 || r.rng.Float64() >= r.pattern.flowEnd) {
		r.idle[q.domain] = append(r.idle[q.domain], f)
	} else {
		r.closeFlow(f)
	}
	if q.ended {
		return
	}
	if size == refusalSize {
		r.try(q)
		return
	}
	q.answeredAt, q.ended = r.Now(), true
}
