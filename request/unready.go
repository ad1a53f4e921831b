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
func (u pendingClaimRequest) id() claimRequestID {
	return claimRequestID{from: u.from, nonce: u.request.Nonce, set: u.request.Set}
}

// pendingClaimRequests are the pending claim requests, in order of arrival.
type pendingClaimRequests struct {
	list []pendingClaimRequest
	ids  map[claimRequestID]bool
}

// add stores a request, unless it is stored already or there are
// maxPendingClaimRequests.
func (a *pendingClaimRequests) add(u pendingClaimRequest) {
	if a.ids[u.id()] || len(a.list) >= maxPendingClaimRequests {
		return
	}
	if a.ids == nil {
		a.ids = make(map[claimRequestID]bool)
	}
	a.ids[u.id()] = true
	a.list = append(a.list, u)
}

// drain returns and removes all requests.
func (a *pendingClaimRequests) drain() []pendingClaimRequest {
	list := a.list
	*a = pendingClaimRequests{}
	return list
}

// answerPending sends the votes on those pending claim requests that the holder
// can decide now. It drops requests of an older set, whose senders repeat them
// with the newer set, and those received more than MaxDeadline ago.
func (h *claimHolder) answerPending() {
	for _, u := range h.pending.drain() {
		if u.request.Set < h.set.Number || h.core.now-u.receivedAt > h.core.cfg.MaxDeadline {
			continue
		}
		v := h.vote(u.from, u.request)
		if v.Decision == VoteUnready {
			h.pending.add(u)
			continue
		}
		h.core.send(u.from, v)
	}
}
