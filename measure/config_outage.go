package measure

import (
	"slices"
	"time"

	"wisteriaweir/member"
)

const (
	// outageRuns is the number of runs for each kind of outage.
	outageRuns = 10
	// holderPauseDuration is the length of a pause of a lease holder; a crash is
	// observed for as long.
	holderPauseDuration = 20 * time.Second
	// crashFleetSize is the number of members in the run with crashes.
	crashFleetSize = 200
	// crashCount is the number of members that crash at the same time.
	crashCount = 20
)

// holderLossTable measures a domain whose lease holder crashes or is paused.
func holderLossTable(seed uint64) (*Table, error) {
	t := NewTable("seconds without a holder, 12 members, term 5 s, pause 20 s",
		"event", "runs", "mean s", "max s", "woke up as holder", "behind after waking mean s", "max s", "reversals", "early claims")
	for _, event := range []string{"death", "pause"} {
		var sum, maxWithout, catchUpSum, maxCatchUp float64
		var wokeAsHolder, reversals, earlyStatuses int
		for i := range outageRuns {
			o, err := runOutage(event == "pause", seed+uint64(i))
			if err != nil {
				return nil, err
			}
			sum += o.timeWithoutHolder.Seconds()
			maxWithout = max(maxWithout, o.timeWithoutHolder.Seconds())
			catchUpSum += o.catchUpTime.Seconds()
			maxCatchUp = max(maxCatchUp, o.catchUpTime.Seconds())
			wokeAsHolder += o.wokeAsHolder
			reversals += o.reversals
			earlyStatuses += o.earlyStatuses
		}
		t.Add(event, outageRuns, sum/outageRuns, maxWithout, wokeAsHolder, catchUpSum/outageRuns, maxCatchUp, reversals, earlyStatuses)
	}
	return t, nil
}

// outage holds the results of the loss of one lease holder.
type outage struct {
	// timeWithoutHolder is the time from the crash or the start of the pause until a
	// balancer of the domain acquires the lease. catchUpTime is the time from the end
	// of the pause until the balancer has applied the newest configuration.
	timeWithoutHolder, catchUpTime time.Duration
	// wokeAsHolder is 1 if the balancer still held the lease at the end of its pause,
	// otherwise 0; reversals and earlyStatuses are those of configSimulation.
	wokeAsHolder, reversals, earlyStatuses int
}

// runOutage crashes or pauses the lease holder of one domain while new configurations
// are accepted each 2 s.
func runOutage(pause bool, seed uint64) (outage, error) {
	var o outage
	f := newConfigSimulation(3*configDomainCount, seed)
	if _, err := f.acceptConfig(); err != nil {
		return o, err
	}
	f.RunUntil(configStartupTime + time.Duration(f.rng.Int64N(int64(leaseTerm))))
	holder := f.leaseHolder("zone-0")
	phaseStart := f.Now()
	f.onLeaseAcquired = func(h *configHost) {
		if h.Domain == holder.Domain && o.timeWithoutHolder == 0 {
			o.timeWithoutHolder = f.Now() - phaseStart
		}
	}
	holder.paused, holder.dead = pause, !pause
	for f.Now() < phaseStart+holderPauseDuration {
		if _, err := f.acceptConfig(); err != nil {
			return o, err
		}
		f.RunUntil(f.Now() + 2*time.Second)
	}
	if _, holding := holder.leaseCore.Holding(f.Now()); pause && holding {
		o.wokeAsHolder++
	}
	holder.resume()
	phaseStart = f.Now()
	for pause && holder.appliedNumber < f.platform.headNumber && f.Now() < phaseStart+configStartupTime {
		f.RunUntil(f.Now() + 10*time.Millisecond)
	}
	o.catchUpTime = f.Now() - phaseStart
	f.RunUntil(phaseStart + configStartupTime)
	o.reversals, o.earlyStatuses = f.reversals, f.earlyStatuses
	return o, nil
}

// leaseHolder returns the balancer that holds the lease of a domain, or the first
// balancer if none does.
func (f *configSimulation) leaseHolder(domain string) *configHost {
	i := slices.IndexFunc(f.hosts, func(h *configHost) bool { return h.Domain == domain && h.holdsLease })
	return f.hosts[max(i, 0)]
}

// crashTable measures the detection of the crash of a tenth of a fleet at one moment.
func crashTable(seed uint64) *Table {
	t := NewTable("20 of 200 members die at one moment; the 30 s after it",
		"first suspected s", "unreachable for all s", "sent B/s mean", "sent B/s max", "target B/s", "verdict", "live ones called unreachable")
	f := newConfigSimulation(crashFleetSize, seed)
	f.RunUntil(configStartupTime)
	f.resetCounters()
	at := f.Now()
	for _, h := range f.hosts[:crashCount] {
		h.dead = true
	}
	var firstSuspectedAfter, allUnreachableAfter time.Duration
	maxMistaken := 0
	for f.Now() < at+30*time.Second {
		f.RunUntil(f.Now() + member.TickInterval)
		suspected, allUnreachable, mistaken := f.observedCrashes()
		maxMistaken = max(maxMistaken, mistaken)
		if suspected && firstSuspectedAfter == 0 {
			firstSuspectedAfter = f.Now() - at
		}
		if allUnreachable && allUnreachableAfter == 0 {
			allUnreachableAfter = f.Now() - at
		}
	}
	var sentBytes, maxSentBytes int
	for _, h := range f.hosts {
		sentBytes += h.sentBytes
		maxSentBytes = max(maxSentBytes, h.sentBytes)
	}
	n := float64(crashFleetSize - crashCount)
	maxRate := float64(maxSentBytes) / 30
	t.Add(firstSuspectedAfter.Seconds(), allUnreachableAfter.Seconds(), float64(sentBytes)/n/30, maxRate, maxHostBytesPerSecond, verdict(maxRate <= maxHostBytesPerSecond), maxMistaken)
	return t
}

// observedCrashes reports whether any survivor suspects a crashed member, whether all
// survivors consider all crashed members unreachable, and the highest number of live
// members that one survivor considers unreachable.
func (f *configSimulation) observedCrashes() (suspected, allUnreachable bool, maxMistaken int) {
	allUnreachable = true
	for _, h := range f.hosts[crashCount:] {
		mistaken := 0
		for _, e := range h.view.Entries {
			dead := f.hostAt(e.Control).dead
			suspected = suspected || dead && e.State != member.StateLive
			allUnreachable = allUnreachable && (!dead || e.State == member.StateUnreachable)
			if !dead && e.State == member.StateUnreachable {
				mistaken++
			}
		}
		maxMistaken = max(maxMistaken, mistaken)
	}
	return suspected, allUnreachable, maxMistaken
}
