package placement

// EvacuatedLoad is the load that remains on the targets of evacuated failure domains.
type EvacuatedLoad struct {
	// OpenFlows is the number of flows of this host on the targets.
	OpenFlows int
	// Requests is the number of requests of this host that are in progress on the targets
	// or queued for them.
	Requests int
}

// EvacuatedLoad returns the remaining load on the targets of each evacuated failure
// domain that has targets.
func (c *Core) EvacuatedLoad() map[string]EvacuatedLoad {
	loads := map[string]EvacuatedLoad{}
	for _, t := range c.targetsInStartOrder {
		if !t.evacuated {
			continue
		}
		l := loads[t.Domain]
		l.OpenFlows += t.openFlows
		l.Requests += t.busy + t.queue.size()
		loads[t.Domain] = l
	}
	return loads
}
