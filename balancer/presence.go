package balancer

import (
	"context"

	"wisteriaweir/flow"
	"wisteriaweir/member"
	"wisteriaweir/platform"
)

// pollHosts reads the platform's host list every hostsPollInterval. The holder
// of the domain's lease also reads it by its hostListSchedule.
func (c *control) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := c.b.platform.Hosts(ctx)
		if err != nil {
			_ = platform.Sleep(ctx, platformRetryDelay)
			continue
		}
		c.enqueueContext(ctx, func() { c.members.applyHostList(hosts) })
		_ = platform.Sleep(ctx, hostsPollInterval)
	}
}

// retryAnnounce announces this balancer to the platform as live, and retries
// until a call succeeds.
func (c *control) retryAnnounce(ctx context.Context) {
	for ctx.Err() == nil {
		if c.announce(ctx, platform.StateLive) == nil {
			return
		}
		_ = platform.Sleep(ctx, platformRetryDelay)
	}
}

// announce writes the entry of this balancer in the host list of the platform.
func (c *control) announce(ctx context.Context, state platform.State) error {
	self := c.b.self
	return c.b.platform.Announce(ctx, platform.Host{
		Name:    self.Name,
		Domain:  self.Domain,
		Control: self.Control.String(),
		Hop:     self.Hop.String(),
		Life:    self.Life,
		State:   state,
	})
}

// updateReachability passes the unreachable members and the excluded targets to
// the epoch manager.
func (c *control) updateReachability() {
	c.handleFlow(flow.ReachabilityEvent{Unreachable: c.members.unreachable, Excluded: c.targets.excluded})
}

// startLeaving announces to the members and the platform that the balancer is
// leaving, and releases its lease. The last balancer of a failure domain keeps
// the lease, since no other one could remove it from the fleet.
func (c *control) startLeaving(ctx context.Context) {
	c.enqueueContext(ctx, func() {
		c.isLeaving = true
		c.members.handle(member.Leave{})
		if c.members.othersAcceptWork() {
			c.leaseRunner.releasePermanently(ctx)
		}
	})
	go func() {
		if err := c.announce(ctx, platform.StateLeaving); err != nil {
			c.b.log.WithError(err).Warn("leaving is not announced to the platform")
		}
	}()
}

// isRemoved reports whether the fleet does not contain this process instance.
func (c *control) isRemoved() bool {
	m, ok := c.fleet.Member(c.b.self.Name)
	return !ok || m.Life != c.b.self.Life
}

// queryRemoved returns isRemoved, evaluated on the control goroutine, or false
// if ctx ends first.
func (c *control) queryRemoved(ctx context.Context) bool {
	reply := make(chan bool, 1)
	c.enqueueContext(ctx, func() { reply <- c.isRemoved() })
	select {
	case removed := <-reply:
		return removed
	case <-ctx.Done():
		return false
	}
}

// hasHandedOver reports whether the flows of this leaving balancer have been
// queued for their owners and no pin or flow remains to be sent.
func (c *control) hasHandedOver() bool {
	s := c.epochs.Status()
	return s.HandedOver && s.Waiting == 0
}
