package balancer

import (
	"context"
	"errors"
	"time"

	"wisteriaweir/fleet"
	"wisteriaweir/platform"
	"wisteriaweir/rollout"
)

// fleetVersion is a version of the fleet object and the number of the fleet
// state that it contains.
type fleetVersion struct {
	version uint64
	number  uint64
}

// recordVersion records a version of the fleet object that was read, unless a
// newer one is known.
func (p *proposer) recordVersion(version, number uint64) {
	if version >= p.base.version {
		p.base = fleetVersion{version: version, number: number}
	}
}

// isBaseKnown reports whether the object version of the active fleet state is
// known, so that the fleet object need not be read before an update.
func (p *proposer) isBaseKnown() bool {
	return p.base.number > 0 && p.base.number == p.c.fleet.Number
}

// mayReadFleet reports whether to read the fleet object although the rollout
// watches it: at most every proposeInterval while no fleet state is active, and
// otherwise only once the watch has lagged for maxWatchLag. If it returns true,
// it also sets the earliest time of the next read.
func (p *proposer) mayReadFleet(now time.Duration) bool {
	if !p.isWatchLagging && p.c.fleet.Number > 0 {
		p.isWatchLagging, p.nextFleetReadAt = true, now+maxWatchLag
	}
	if now < p.nextFleetReadAt {
		return false
	}
	p.isWatchLagging, p.nextFleetReadAt = false, now+proposeInterval
	return true
}

// readFleet reads the fleet object. An object that does not exist has version 0
// and an empty state.
func (p *proposer) readFleet(ctx context.Context) (fleet.Fleet, fleetVersion, error) {
	o, err := p.c.b.platform.Get(ctx, fleet.Path)
	if errors.As(err, new(*platform.NotFoundError)) {
		return fleet.Fleet{}, fleetVersion{}, nil
	}
	if err != nil {
		return fleet.Fleet{}, fleetVersion{}, err
	}
	f, err := fleet.Decode(o.Value)
	return f, fleetVersion{version: o.Version, number: f.Number}, err
}

// writeFleet replaces the given version of the fleet object.
func (p *proposer) writeFleet(ctx context.Context, version uint64, f fleet.Fleet) error {
	_, err := p.c.b.platform.Put(ctx, fleet.Path, version, f.Encode())
	return err
}

// handleWriteResult handles the result of an update of a version of the fleet
// object.
func (p *proposer) handleWriteResult(version uint64, err error) {
	p.invalidateBase(version)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		p.restartWatch(conflict.Current.Version)
	default:
		p.c.b.log.WithError(err).Warn("fleet state is not written")
	}
}

// invalidateBase marks the base as unknown after an attempt to update this
// version of the fleet object: the state that the object then contains is not
// known until it is read again.
func (p *proposer) invalidateBase(version uint64) {
	if p.base.version == version {
		p.base.number = 0
	}
}

// restartWatch restarts the watch of the fleet object if it has missed the
// given version, as its connection may have become unresponsive.
func (p *proposer) restartWatch(version uint64) {
	if version > p.c.rolloutRunner.version {
		p.c.rolloutRunner.execute(rollout.Fetch{})
	}
}
