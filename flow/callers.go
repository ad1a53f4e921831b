package flow

// callerSketch is a count-min sketch of the flows of each caller: two rows of
// counters, so that its size is fixed. A count is never too low. It is too high
// only for a caller that shares a counter with another one in both rows.
type callerSketch struct {
	rows  [2][]uint16
	limit uint16
}

func newCallerSketch(flows, limit int) callerSketch {
	n := max(flows, minCallerCounters)
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

// counters returns the counters of a caller, one of each row.
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

// release counts one flow less of a caller.
func (c *callerSketch) release(caller uint32) {
	a, b := c.counters(caller)
	*a -= min(*a, 1)
	*b -= min(*b, 1)
}
