package flow

// callerSketch is a count-min sketch of the flows of each caller: two rows of
// counters, so that its size is fixed. A count is never too low. It is too high
// only for a caller that shares a counter with another one in both rows.
type callerSketch struct {
	rows [2][]uint16
	// limit is the largest number of flows of a caller.
	limit uint16
}

// newCallerSketch returns an empty sketch with the given number of counters in each
// row, but at least minCallerCounters. The limit is that of the flows of a caller; a
// limit above maxCallerCount is lowered to it.
func newCallerSketch(counters, limit int) callerSketch {
	n := max(counters, minCallerCounters)
	return callerSketch{
		rows:  [2][]uint16{make([]uint16, n), make([]uint16, n)},
		limit: uint16(min(limit, maxCallerCount)),
	}
}

const (
	// minCallerCounters is the smallest number of counters in a row.
	minCallerCounters = 1024
	// maxCallerCount is the largest value of a counter.
	maxCallerCount = 1<<16 - 1
)

// counters returns the counters of a caller, one of each row. The caller is given as
// its Key.callerHash.
func (c *callerSketch) counters(caller uint32) (a, b *uint16) {
	n := uint64(len(c.rows[0]))
	i := uint64(caller) * n >> 32
	j := (mix(uint64(caller)) >> 32) * n >> 32
	return &c.rows[0][i], &c.rows[1][j]
}

// tryAdd counts one more flow of a caller and reports true, or reports false if the
// caller is at its limit.
func (c *callerSketch) tryAdd(caller uint32) bool {
	a, b := c.counters(caller)
	if min(*a, *b) >= c.limit {
		return false
	}
	*a = increment(*a)
	*b = increment(*b)
	return true
}

// increment returns n + 1, or n if it is the largest value of a counter.
func increment(n uint16) uint16 {
	if n == maxCallerCount {
		return n
	}
	return n + 1
}

// release subtracts one flow from the count of a caller.
func (c *callerSketch) release(caller uint32) {
	a, b := c.counters(caller)
	*a -= min(*a, 1)
	*b -= min(*b, 1)
}
