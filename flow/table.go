package flow

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// ShareUnit is the normal share of a target of weight 1.
const ShareUnit = 1024

// Share is one eligible target of a table and its fraction of the new flows.
type Share struct {
	Target TargetID
	// Base is the share without adjustments, in the unit of Share.
	Base int
	// Current is relative to the other shares of the table, in 1/ShareUnit of a
	// weight of 1. A target with a share of 0 gets no new flow.
	Current int
}

// Table maps flow hashes to targets. It is immutable and depends only on the
// shares from which it was built.
type Table struct {
	targets []TargetID
	slots   []uint16
	// closed reports which targets get no new flows and therefore have no slots.
	closed []bool
}

const (
	// minSlots is the smallest number of slots of a table.
	minSlots = 65537
	// slotsPerTarget is the smallest number of slots per target.
	slotsPerTarget = 100
	// maxTargets is the largest number of targets of a table. The slots of the largest
	// table suffice for slotsPerTarget of each, and their indices fit into 16 bits.
	maxTargets = 40000
)

// slotCounts are the possible numbers of slots, all of them primes.
var slotCounts = []int{minSlots, 262147, 1048583, 4194319}

// Lookup returns the target of a flow hash, and false when the table is empty.
func (t *Table) Lookup(hash uint64) (TargetID, bool) {
	if t == nil || len(t.targets) == 0 {
		return 0, false
	}
	i, _ := bits.Mul64(hash, uint64(len(t.slots)))
	return t.targets[t.slots[i]], true
}

// acceptsNew reports whether the target with index i gets new flows.
func (t *Table) acceptsNew(i int) bool {
	return !t.closed[i]
}

// Targets returns the targets that get new flows, sorted by identifier.
func (t *Table) Targets() []TargetID {
	var out []TargetID
	for i, id := range t.targets {
		if t.acceptsNew(i) {
			out = append(out, id)
		}
	}
	return out
}

// Size returns the memory of the table's targets and slots, in bytes.
func (t *Table) Size() int {
	return 8*len(t.targets) + 2*len(t.slots)
}

// NewTable builds the table of a service: a Maglev table of the base shares in which
// slots move from targets above their current share to targets below it. A change of
// Share alone moves only the slots that it has to move.
func NewTable(shares []Share) *Table {
	base := slices.Clone(shares)
	for i := range base {
		base[i].Current = base[i].Base
	}
	t := NewMaglevTable(base)
	base = eligible(base)
	current := make(map[TargetID]int, len(shares))
	for _, s := range shares {
		current[s.Target] = s.Current
	}
	ratios := make([]int, len(base))
	for i, b := range base {
		ratios[i] = max(current[b.Target], 0) * ShareUnit / b.Base
		t.closed[i] = ratios[i] == 0
	}
	return t.adjust(ratios)
}

// adjust moves slots until each target has its number of slots by ratios, which are
// relative to its number of slots now, in 1/ShareUnit. The order in which a target
// loses slots does not depend on the other targets.
func (t *Table) adjust(ratios []int) *Table {
	surplus, ok := t.surplus(ratios)
	if !ok {
		return &Table{}
	}
	nextTarget := 0
	slot := 0
	for range t.slots {
		slot = (slot + adjustStep) % len(t.slots)
		target := t.slots[slot]
		if surplus[target] <= 0 {
			continue
		}
		to, ok := chooseReceiver(surplus, slot, &nextTarget)
		if !ok {
			break
		}
		surplus[target]--
		surplus[to]++
		t.slots[slot] = uint16(to)
	}
	return t
}

// adjustStep is the distance between two visited slots. It is coprime to each slot
// count, so that every slot is visited.
const adjustStep = 40503

// surplus returns by how many slots each target is above its wanted number, and
// false if no target gets new flows. The wanted numbers are proportional to the
// number of slots that a target has now, times its ratio.
func (t *Table) surplus(ratios []int) ([]int, bool) {
	out := make([]int, len(ratios))
	for _, target := range t.slots {
		out[target]++
	}
	total := 0
	for i, n := range out {
		total += n * ratios[i]
	}
	if total == 0 {
		return nil, false
	}
	sum, assigned := 0, 0
	for i, n := range out {
		sum += n * ratios[i]
		end := int(int64(sum) * int64(len(t.slots)) / int64(total))
		out[i] -= end - assigned
		assigned = end
	}
	return out, true
}

// maxReceiverAttempts is the number of pseudo-random attempts to choose the target that
// receives a slot.
const maxReceiverAttempts = 8

// chooseReceiver chooses a target below its wanted number of slots for a slot. It first
// makes pseudo-random attempts that are seeded with the slot, so that the choice is
// stable, and then chooses the first such target in order, beginning at *nextTarget.
func chooseReceiver(surplus []int, slot int, nextTarget *int) (int, bool) {
	h := uint64(slot)
	for range maxReceiverAttempts {
		h = mix(h)
		if i := int(h % uint64(len(surplus))); surplus[i] < 0 {
			return i, true
		}
	}
	for *nextTarget < len(surplus) {
		if surplus[*nextTarget] < 0 {
			return *nextTarget, true
		}
		*nextTarget++
	}
	return 0, false
}

// NewMaglevTable builds a table by Maglev hashing: the targets claim slots in turn,
// each in the order of its own permutation and as often as its share requires.
func NewMaglevTable(shares []Share) *Table {
	shares = eligible(shares)
	t := newTable(shares)
	if len(shares) == 0 {
		return t
	}
	m := uint64(len(t.slots))
	isTaken := make([]bool, m)
	cursors := make([]maglevCursor, len(shares))
	largest := 0
	for i, s := range shares {
		h := mix(uint64(s.Target))
		cursors[i] = maglevCursor{slot: h % m, step: mix(h)%(m-1) + 1}
		largest = max(largest, s.Current)
	}
	for remaining := len(t.slots); ; {
		for i := range cursors {
			c := &cursors[i]
			c.credit += shares[i].Current
			if c.credit < largest {
				continue
			}
			c.credit -= largest
			for isTaken[c.slot] {
				c.advance(m)
			}
			isTaken[c.slot] = true
			t.slots[c.slot] = uint16(i)
			if remaining--; remaining == 0 {
				return t
			}
		}
	}
}

// maglevCursor is a position in the slot permutation of one target.
type maglevCursor struct {
	slot uint64
	// step is the distance from one slot of the permutation to the next.
	step uint64
	// credit grows by the target's share in each turn. The target claims a slot when
	// credit is at least the largest share, which is then subtracted.
	credit int
}

// advance moves to the next of m slots in the permutation.
func (c *maglevCursor) advance(m uint64) {
	c.slot += c.step
	if c.slot >= m {
		c.slot -= m
	}
}

// NewRendezvousTable builds a table by weighted rendezvous hashing: each slot goes to
// the target with the lowest cost for it, in relation to its share.
func NewRendezvousTable(shares []Share) *Table {
	shares = eligible(shares)
	t := newTable(shares)
	if len(shares) == 0 {
		return t
	}
	seeds := make([]uint64, len(shares))
	inverseShares := make([]float64, len(shares))
	for i, s := range shares {
		seeds[i] = mix(uint64(s.Target))
		inverseShares[i] = 1 / float64(s.Current)
	}
	for slot := range t.slots {
		best := math.Inf(1)
		for i, seed := range seeds {
			if c := cost(mix(seed^uint64(slot))) * inverseShares[i]; c < best {
				best = c
				t.slots[slot] = uint16(i)
			}
		}
	}
	return t
}

// cost maps a hash to an exponentially distributed number with a mean of 1.
func cost(hash uint64) float64 {
	return -math.Log((float64(hash>>11) + 0.5) / (1 << 53))
}

// eligible returns the shares above 0, sorted by target. It drops those beyond
// maxTargets; Epoch.OmittedTargets counts them.
func eligible(shares []Share) []Share {
	out := slices.DeleteFunc(slices.Clone(shares), func(s Share) bool { return s.Current <= 0 })
	slices.SortFunc(out, func(a, b Share) int { return cmp.Compare(a.Target, b.Target) })
	return out[:min(len(out), maxTargets)]
}

// newTable returns a table with the targets of shares and with the smallest of the
// slotCounts that has slotsPerTarget slots for each. Every slot contains the index 0.
func newTable(shares []Share) *Table {
	t := &Table{targets: make([]TargetID, len(shares)), closed: make([]bool, len(shares))}
	for i, s := range shares {
		t.targets[i] = s.Target
	}
	minSlotCount := slotsPerTarget * len(shares)
	i := slices.IndexFunc(slotCounts, func(n int) bool { return n >= minSlotCount })
	t.slots = make([]uint16, slotCounts[i])
	return t
}
