package measure

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// maxActivationTime is the objective for the time from the acceptance of a
	// configuration until it is active on all balancers.
	maxActivationTime = 5 * time.Second
	// maxActivationTimeLargeFleet replaces maxActivationTime for fleets of
	// largeFleetSize or more members.
	maxActivationTimeLargeFleet = 18 * time.Second
	// maxHostBytesPerSecond is the objective for the bytes that a host sends, and that
	// it receives, in a second.
	maxHostBytesPerSecond = 8 << 10
	// maxPlatformWritesPerSecond is the objective for all writes at the platform in a
	// second.
	maxPlatformWritesPerSecond = 200
	// maxPlatformReadsPerSecond is the objective for all reads at the platform in a
	// second.
	maxPlatformReadsPerSecond = 1000
	// largeFleetSize is the number of members of the largest fleet.
	largeFleetSize = 1800
	// configStartupTime is the virtual time before the counters start.
	configStartupTime = 10 * time.Second
	// ticketInterval is the time between two tickets.
	ticketInterval = 8 * time.Second
	// fanOutMembers is the number of members in the table of fan-out strategies.
	fanOutMembers = 200
	// fanOutTickets is the number of tickets for each fan-out strategy.
	fanOutTickets = 5
)

// configRun is a finished simulation with the figures of its run.
type configRun struct {
	*configSimulation
	members int
	// acceptedNumbers holds the configuration numbers accepted after the start-up.
	acceptedNumbers []uint64
	// measuredSeconds is the virtual time since the start-up.
	measuredSeconds float64
	// processorMicros is the processor time spent for each host and virtual second, in
	// microseconds.
	processorMicros float64
}

// Configs returns tables about the distribution of configurations to all balancers:
// the seconds until a configuration is active, its cost for each host and for the
// platform, a comparison of fan-out strategies and of release encodings, the seconds
// without a lease holder, and the detection of crashes.
func Configs(seed uint64) ([]*Table, error) {
	var runs []*configRun
	for members, tickets := range map[int]int{2: 10, 9: 10, 50: 10, largeFleetSize: 2} {
		r, err := runConfigSimulation(members, tickets, seed, fanOutTreeContent)
		if err != nil {
			return nil, err
		}
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *configRun) int { return a.members - b.members })
	outages, err := holderLossTable(seed)
	if err != nil {
		return nil, err
	}
	fanOuts, err := fanOutTable(seed)
	if err != nil {
		return nil, err
	}
	deltas, err := deltaTable(seed)
	if err != nil {
		return nil, err
	}
	return []*Table{activationTable(runs), hostCostTable(runs), platformCallTable(runs), fanOuts, deltas, outages, crashTable(seed)}, nil
}

// fanOutTable compares the fan-out strategies.
func fanOutTable(seed uint64) (*Table, error) {
	t := NewTable("ways of the fan-out, 200 members",
		"way", "tickets", "mean s", "max s", "sent B/s mean", "sent B/s max")
	for _, strategy := range []string{fanOutTreeContent, fanOutTreeNumber, fanOutHeartbeatNumber} {
		r, err := runConfigSimulation(fanOutMembers, fanOutTickets, seed, strategy)
		if err != nil {
			return nil, err
		}
		mean, maxDelay, _ := r.delays(r.activated, r.members)
		meanRate, maxRate := r.sentByteRates()
		t.Add(strategy, fanOutTickets, mean, maxDelay, meanRate, maxRate)
	}
	return t, nil
}

// sentByteRates returns the bytes that a host sends in a second: the mean and the
// maximum over all hosts.
func (r *configRun) sentByteRates() (mean, highest float64) {
	for _, h := range r.hosts {
		rate := float64(h.sentBytes) / r.measuredSeconds
		mean += rate / float64(r.members)
		highest = max(highest, rate)
	}
	return mean, highest
}

// runConfigSimulation starts a fleet, resets the counters after configStartupTime and
// then accepts a number of tickets, one each ticketInterval.
func runConfigSimulation(members, tickets int, seed uint64, strategy string) (*configRun, error) {
	start := processorTime()
	f := newConfigSimulation(members, seed)
	f.strategy = strategy
	r := &configRun{configSimulation: f, members: members}
	if _, err := f.acceptConfig(); err != nil {
		return nil, err
	}
	f.RunUntil(configStartupTime)
	f.resetCounters()
	for range tickets {
		n, err := f.acceptConfig()
		if err != nil {
			return nil, err
		}
		r.acceptedNumbers = append(r.acceptedNumbers, n)
		f.RunUntil(f.Now() + ticketInterval)
	}
	r.measuredSeconds = (f.Now() - configStartupTime).Seconds()
	r.processorMicros = (processorTime() - start).Seconds() * 1e6 / f.Now().Seconds() / float64(members)
	return r, nil
}

// processorTime returns the processor time, user and system, that this process has
// used, or 0 if the system does not report it.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// resetCounters sets the counters of messages, bytes and platform calls to 0.
func (f *configSimulation) resetCounters() {
	clear(f.platform.reads)
	clear(f.platform.writes)
	for _, h := range f.hosts {
		h.sentBytes, h.receivedBytes, h.sentMessages = 0, 0, 0
	}
}

// verdict returns the cell that states whether an objective is met.
func verdict(ok bool) string {
	if ok {
		return "reached"
	}
	return "not reached"
}

// activationTable lists, for each fleet, the times until configurations are active and
// until every domain has reported them.
func activationTable(runs []*configRun) *Table {
	t := NewTable("configuration in force, uneven delays, 5 % of messages lost",
		"members", "tickets", "mean s", "max s", "stated mean s", "stated max s", "target s", "verdict", "reversals", "early claims")
	for _, r := range runs {
		limit := maxActivationTime
		if r.members >= largeFleetSize {
			limit = maxActivationTimeLargeFleet
		}
		mean, maxDelay, ok := r.delays(r.activated, r.members)
		reportedMean, reportedMax, allReported := r.delays(r.configSimulation.reported, min(r.members, configDomainCount))
		ok = ok && allReported && maxDelay <= limit.Seconds() && r.reversals == 0 && r.earlyStatuses == 0
		t.Add(r.members, len(r.acceptedNumbers), mean, maxDelay, reportedMean, reportedMax, limit.Seconds(), verdict(ok), r.reversals, r.earlyStatuses)
	}
	return t
}

// delays returns the mean and the longest time in seconds from the acceptance of a
// number until the last balancer or domain reached it, and whether at least want of
// them reached each number.
func (r *configRun) delays(reached map[uint64]*progress, want int) (mean, longest float64, ok bool) {
	ok = true
	for _, n := range r.acceptedNumbers {
		p := reached[n]
		ok = ok && p.count >= want
		s := (p.lastAt - r.acceptedAt[n]).Seconds()
		mean += s / float64(len(r.acceptedNumbers))
		longest = max(longest, s)
	}
	return mean, longest, ok
}

// hostCostTable lists the messages, bytes and processor time of each host.
func hostCostTable(runs []*configRun) *Table {
	t := NewTable("cost for each host, a ticket each 8 s; processor time depends on the machine",
		"members", "messages/s", "sent B/s mean", "sent B/s max", "received B/s max", "target B/s", "verdict", "processor us/s")
	for _, r := range runs {
		var messages, maxReceived int
		for _, h := range r.hosts {
			messages += h.sentMessages
			maxReceived = max(maxReceived, h.receivedBytes)
		}
		mean, maxRate := r.sentByteRates()
		received := float64(maxReceived) / r.measuredSeconds
		t.Add(r.members, float64(messages)/r.measuredSeconds/float64(r.members), mean, maxRate, received,
			maxHostBytesPerSecond, verdict(max(maxRate, received) <= maxHostBytesPerSecond), r.processorMicros)
	}
	return t
}

// platformCallTable lists the calls at the platform in a second.
func platformCallTable(runs []*configRun) *Table {
	t := NewTable("calls at the platform a second, a ticket each 8 s; a waiting watch is one call",
		"members", "reads", "writes", "by kind", "target reads", "target writes", "verdict")
	for _, r := range runs {
		reads, readKinds := r.callRates("read", r.platform.reads)
		writes, writeKinds := r.callRates("write", r.platform.writes)
		ok := reads <= maxPlatformReadsPerSecond && writes <= maxPlatformWritesPerSecond
		t.Add(r.members, reads, writes, readKinds+", "+writeKinds, maxPlatformReadsPerSecond, maxPlatformWritesPerSecond, verdict(ok))
	}
	return t
}

// callRates returns the total of the calls in a second, and the rate of each kind as
// text.
func (r *configRun) callRates(verb string, counts map[string]int) (float64, string) {
	var total float64
	var kinds []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		rate := float64(counts[kind]) / r.measuredSeconds
		total += rate
		kinds = append(kinds, fmt.Sprintf("%s %s %.2f", verb, kind, rate))
	}
	return total, strings.Join(kinds, ", ")
}
