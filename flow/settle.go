package flow

import (
	"cmp"
	"slices"
	"time"
)

// take handles what the shards hold that deviates from the newest epoch.
func (g *EpochManager) take(e CollectedEvent) {
	if len(g.live) == 0 {
		return
	}
	slices.SortFunc(e.Flows, func(a, b CollectedFlow) int {
		return cmp.Or(cmp.Compare(a.Pin.Target, b.Pin.Target), cmp.Compare(a.Pin.Hash, b.Pin.Hash))
	})
	newcomers := g.newcomers()
	for _, f := range e.Flows {
		switch {
		case f.Owner == g.cfg.Self && f.IsAnnounced && e.Step == StepAnnounced:
			g.tell(newcomers, f.Pin)
		case f.Owner == g.cfg.Self && !f.IsAnnounced:
			g.tell(g.names, f.Pin)
		case f.Owner != g.cfg.Self && !f.IsAnnounced && e.Step == StepAnnounced:
			g.owe(f)
		}
	}
	if e.Epoch == g.newest().number {
		g.collected = e.Step
	}
}

// newcomers returns the members to which nothing was told before.
func (g *EpochManager) newcomers() []string {
	var out []string
	for _, n := range g.names {
		if g.peers[n].marked[StepAnnounced] == 0 {
			out = append(out, n)
		}
	}
	return out
}

func (g *EpochManager) owe(f CollectedFlow) {
	if g.owed[f.Owner] == nil {
		g.owed[f.Owner] = make(map[uint64]TargetID)
	}
	g.owed[f.Owner][f.Pin.Hash] = f.Pin.Target
}

func (g *EpochManager) tell(names []string, pin Pin) {
	for _, n := range names {
		g.peers[n].tell(pin)
	}
}

func (g *EpochManager) tellAll(pins []Pin) {
	for _, pin := range pins {
		g.tell(g.names, pin)
	}
}

func (g *EpochManager) markAll(step Step) {
	for _, n := range g.names {
		g.peers[n].mark(EpochProgress{Epoch: g.newest().number, Step: step})
	}
}

// advance takes each step of the newest epoch for which everything is there.
func (g *EpochManager) advance(now time.Duration) {
	if g.collected >= StepAnnounced {
		if g.isHome() {
			g.markAll(StepAnnounced)
		}
		g.payOwed()
	}
	g.decideNewest(now)
	if g.collected == StepActivated {
		g.markAll(StepActivated)
	}
	g.retire(now)
	g.applyPending(now)
	g.leave(now)
}

// leave has a leaving member hand over its flows, once the fabric has had the
// time to stop.
func (g *EpochManager) leave(now time.Duration) {
	i := g.newest().member(g.cfg.Self)
	if i < 0 || g.newest().members[i].State != Leaving {
		g.leaving, g.held = 0, false
		return
	}
	if g.leaving == 0 {
		g.leaving = now
	}
	if g.leaving < 0 || now-g.leaving < handoverLag || len(g.live) > 1 {
		return
	}
	g.leaving = -1
	g.emit(CollectHandover{})
}

// handOver queues the flows of this member for their homes.
func (g *EpochManager) handOver(found []CollectedFlow) {
	slices.SortFunc(found, func(a, b CollectedFlow) int {
		return cmp.Or(cmp.Compare(a.Pin.Target, b.Pin.Target), cmp.Compare(a.Pin.Hash, b.Pin.Hash))
	})
	for _, f := range found {
		if p := g.peers[f.Owner]; p != nil {
			p.known = append(p.known, f.Pin)
		}
	}
	g.held = true
}

// payOwed tells each home that has told its own pins what it did not know.
func (g *EpochManager) payOwed() {
	number := g.newest().number
	homes := g.homes()
	for _, n := range g.names {
		p := g.peers[n]
		if p.marked[StepReported] >= number {
			continue
		}
		if slices.Contains(homes, n) && p.marks[StepAnnounced] != number {
			continue
		}
		for _, pin := range sortedPins(g.owed[n]) {
			p.pay(pin)
		}
		delete(g.owed, n)
		p.mark(EpochProgress{Epoch: number, Step: StepReported})
	}
}

func sortedPins(m map[uint64]TargetID) []Pin {
	out := make([]Pin, 0, len(m))
	for h, t := range m {
		out = append(out, Pin{Hash: h, Target: t})
	}
	slices.SortFunc(out, func(a, b Pin) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Hash, b.Hash))
	})
	return out
}

// decideNewest begins to open flows by the newest epoch once every other
// member has told what it knew.
func (g *EpochManager) decideNewest(now time.Duration) {
	number := g.newest().number
	if g.decide == number && g.asked == StepActivated || g.collected < StepAnnounced || !g.isHome() {
		return
	}
	for _, n := range g.names {
		p := g.peers[n]
		if p.member.State != Joining && p.marks[StepReported] != number {
			return
		}
	}
	g.decide, g.asked = number, StepActivated
	g.publish(now)
	g.emit(Collect{Epoch: number, Step: StepActivated})
}

// retire drops the older epochs once every home opens flows by the newest.
func (g *EpochManager) retire(now time.Duration) {
	number := g.newest().number
	moved := false
	for _, n := range g.homes() {
		if n == g.cfg.Self {
			continue
		}
		decided := g.peers[n].marks[StepActivated]
		if decided <= g.floors[n] || decided > number {
			continue
		}
		moved = true
		g.floors[n] = decided
	}
	if g.retirePart(now) {
		return
	}
	if g.settled() && (len(g.live) > 1 || !g.synced) {
		g.setLive(g.live[len(g.live)-1:])
		g.synced = true
		moved = true
	}
	if moved {
		g.publish(now)
	}
}

// retirePart drops epochs before one that every home has decided by, although
// newer ones have come since: the members of the old ones are no longer those
// that the others ask. What this member owes goes to the present homes, and as one
// of them it tells those that have joined since what the homes before did not.
func (g *EpochManager) retirePart(now time.Duration) bool {
	lowest := g.newest().number
	if g.isHome() {
		lowest = g.decide
	}
	for _, n := range g.homes() {
		if n != g.cfg.Self {
			lowest = min(lowest, g.floors[n])
		}
	}
	k := g.index(lowest)
	if k == 0 || k == len(g.live)-1 {
		return false
	}
	number := g.newest().number
	for n, p := range g.peers {
		p.marked[StepReported] = min(p.marked[StepReported], number-1)
		if g.joinedSince(n) {
			p.marked[StepAnnounced] = 0
		}
	}
	g.setLive(g.live[k:])
	g.collected, g.asked = 0, StepAnnounced
	g.owed = make(map[string]map[uint64]TargetID)
	g.publish(now)
	g.emit(Collect{Epoch: number, Step: StepAnnounced})
	return true
}

// joinedSince reports whether a member is new since the oldest live epoch.
func (g *EpochManager) joinedSince(name string) bool {
	i := g.live[0].member(name)
	return i < 0 || g.gone[i]
}

// settled reports whether every home opens flows by the newest epoch.
func (g *EpochManager) settled() bool {
	number := g.newest().number
	for _, n := range g.homes() {
		if n != g.cfg.Self && g.floors[n] != number {
			return false
		}
	}
	return !g.isHome() || g.collected == StepActivated
}

// receive takes a batch of another member.
func (g *EpochManager) receive(now time.Duration, b Batch) {
	p := g.peers[b.From]
	if p == nil || p.member.Life != b.Life {
		return
	}
	p.acked(b.AckSession, b.Ack)
	p.ahead(now, len(g.live) > 0 && b.NewestEpoch > g.newest().number)
	if len(g.live) > 0 && b.NewestEpoch <= g.newest().number {
		p.greeted = true
	}
	p.owesAck = p.owesAck || b.Hello || b.Seq != 0
	if b.Seq == 0 || !p.accept(b) {
		return
	}
	for _, m := range b.Progress {
		if m.Step >= StepAnnounced && m.Step <= StepActivated {
			p.marks[m.Step] = max(p.marks[m.Step], m.Epoch)
		}
	}
	if len(b.HandoverFlows) > 0 {
		g.emit(LearnHandover{Flows: b.HandoverFlows})
	}
	g.learn(p, b)
	g.wake(now)
}

// learn takes the pins of a batch: those of a home are final, those that this
// member is owed as their home are passed on. As long as this member has not come
// to the epoch in which it is their home, they stay owed.
func (g *EpochManager) learn(from *peer, b Batch) {
	if len(b.Pins) == 0 || len(g.live) == 0 {
		return
	}
	var told, owed []Pin
	skip := g.skip()
	for i, pin := range b.Pins {
		delete(g.owed[from.member.Name], pin.Hash)
		home := g.homeOf(pin.Hash, skip) == g.cfg.Self
		if home {
			g.relay(from, pin)
		}
		if home || i < len(b.Pins)-b.UnannouncedCount {
			told = append(told, pin)
		} else {
			owed = append(owed, pin)
		}
	}
	if len(told) > 0 {
		g.emit(Learn{Pins: told})
	}
	if len(owed) > 0 {
		g.emit(LearnUnannounced{Pins: owed})
	}
}

// relay passes on a pin of which this member is the home.
func (g *EpochManager) relay(from *peer, pin Pin) {
	if g.relayed[pin.Hash] {
		return
	}
	g.relayed[pin.Hash] = true
	for _, n := range g.names {
		if n != from.member.Name {
			g.peers[n].tell(pin)
		}
	}
}

// homeOf returns the name of the member that decides on a flow.
func (g *EpochManager) homeOf(hash uint64, skip []bool) string {
	old := g.live[0]
	if i := old.home(hash, skip); i >= 0 {
		return old.members[i].Name
	}
	return ""
}
