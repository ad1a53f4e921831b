// Package warmup limits the opening packets that all hosts together send to a target that
// is warming up.
//
// # Usage
//
//	c := warmup.New("host-3")
//	c.SetHosts(now, hosts)
//	t := warmup.NewTarget("i-0a524fafdb", "west-a")
//	if c.Allows(now, t, limit) {
//		t.RecordOpening(now)
//		// send the opening packet
//	}
//
// Each host computes its part of the limit from the names and failure domains of the hosts
// that it knows, without messages. The hosts form two groups, those of the target's failure
// domain, which get most of the limit, and the others; see Split. Each group is ranked for
// each target by rendezvous hashing, and its limit is dealt out round-robin in this order.
// The first Room places stay free, for hosts that this host does not know. A host with a
// part of at least 1 is an owner of the target.
//
// # Guarantee
//
// In any sliding second, at most limit opening packets reach a target, if
//
//   - each host lacks at most Room of the hosts of its group that send, for longer than
//     learnTime. Hosts that are listed but gone do no harm, they only leave their parts
//     unused;
//   - a packet reaches the target at most window minus one second after the call of
//     RecordOpening;
//   - a host that starts knows the hosts that are listed by then, and the others learn of
//     it within learnTime or belong to those that lack it;
//   - the hosts apply the same limit to the target. Otherwise the largest one holds.
//
// The reason is that a host that lacks at most Room hosts takes a place that is no better
// than its place among all hosts of its group that send, and deals out the limit to at least
// as many places as there are such hosts. settleTime covers the changes of lists: a host uses
// the smallest of the parts that its lists of the last settleTime give it, and sends nothing
// before it has had a list for settleTime. All hosts that send within a second have thus held
// their parts at one common moment.
//
// A Core has no input or output, no clock and no goroutine. It is not safe for concurrent
// use. The parameter now of its methods is the time since the start of the process.
package warmup

import (
	"slices"
	"time"
)

const (
	// window is the time in which a host sends at most its part. It is one second plus 50 ms
	// for the network plus 50 ms from RecordOpening until the packet is sent, on a host that
	// has to wait for the CPU.
	window = 1100 * time.Millisecond
	// learnTime is the time within which the hosts learn of one that has started. A Hello
	// takes up to 50 ms, and the list reaches the goroutine that asks for permits at most
	// 100 ms later; the rest is for hosts that have to wait for the CPU.
	learnTime = 300 * time.Millisecond
	// settleTime is the time for which a host must have been an owner of a target before it
	// sends to it. The part that a former owner may have used has left the window by then.
	settleTime = window + learnTime
)

// Host is a host as the others know it.
type Host struct {
	// Name is the name of the host.
	Name string
	// Domain is the failure domain of the host.
	Domain string
}

// hostList is a list of hosts that this host has used.
type hostList struct {
	hosts []rankedHost
	// replacedAt is when a later list replaced this one. It is not set in the current list.
	replacedAt time.Duration
}

// Core holds the lists of hosts from which this host's parts are computed.
type Core struct {
	self string
	// lists are the lists that were current within settleTime, the current one last.
	lists []hostList
	// firstListAt is when the first list was set.
	firstListAt time.Duration
	// version changes whenever lists changes. It is 0 without a list.
	version uint64
}

// New returns a core for the host with the given name. It allows nothing before SetHosts
// is called.
func New(self string) *Core {
	return &Core{self: self}
}

// SetHosts sets the hosts that this host knows, itself included. A list that is equal to
// the current one changes nothing.
func (c *Core) SetHosts(now time.Duration, hosts []Host) {
	ranked := rankedHosts(hosts)
	if n := len(c.lists); n == 0 {
		c.firstListAt = now
	} else {
		if slices.Equal(c.lists[n-1].hosts, ranked) {
			return
		}
		c.lists[n-1].replacedAt = now
	}
	c.lists = append(c.lists, hostList{hosts: ranked})
	c.version++
}

// Part returns the number of opening packets that this host may send to a target within
// window. limit is the number that all hosts together may send in a second.
func (c *Core) Part(now time.Duration, t *Target, limit int) int {
	if len(c.lists) == 0 || now-c.firstListAt < settleTime {
		return 0
	}
	c.expireLists(now)
	if t.partVersion == c.version && t.partLimit == limit {
		return t.part
	}
	part := limit
	for _, l := range c.lists {
		part = min(part, partOf(l.hosts, c.self, t, limit))
	}
	t.part, t.partVersion, t.partLimit = part, c.version, limit
	return part
}

// Allows reports whether this host may send one more opening packet to a target now.
func (c *Core) Allows(now time.Duration, t *Target, limit int) bool {
	return t.Used(now) < c.Part(now, t, limit)
}

// expireLists removes the lists that were replaced at least settleTime ago.
func (c *Core) expireLists(now time.Duration) {
	n := 0
	for n < len(c.lists)-1 && now-c.lists[n].replacedAt >= settleTime {
		n++
	}
	if n > 0 {
		c.lists = slices.Delete(c.lists, 0, n)
		c.version++
	}
}
