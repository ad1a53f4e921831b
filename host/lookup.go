package host

import (
	"math/rand/v2"

	"wisteriaweir/reader"
)

const (
	// lookupsPerArea is the number of hosts of this host's failure domain, and of all others,
	// that are asked for a target.
	lookupsPerArea = 2
	// maxQueuedLookups is the capacity of each queue of lookups and of replies to them.
	maxQueuedLookups = 16
)

// receivedLookup is a Lookup or a Found of another host.
type receivedLookup struct {
	from    reader.Member
	message reader.Message
}

// sendLookups passes the stamps that the core looks up to the control goroutine, which asks
// other hosts for them. It discards them if the queue is full: the next packet with one of
// them starts another lookup.
func (f *forwarder) sendLookups() {
	stamps := f.core.TakeLookups()
	if len(stamps) == 0 {
		return
	}
	f.h.counters.lookups.Add(len(stamps))
	select {
	case f.h.outgoingLookups <- stamps:
	default:
		f.h.counters.droppedMessages.Inc()
	}
}

// handleLookup replies to the Lookup of another host, or passes its Found to the core.
func (f *forwarder) handleLookup(l receivedLookup) {
	now := f.h.now()
	switch m := l.message.(type) {
	case reader.Lookup:
		found := f.core.Find(now, m.Stamps)
		if len(found) == 0 {
			return
		}
		select {
		case f.h.outgoingReplies <- reader.Send{To: l.from, Message: reader.Found{Targets: found}}:
		default:
			f.h.counters.droppedMessages.Inc()
		}
	case reader.Found:
		f.core.AddFound(now, m.Targets)
		f.applyEffects()
	}
}

// queueLookup passes a Lookup or a Found to the packet goroutine, or drops it if the queue is
// full.
func (c *control) queueLookup(m receivedMessage) {
	select {
	case c.h.receivedLookups <- receivedLookup(m):
		c.h.wakeForwarder()
	default:
		c.h.counters.droppedMessages.Inc()
	}
}

// lookUp asks some hosts of this failure domain and some of others for the targets with the
// given stamps. If the whole domain has lost power, only hosts of others know them.
func (c *control) lookUp(stamps []uint32) {
	var local, remote []reader.Member
	for _, m := range c.core.Members() {
		switch {
		case m.Name == c.h.cfg.Settings.Name:
		case m.Domain == c.h.cfg.Settings.Domain:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	for _, area := range [][]reader.Member{local, remote} {
		rand.Shuffle(len(area), func(i, j int) { area[i], area[j] = area[j], area[i] })
		for _, m := range area[:min(len(area), lookupsPerArea)] {
			c.sendMessage(reader.Send{To: m, Message: reader.Lookup{Stamps: stamps}})
		}
	}
}
