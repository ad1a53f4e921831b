package flow

import "time"

// tick lets time pass: credit for batches, and the time until which this
// member may open flows by itself.
func (g *EpochManager) tick(now time.Duration) {
	gap := now - g.lastTick
	g.lastTick = now
	rate := float64(g.cfg.BytesPerSecond)
	g.credit = min(g.credit+rate*gap.Seconds(), max(rate*burstTime.Seconds(), maxBatchSize))
	if gap > MaxTickGap && g.fresh > 0 {
		g.sleepOver()
	}
	g.wake(now)
	if g.awake {
		g.fresh = now + MaxTickGap
	}
	if now-g.lastPublish >= publishEvery {
		g.publish(now)
	}
}

// sleepOver is called after a pause: this member has to hear from the others
// that it missed no epoch.
func (g *EpochManager) sleepOver() {
	g.awake = false
	for _, p := range g.peers {
		p.greeted, p.helloAt = false, 0
	}
}

// wake ends the time after a pause once every member that can be reached has
// shown that its newest epoch is not newer.
func (g *EpochManager) wake(now time.Duration) {
	if g.awake || len(g.live) == 0 {
		return
	}
	for _, n := range g.names {
		p := g.peers[n]
		if p.member.State == Active && !p.greeted && !g.unreachable[n] {
			return
		}
	}
	g.awake = true
	g.fresh = now + MaxTickGap
	g.publish(now)
}

// send sends what is due within the budget, to one member after the other.
func (g *EpochManager) send(now time.Duration) {
	if g.newest().member(g.cfg.Self) < 0 {
		return
	}
	for range g.names {
		if g.credit < maxBatchSize {
			return
		}
		g.turn = (g.turn + 1) % len(g.names)
		n := g.names[g.turn]
		if !g.unreachable[n] {
			g.sendTo(now, n, g.peers[n])
		}
	}
}

func (g *EpochManager) sendTo(now time.Duration, name string, p *peer) {
	hello := !g.awake && !p.greeted && (p.helloAt == 0 || now-p.helloAt >= helloEvery)
	due := p.due(now)
	if !due && !hello && !p.owesAck {
		return
	}
	var b Batch
	if due {
		if p.waiting.Seq == 0 {
			p.take()
		}
		b = p.waiting
		p.sentAt = now
	}
	if hello {
		b.Hello = true
		p.helloAt = now
	}
	p.owesAck = false
	b.From, b.Life, b.NewestEpoch = g.cfg.Self, g.cfg.Life, g.newest().number
	b.AckSession, b.Ack = p.heardSession, p.heard
	size := b.Size()
	g.credit -= float64(size)
	g.sent += uint64(size)
	g.emit(Send{To: name, Batch: b})
}
