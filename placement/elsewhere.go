package placement

import (
	"slices"
	"time"
)

// Elsewhere is why a flow was placed in another failure domain.
type Elsewhere uint8

// Values of Elsewhere.
const (
	// NotElsewhere: the target is in the failure domain of this host.
	NotElsewhere Elsewhere = iota
	// ForLowerCost: the cost of the target is lower than those of this failure domain, the term
	// for the other domain included.
	ForLowerCost
	// ForNoTarget: this failure domain has no target that can get the flow.
	ForNoTarget
)

// elsewhere returns why a flow that was placed on t is not in the failure domain of this
// host.
func (c *Core) elsewhere(now time.Duration, t *Target) Elsewhere {
	switch {
	case t.Domain == c.cfg.Domain:
		return NotElsewhere
	case slices.ContainsFunc(c.pools[t.Service], func(o *Target) bool {
		return o.Domain == c.cfg.Domain && c.classOf(now, o, nil) == normalClass
	}):
		return ForLowerCost
	default:
		return ForNoTarget
	}
}
