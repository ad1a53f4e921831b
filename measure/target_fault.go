package measure

import (
	"slices"
	"time"

	"wisteriaweir/target"
)

// failFrom starts a fault of every target from index i on.
func (r *targetRun) failFrom(i int, f serverFault, falseReport *target.Report) {
	for _, s := range r.servers[i:] {
		s.fail(f, falseReport)
	}
}

// failDomain makes every target of a failure domain unresponsive.
func (r *targetRun) failDomain(domain string) {
	for _, s := range r.servers {
		if s.domain == domain {
			s.fail(serverFaultSilent, nil)
		}
	}
}

// repairAll ends the faults of all targets.
func (r *targetRun) repairAll() {
	for _, s := range r.servers {
		s.repair()
	}
}

// repairCold ends the faults of all targets; those that had one start again cold.
func (r *targetRun) repairCold() {
	for _, s := range r.servers {
		if s.fault != serverFaultNone {
			s.repair()
			s.coldSince = r.tl.Now()
		}
	}
}

// addColdTarget adds one cold target to the pool.
func (r *targetRun) addColdTarget() {
	s := r.addServer(len(r.servers))
	s.coldSince = r.tl.Now()
	r.configure()
	r.affected = []*targetServer{s}
}

// drainTarget starts to drain target i.
func (r *targetRun) drainTarget(i int) {
	t := r.service.Pool[i]
	t.Draining = true
	r.service = r.service.WithTarget(t)
	r.configure()
	r.affected = r.servers[i : i+1]
}

// recordAffected records the servers with a fault or a false report as affected,
// unless the scenario has set them.
func (r *targetRun) recordAffected() {
	if r.affected != nil {
		return
	}
	for _, s := range r.servers {
		if s.fault != serverFaultNone || s.falseReport != nil {
			r.affected = append(r.affected, s)
		}
	}
}

// addTo adds the figures of the run to a table.
func (r *targetRun) addTo(t *Table) {
	t.Add(r.scenario.name, r.strategy, r.requests, r.lostRequests, r.failedAttempts, r.imbalance(), r.p99Millis(), r.reactionTime(), r.returnRatio())
}

// imbalance returns the highest number of answers of a target divided by the mean. It
// leaves out affected servers if they are fewer than half of all.
func (r *targetRun) imbalance() float64 {
	sum, n, highest := 0, 0, 0
	for _, s := range r.servers {
		if len(r.affected) < len(r.servers)/2 && slices.Contains(r.affected, s) {
			continue
		}
		sum += s.answers
		highest = max(highest, s.answers)
		n++
	}
	return float64(highest) * float64(n) / float64(sum)
}

// p99Millis returns the 99th percentile of the latencies in milliseconds. It sorts
// latencies.
func (r *targetRun) p99Millis() float64 {
	slices.Sort(r.latencies)
	latency := r.latencies[len(r.latencies)*99/100]
	return float64(latency) / float64(time.Millisecond)
}

// attemptsIn returns the number of attempts at the affected servers in one second of
// the run.
func (r *targetRun) attemptsIn(second int) int {
	n := 0
	for _, s := range r.affected {
		if second < len(s.attemptsBySecond) {
			n += s.attemptsBySecond[second]
		}
	}
	return n
}

// fairAttemptsPerSecond returns the attempts per second that the affected servers would
// receive without a fault.
func (r *targetRun) fairAttemptsPerSecond() float64 {
	rate := float64(r.requests) / targetRunDuration.Seconds()
	return rate * float64(len(r.affected)) / float64(len(r.servers))
}

// reactionTime returns the seconds from the start of the fault until the affected
// servers receive no attempt for two seconds, "never", or "-" for a scenario without
// affected servers.
func (r *targetRun) reactionTime() string {
	if len(r.affected) == 0 {
		return "-"
	}
	from, to := int(targetFaultAt/time.Second), int(targetFaultEnd/time.Second)
	for s := from; s+1 < to; s++ {
		if r.attemptsIn(s) == 0 && r.attemptsIn(s+1) == 0 {
			return cell(s - from)
		}
	}
	return "never"
}

// returnRatio returns the highest number of attempts per second at the affected
// servers in the five seconds after they return or are added, divided by
// fairAttemptsPerSecond, or "-" for a scenario without affected servers.
func (r *targetRun) returnRatio() string {
	if len(r.affected) == 0 {
		return "-"
	}
	from := int(targetFaultEnd / time.Second)
	if r.affected[0].coldSince == targetFaultAt {
		from = int(targetFaultAt / time.Second)
	}
	highest := 0
	for s := from; s < from+5; s++ {
		highest = max(highest, r.attemptsIn(s))
	}
	return cell(float64(highest) / r.fairAttemptsPerSecond())
}
