package reader

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxStoreAge plus one heartbeat interval is the age of the store's last response
	// from which a host no longer counts as a reader. The store may hold a watch for
	// most of maxStoreAge.
	maxStoreAge = 1600 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after
	// which a host no longer counts as a reader.
	maxMissedHeartbeats = 3
	// takeoverDelayNoReader is how long a host waits before it becomes a reader if the
	// group has no reader.
	takeoverDelayNoReader = 100 * time.Millisecond
	// takeoverDelayFewReaders is how long a host waits before it becomes a reader if the
	// group has readers, but fewer than wantedReaders.
	takeoverDelayFewReaders = 1500 * time.Millisecond
	// takeoverDelayPerRank is added to takeoverDelayNoReader or takeoverDelayFewReaders
	// for each higher-ranked host that does not read, if there are enough of them to
	// replace the missing readers. The highest-ranked hosts thus become readers first.
	takeoverDelayPerRank = 100 * time.Millisecond
	// maxBehind is how long a host in a group of up to maxHostsAtMinInterval hosts may lack an
	// update that another host has, before it reads the store itself. In larger groups, it is
	// longer in proportion to the size, as readers need longer to send an update to all.
	maxBehind = time.Second
	// maxTryingHosts is the number of hosts of a group that try to read the store although none
	// gets a response, at first. If the store refuses a part of the hosts, it is unlikely that
	// it refuses all of these; if it is down, further hosts would only add calls.
	maxTryingHosts = 12
	// tryingHostInterval is the time without a reader after which one more host may try.
	tryingHostInterval = 500 * time.Millisecond
	// maxSmallUpdate is the number of routes and targets up to which an update is small: about
	// four datagrams, so that it costs little to send it twice.
	maxSmallUpdate = 80
	// takeoverTimeout is the time within which a host that has become a reader is expected to
	// report a response of the store. After it, lower-ranked hosts no longer wait for it.
	takeoverTimeout = 250 * time.Millisecond
	// resignDelay is how long there must have been enough higher-ranked readers before
	// this host stops reading.
	resignDelay = 3 * time.Second
)

// updateGroup sets the group, ranked in the order in which hosts become readers, and
// the domain peers.
func (c *Core) updateGroup() {
	singleGroup := len(c.peers)+1 <= maxSingleGroupHosts
	members := []Member{c.cfg.Self}
	c.domainPeers = nil
	for _, p := range c.peers {
		sameDomain := p.Domain == c.cfg.Self.Domain
		if singleGroup || sameDomain {
			members = append(members, p.Member)
		}
		if sameDomain {
			c.domainPeers = append(c.domainPeers, p.Member)
		}
	}
	c.group = rank(members)
	c.membersVersion++
}

// GroupPeers returns the other hosts that share readers with this one, in the order
// in which they become readers.
func (c *Core) GroupPeers() []Member {
	return slices.DeleteFunc(slices.Clone(c.group), func(m Member) bool { return m.Name == c.cfg.Self.Name })
}

// maxReaderStoreAge returns the age of the store's last response from which a host no
// longer counts as a reader.
func (c *Core) maxReaderStoreAge() time.Duration {
	return maxStoreAge + c.heartbeatInterval()
}

// isFreshReader reports whether a peer is a reader that still sends heartbeats and
// still receives responses from the store.
func (c *Core) isFreshReader(now time.Duration, p *peer) bool {
	heartbeatAge := now - p.lastHeartbeatAt
	return p.hasHeartbeat && p.heartbeat.IsReading && c.isComparableHeartbeat(p.heartbeat) && heartbeatAge < maxMissedHeartbeats*c.heartbeatInterval() && p.heartbeat.StoreAge+heartbeatAge < c.maxReaderStoreAge()
}

// updateReading starts or stops reading, if either is due. If the group has no reader
// and fewer than wantedReaders higher-ranked hosts, this host starts at once.
func (c *Core) updateReading(now time.Duration) {
	higherRanked, otherReaders, nonReading := c.countReaders(now)
	if c.reading {
		c.resignIfSurplus(now, higherRanked)
		return
	}
	if c.isBehindTooLong(now) {
		c.startReading(now)
		c.catchingUp = true
		return
	}
	if otherReaders >= wantedReaders {
		c.tooFewReadersSince = 0
		return
	}
	if c.tooFewReadersSince == 0 {
		c.tooFewReadersSince = now
	}
	if otherReaders == 0 && c.isTriedByEnough(now) {
		return
	}
	delay := takeoverDelayFewReaders
	if otherReaders == 0 {
		delay = takeoverDelayNoReader
	}
	if nonReading >= wantedReaders-otherReaders {
		delay += time.Duration(nonReading) * takeoverDelayPerRank
	} else if otherReaders == 0 {
		delay = 0
	}
	if now-c.tooFewReadersSince >= delay {
		c.startReading(now)
	}
}

// isTriedByEnough reports whether so many hosts try to read the store in vain that one more
// would not help. The limit rises as long as that lasts. Hosts that decide at the same time may
// exceed it by a few.
func (c *Core) isTriedByEnough(now time.Duration) bool {
	trying := 0
	for _, m := range c.group {
		p := c.peers[m.Name]
		if p != nil && p.readingSince != 0 && now-p.lastHeartbeatAt < maxMissedHeartbeats*c.heartbeatInterval() {
			trying++
		}
	}
	return trying >= maxTryingHosts+int((now-c.tooFewReadersSince)/tryingHostInterval)
}

// startReading makes this host a reader and reports it to the group.
func (c *Core) startReading(now time.Duration) {
	c.reading = true
	c.tooFewReadersSince, c.surplusReadersSince, c.behindSince = 0, 0, 0
	c.lastHeartbeatSentAt = now
	c.broadcast(c.ownHeartbeat(now))
}

// isBehindTooLong reports whether another host has had newer content than the catalog for
// too long, although this host requests it: messages are lost.
func (c *Core) isBehindTooLong(now time.Duration) bool {
	if !c.isBehind(now) {
		c.behindSince = 0
		return false
	}
	if c.behindSince == 0 {
		c.behindSince = now
	}
	limit := maxBehind * time.Duration(max(maxHostsAtMinInterval, len(c.group))) / maxHostsAtMinInterval
	return now-c.behindSince >= limit
}

// isBehind reports whether a recent heartbeat of another host has newer content than the
// catalog.
func (c *Core) isBehind(now time.Duration) bool {
	own := c.ownPositions()
	for _, m := range c.group {
		p := c.peers[m.Name]
		if p == nil || !p.hasHeartbeat || now-p.lastHeartbeatAt >= maxMissedHeartbeats*c.heartbeatInterval() || !c.isComparableHeartbeat(p.heartbeat) {
			continue
		}
		if isNewer(p.heartbeat.Positions, own) {
			return true
		}
	}
	return false
}

// mustSend reports whether this host has to send a change of the store to the group. It leaves
// that to higher-ranked readers if there are enough: after an outage of the store, many hosts
// read for some seconds. A large change is left to a single one, as hosts that lack it request
// it after the next heartbeat of any reader. A host that reads to catch up leaves a change to
// the host that has reported it already: in a large fleet, many may be catching up at once.
func (c *Core) mustSend(now time.Duration, u Update) bool {
	if !c.reading || c.catchingUp && c.isReported(u) {
		return false
	}
	higherRanked, _, _ := c.countReaders(now)
	if u.changeCount() > maxSmallUpdate {
		return higherRanked == 0
	}
	return higherRanked < wantedReaders
}

// changeCount returns the number of routes and targets in an update.
func (u Update) changeCount() int {
	n := len(u.Targets) + len(u.Changes)
	if u.Routes != nil {
		n += u.Routes.Size()
	}
	if u.RouteChanges != nil {
		n += len(u.RouteChanges.Updated) + len(u.RouteChanges.Removed)
	}
	return n
}

// isReported reports whether a heartbeat of another host has shown the content of u.
func (c *Core) isReported(u Update) bool {
	for _, p := range c.peers {
		reported := p.heartbeat.Targets
		if u.Routes != nil || u.RouteChanges != nil {
			reported = p.heartbeat.Routes
		}
		if p.hasHeartbeat && !u.Position.After(reported) {
			return true
		}
	}
	return false
}

// resignIfSurplus stops reading if there have been enough higher-ranked readers for
// resignDelay.
func (c *Core) resignIfSurplus(now time.Duration, higherRanked int) {
	if higherRanked < wantedReaders {
		c.surplusReadersSince = 0
		return
	}
	if c.surplusReadersSince == 0 {
		c.surplusReadersSince = now
	}
	if now-c.surplusReadersSince < resignDelay {
		return
	}
	c.reading, c.catchingUp = false, false
	c.surplusReadersSince = 0
	c.broadcast(c.ownHeartbeat(now))
}

// countReaders returns the number of fresh readers that are ranked higher than this
// host, of all fresh readers but this host, and of higher-ranked hosts that are not
// fresh readers but may become so.
func (c *Core) countReaders(now time.Duration) (higherRanked, otherReaders, nonReading int) {
	isHigherRanked := true
	for _, m := range c.group {
		if m.Name == c.cfg.Self.Name {
			isHigherRanked = false
			continue
		}
		p := c.peers[m.Name]
		isReader := c.isFreshReader(now, p)
		switch {
		case isReader && isHigherRanked:
			higherRanked++
			otherReaders++
		case isReader:
			otherReaders++
		case isHigherRanked && !c.cannotTakeOver(now, p):
			nonReading++
		}
	}
	return higherRanked, otherReaders, nonReading
}

// cannotTakeOver reports whether it is known that a peer which is no fresh reader will not
// become one soon: it has been reading for takeoverTimeout without a response of the store,
// or its messages have stopped.
func (c *Core) cannotTakeOver(now time.Duration, p *peer) bool {
	if p.readingSince != 0 && now-p.readingSince >= takeoverTimeout {
		return true
	}
	return p.hasHeartbeat && p.heartbeat.IsReading && now-p.lastHeartbeatAt >= maxMissedHeartbeats*c.heartbeatInterval()
}

// LastConfirmed returns when the store last responded to this host or to a reader
// whose heartbeat this host has received, and whether it ever did.
func (c *Core) LastConfirmed() (time.Duration, bool) {
	at, ok := c.storeRespondedAt, c.hasStoreResponse
	for _, p := range c.peers {
		if p.hasHeartbeat && p.heartbeat.IsReading && c.isComparableHeartbeat(p.heartbeat) && (!ok || p.lastHeartbeatAt-p.heartbeat.StoreAge > at) {
			at, ok = p.lastHeartbeatAt-p.heartbeat.StoreAge, true
		}
	}
	return at, ok
}

// DomainPeers returns the other known hosts of this host's failure domain, in no
// particular order. The caller must not change the slice.
func (c *Core) DomainPeers() []Member {
	return c.domainPeers
}

// MembersVersion returns a number that changes whenever the result of Members does.
func (c *Core) MembersVersion() uint64 {
	return c.membersVersion
}

// Members returns the known hosts, this one included, sorted by name.
func (c *Core) Members() []Member {
	members := []Member{c.cfg.Self}
	for _, p := range c.peers {
		members = append(members, p.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}
