package member

import (
	"cmp"
	"slices"
)

// A ring has the members of one domain in the order of the hashes of their names. All
// members compute the same order.

// addToRing adds e to the ring of its domain.
func (c *Core) addToRing(e *entry) {
	ring := c.rings[e.Domain]
	i, _ := slices.BinarySearchFunc(ring, e, compareRingPositions)
	c.rings[e.Domain] = slices.Insert(ring, i, e)
}

// removeFromRing removes e from the ring of its domain.
func (c *Core) removeFromRing(e *entry) {
	ring := c.rings[e.Domain]
	if i := slices.Index(ring, e); i >= 0 {
		c.rings[e.Domain] = slices.Delete(ring, i, i+1)
	}
}

// compareRingPositions orders entries by ring position.
func compareRingPositions(a, b *entry) int {
	return cmp.Compare(a.ringPosition, b.ringPosition)
}
