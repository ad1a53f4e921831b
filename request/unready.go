package request

import "time"

// maxUnready bounds the asks that wait for a holder. Their owners ask again.
const maxUnready = 4096

// unreadyAsk is an ask that a holder answers once it can.
type unreadyAsk struct {
	from Peer
	ask  ClaimRequest
	at   time.Duration
}

// askID names an ask, however often it comes.
type askID struct {
	from  Peer
	nonce uint64
	set   uint64
}

func (u unreadyAsk) id() askID {
	return askID{from: u.from, nonce: u.ask.Nonce, set: u.ask.Set}
}

// unreadyAsks are the asks that wait, in the order in which they came.
type unreadyAsks struct {
	list  []unreadyAsk
	known map[askID]bool
}

// add keeps an ask, unless it is known or there are too many.
func (a *unreadyAsks) add(u unreadyAsk) {
	if a.known[u.id()] || len(a.list) >= maxUnready {
		return
	}
	if a.known == nil {
		a.known = make(map[askID]bool)
	}
	a.known[u.id()] = true
	a.list = append(a.list, u)
}

// take returns the asks and forgets them.
func (a *unreadyAsks) take() []unreadyAsk {
	list := a.list
	*a = unreadyAsks{}
	return list
}

// answerUnready votes on the asks that the holder can tell about by now. It
// drops those of an older set, whose owners ask again with the newer one, and
// those whose deadline has passed.
func (h *holder) answerUnready() {
	for _, u := range h.unready.take() {
		if u.ask.Set < h.set.Number || h.core.now-u.at > h.core.cfg.MaxDeadline {
			continue
		}
		v := h.vote(u.from, u.ask)
		if v.Decision == VoteUnready {
			h.unready.add(u)
			continue
		}
		h.core.send(u.from, v)
	}
}
