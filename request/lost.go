package request

import "slices"

// handleLostPeers ends or queues again the pushed requests whose receiver is no
// longer reachable, and ends the requests whose claim owner is no longer reachable.
func (p *pool) handleLostPeers() {
	c := p.core
	for _, rec := range p.unfinished() {
		switch {
		case rec.state == statePushed && !c.isReachable(rec.push.to):
			p.handleLostPush(rec)
		case rec.state == stateOwnedElsewhere && !c.isReachable(rec.owner):
			p.finish(rec, p.unknownReply(rec, CauseOwner))
		}
	}
}

// handleLostPush queues a pushed request again whose receiver is no longer reachable.
// If the request is not repeatable, its outcome is unknown.
func (p *pool) handleLostPush(rec *record) {
	p.endPush(rec)
	if !rec.request.Repeatable {
		p.finish(rec, p.unknownReply(rec, CausePush))
		return
	}
	rec.state = stateQueued
	if !p.retry(rec) {
		p.refuse(rec)
	}
}

// unfinished returns the records that are not finished, in order of arrival.
func (p *pool) unfinished() []*record {
	var open []*record
	for _, rec := range p.records {
		if rec.state != stateFinished {
			open = append(open, rec)
		}
	}
	slices.SortFunc(open, bySeq)
	return open
}

// handOverQueue pushes the queue of a stopping balancer to the next coordinator
// of its failure domain.
func (p *pool) handOverQueue() {
	next := p.core.coordinatorOf(p.service.Name)
	if next.Peer == p.core.cfg.Self.Peer {
		return
	}
	for _, rec := range slices.Clone(p.queue) {
		if len(rec.attempts) == 0 {
			p.startPush(rec, next.Peer, nil)
		}
	}
}
