package flow

import (
	"math/bits"
	"unsafe"
)

// entry is the state of one flow in a shard. It contains no pointers, so that the
// garbage collector does not scan the table.
type entry struct {
	hash   uint64
	target TargetID
	// caller is the hash of the caller's IP address, set with flagCounted.
	caller uint32
	// activeAt is the time of the last datagram or reply, in ticks.
	activeAt uint32
	// announcedAt is the time at which the pin was last created, received, collected
	// or announced, in ticks.
	announcedAt uint32
	// repliedAt is the time of the last reply, in ticks.
	repliedAt uint32
	// unanswered is the number of datagrams since the last reply.
	unanswered uint16
	// longestUnanswered is the largest value that unanswered had when a reply arrived.
	longestUnanswered uint16
	flags             entryFlags
}

// entrySize is the size of an entry in bytes.
const entrySize = int(unsafe.Sizeof(entry{}))

// entryFlags is a set of flags of an entry.
type entryFlags uint8

const (
	// flagPinned marks a flow that deviates from the newest table.
	flagPinned entryFlags = 1 << iota
	// flagAnnounced marks a pin that is announced to all members.
	flagAnnounced
	// flagAnswered marks a flow of which this member has observed a reply.
	flagAnswered
	// flagCounted marks a flow that counts against its caller's limit: a datagram of
	// it arrived at this member while the caller was below its limit.
	flagCounted
)

func (e *entry) pin() Pin {
	return Pin{Hash: e.hash, Target: e.target}
}

// The number of slots of a table per flow that it may hold is the ratio
// slotsPerFlowNum/slotsPerFlowDen, the inverse of the highest load factor.
const (
	// slotsPerFlowNum is the numerator of the ratio.
	slotsPerFlowNum = 3
	// slotsPerFlowDen is the denominator of the ratio.
	slotsPerFlowDen = 2
)

// entryTable is an open-addressing table with linear probing and a fixed capacity.
// Hash 0 marks a free slot.
type entryTable struct {
	entries []entry
	// used is the number of entries that are not free, and limit its maximum.
	used  int
	limit int
	// expireCursor is the index of the slot at which the next Expire begins.
	expireCursor int
}

// newEntryTable returns an empty table for at most limit entries.
func newEntryTable(limit int) entryTable {
	return entryTable{entries: make([]entry, limit*slotsPerFlowNum/slotsPerFlowDen+1), limit: limit}
}

// nonZeroHash returns hash, or 1 instead of 0, which marks a free slot.
func nonZeroHash(hash uint64) uint64 {
	if hash == 0 {
		return 1
	}
	return hash
}

// firstSlot returns the index at which the probe sequence of hash begins.
func (t *entryTable) firstSlot(hash uint64) int {
	i, _ := bits.Mul64(hash, uint64(len(t.entries)))
	return int(i)
}

// next returns the index after i, wrapping around at the end.
func (t *entryTable) next(i int) int {
	if i++; i == len(t.entries) {
		return 0
	}
	return i
}

// find returns the entry of hash, or nil. The pointer is valid until the next
// change of the table.
func (t *entryTable) find(hash uint64) *entry {
	for i := t.firstSlot(hash); ; i = t.next(i) {
		e := &t.entries[i]
		if e.hash == hash {
			return e
		}
		if e.hash == 0 {
			return nil
		}
	}
}

// insert adds an entry for a hash that is not in the table and returns it, or
// returns nil if the table is full.
func (t *entryTable) insert(hash uint64) *entry {
	if t.used >= t.limit {
		return nil
	}
	i := t.firstSlot(hash)
	for t.entries[i].hash != 0 {
		i = t.next(i)
	}
	t.used++
	t.entries[i] = entry{hash: hash}
	return &t.entries[i]
}

// remove frees the slot of hash and moves back the entries whose probe sequences
// passed it.
func (t *entryTable) remove(hash uint64) {
	e := t.find(hash)
	if e == nil {
		return
	}
	free := t.firstSlot(hash)
	for t.entries[free].hash != hash {
		free = t.next(free)
	}
	t.used--
	for i := t.next(free); t.entries[i].hash != 0; i = t.next(i) {
		if t.isBetween(free, t.firstSlot(t.entries[i].hash), i) {
			continue
		}
		t.entries[free] = t.entries[i]
		free = i
	}
	t.entries[free] = entry{}
}

// isBetween reports whether start lies cyclically in (free, i]. If so, the entry at
// i must not move to free, because its probe sequence begins after free.
func (t *entryTable) isBetween(free, start, i int) bool {
	if free <= i {
		return free < start && start <= i
	}
	return free < start || start <= i
}
