package rollout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/ticket"
)

// maxReported bounds the laggards in a Report.
const maxReported = 4

// statusState is what the holder wrote last.
type statusState struct {
	floor   uint64
	written ticket.Status
}

// report sends the own sum up the tree, or writes the status at the root.
func (c *Core) report(now time.Duration) {
	if c.leading {
		c.write(now)
		return
	}
	if !c.tree.rooted {
		return
	}
	r := c.sum()
	changed := !r.equal(c.sent)
	if changed {
		c.repeat = repeats
	}
	if !c.due(now, changed) {
		return
	}
	if !changed && c.repeat > 0 {
		c.repeat--
	}
	c.sent, c.sentAt = r, now
	c.emit(Send{To: c.tree.parent, Message: r})
}

// due reports whether it is time for a report: soon after a change, some
// repeats in case it is lost, then seldom.
func (c *Core) due(now time.Duration, changed bool) bool {
	switch since := now - c.sentAt; {
	case changed:
		return since >= reportGap
	case c.repeat > 0:
		return since >= reportRepeat
	default:
		return since >= reportInterval
	}
}

// sum adds up this balancer and the last reports of the members below it. A
// report may be old: numbers only grow, so it can't claim too much.
func (c *Core) sum() Report {
	r := Report{
		MinActive:      c.inForce,
		MaxActive:      c.inForce,
		MaxActiveCount: 1,
		Count:          1,
		NameHashSum:    xxhash.Sum64String(c.cfg.Self.Name),
	}
	for _, m := range c.tree.children {
		if o, ok := c.reports[m.Name]; ok && o.life == m.Life {
			r = r.plus(o.report, m.Name)
		}
	}
	if c.inForce < r.MaxActive && len(r.Laggards) < maxReported {
		r.Laggards = append(r.Laggards, ticket.Laggard{Name: c.cfg.Self.Name, Number: c.inForce})
	}
	return r
}

// plus adds the report of the member called from.
func (r Report) plus(o Report, from string) Report {
	laggards := slices.Concat(r.Laggards, o.Laggards)
	if o.MaxActive > r.MaxActive {
		r.MaxActive, r.MaxActiveCount = o.MaxActive, 0
	}
	if o.MaxActive == r.MaxActive {
		r.MaxActiveCount += o.MaxActiveCount
	} else if len(o.Laggards) < maxReported {
		laggards = append(laggards, ticket.Laggard{Name: from, Number: o.MaxActive})
	}
	r.MinActive = min(r.MinActive, o.MinActive)
	r.Count += o.Count
	r.NameHashSum += o.NameHashSum
	r.Laggards = laggards[:min(len(laggards), maxReported)]
	return r
}

func (r Report) equal(o Report) bool {
	return r.MinActive == o.MinActive && r.MaxActive == o.MaxActive && r.MaxActiveCount == o.MaxActiveCount && r.Count == o.Count &&
		r.NameHashSum == o.NameHashSum && slices.Equal(r.Laggards, o.Laggards)
}

// write emits the status of the domain when it changed, and seldom otherwise.
// The floor rises only on the word of every member in the view, those that
// have nothing yet included.
func (c *Core) write(now time.Duration) {
	r := c.sum()
	if r.NameHashSum == c.tree.names && r.Count == c.tree.count {
		c.status.floor = max(c.status.floor, r.MinActive)
	}
	if c.status.floor == 0 {
		return
	}
	s := ticket.Status{
		Domain:   c.cfg.Self.Domain,
		Number:   c.status.floor,
		Members:  c.tree.count,
		Behind:   c.tree.count,
		Laggards: r.Laggards,
		Holder:   c.cfg.Self.Name,
		Fence:    c.fence,
	}
	if r.MaxActive >= c.release.Number {
		s.Behind = max(c.tree.count-r.MaxActiveCount, 0)
	}
	same := sameStatus(s, c.status.written)
	since := now - c.writtenAt
	if c.writtenAt > 0 && (since < writeInterval || same && since < writeRefresh) {
		return
	}
	c.writtenAt = now
	c.status.written = s
	c.emit(WriteStatus{Status: s})
}

func sameStatus(a, b ticket.Status) bool {
	return a.Number == b.Number && a.Members == b.Members && a.Behind == b.Behind && slices.Equal(a.Laggards, b.Laggards)
}
