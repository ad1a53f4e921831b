package request

import "time"

// maxPendingClaimRequests is the maximum number of pending claim requests. A
// request beyond it is dropped; its sender repeats it.
const maxPendingClaimRequests = 4096

// pendingClaimRequest is a claim request that a claim holder cannot decide yet.
type pendingClaimRequest struct {
	from       Peer
	request    ClaimRequest
	receivedAt time.Duration
}

// claimRequestID identifies a claim request. Its duplicates have the same ID.
type claimRequestID struct {
	from  Peer
	nonce uint64
	set   uint64
}

// id returns the ID of the request.
func (r pendingClaimRequest) id() claimRequestID {
	return claimRequestID{from: r.from, nonce: r.request.Nonce, set: r.request.Set}
}

// pendingClaimRequests are the pending claim requests, in order of arrival.
type pendingClaimRequests struct {
	list []pendingClaimRequest
	ids  map[claimRequestID]bool
}

// add stores a request, unless it is stored already or there are
// maxPendingClaimRequests.
func (p *pendingClaimRequests) add(r pendingClaimRequest) {
	if p.ids[r.id()] || len(p.list) >= maxPendingClaimRequests {
		return
	}
	if p.ids == nil {
		p.ids = make(map[claimRequestID]bool)
	}
	p.ids[r.id()] = true
	p.list = append(p.list, r)
}

// drain returns and removes all requests.
func (p *pendingClaimRequests) drain() []pendingClaimRequest {
	list := p.list
	*p = pendingClaimRequests{}
	return list
}

// voteOnPending sends the votes on those pending claim requests that the holder
// can decide now. It drops requests of an older set, whose senders repeat them
// with the newer set, and those received more than MaxDeadline ago.
func (h *claimHolder) voteOnPending() {
	for _, r := range h.pending.drain() {
		if r.request.Set < h.set.Number || h.core.now-r.receivedAt > h.core.cfg.MaxDeadline {
			continue
		}
		v := h.vote(r.from, r.request)
		if v.Decision == VoteUnready {
			h.pending.add(r)
			continue
		}
		h.core.send(r.from, v)
	}
}
