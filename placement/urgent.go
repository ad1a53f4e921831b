package placement

import (
	"time"

	"wisteriaweir/catalog"
)

// urgentPerSlot is the number of urgent requests per slot of a target that a host may have
// in progress there in addition to its window. Windows are full of other requests in a burst,
// and a place becomes free only after a response: urgent requests would wait for that on each
// host. With a reserve they wait at the target, behind what it has begun.
const urgentPerSlot = 1

// updatePriorities sets the worst priority of each service to that of the routes of cat.
func (c *Core) updatePriorities(cat catalog.Catalog) {
	clear(c.worstPriorities)
	for _, r := range cat.Routes().Routes() {
		for _, s := range r.WeightedServices {
			c.worstPriorities[s.Service] = max(c.worstPriorities[s.Service], r.Priority)
		}
	}
}

// isUrgent reports whether requests of the given priority are urgent for a service: it has
// requests of a worse priority as well. Requests of one priority are not urgent among
// themselves.
func (c *Core) isUrgent(service string, priority int) bool {
	return priority < c.worstPriorities[service]
}

// urgentReserve returns the number of places beyond the window of a target that a request of the
// given priority may use. Right after the start of the host there are none: all callers
// return at once, and what the targets do is not known.
func (c *Core) urgentReserve(now time.Duration, t *Target, priority int) int {
	if !c.isUrgent(t.Service, priority) || now-c.readyAt < restartWindow {
		return 0
	}
	return t.slots() * urgentPerSlot
}

// hasUrgentRoom reports whether the best request in time that is queued for t is urgent and
// fits into the reserve beyond the window.
func (c *Core) hasUrgentRoom(now time.Duration, t *Target) bool {
	reserve := c.urgentReserve(now, t, t.queue.bestOnTimePriority())
	return reserve > 0 && t.window.hasRoom(t.busy-reserve)
}
