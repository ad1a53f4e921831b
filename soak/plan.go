package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one kind of fault that a soak run injects.
type Fault string

// Kinds of faults. Host faults are signals to processes. Store and target faults act
// on the proxies between hosts and the store or a target, on the store or on a target.
const (
	// HostTerm ends a host by SIGTERM and starts it again 100 ms after its exit.
	HostTerm Fault = "host term"
	// HostKill ends a host by SIGKILL and starts it again after the duration of the
	// fault.
	HostKill Fault = "host kill"
	// HostPause stops a host by SIGSTOP and continues it by SIGCONT after the duration
	// of the fault.
	HostPause Fault = "host pause"
	// HostHUP sends SIGHUP to a host, which then reads its settings again.
	HostHUP Fault = "host hup"
	// AllHostsKill ends all hosts by SIGKILL at the same time and starts them again
	// after half the duration of the fault.
	AllHostsKill Fault = "all hosts kill"
	// StoreUnresponsive discards all data between a host and the store; connections
	// stay open.
	StoreUnresponsive Fault = "store silent for a host"
	// StoreReset resets the connections between a host and the store at their next
	// data.
	StoreReset Fault = "store resets a host"
	// StoreSlow delays each chunk of data between a host and the store by 400 ms.
	StoreSlow Fault = "store slow for a host"
	// StoreResponsesLost discards the store's responses to a host.
	StoreResponsesLost Fault = "store answers lost for a host"
	// StoreDown makes the store unavailable to all its clients: hosts, targets and the
	// operator.
	StoreDown Fault = "store down"
	// StoreRestore writes several versions of the configuration, makes the store unavailable
	// for half of the duration and brings it back from a copy that is some seconds old. The
	// operator then writes again what was lost.
	StoreRestore Fault = "store restored"
	// StoreCompaction removes the store's history, so that watches have to list again.
	StoreCompaction Fault = "store drops its history"
	// TargetCrash stops a target without notice, and starts another one in its place
	// after the duration of the fault.
	TargetCrash Fault = "target goes dark"
	// TargetUnreachable discards all packets from the hosts to a target.
	TargetUnreachable Fault = "target cut off"
	// TargetLoss discards 30 % of the packets from the hosts to a target.
	TargetLoss Fault = "target loses packets"
	// TargetReplacement starts another target, drains the old one and stops it
	// drainDuration later.
	TargetReplacement Fault = "target replaced"
	// ForeignEntries writes over the entries of some targets as another program may do.
	ForeignEntries Fault = "entries written over"
	// ConfigChange writes the next version of the configuration.
	ConfigChange Fault = "configuration changes"
	// Evacuation requests the evacuation of a failure domain and withdraws the request
	// after the duration of the fault.
	Evacuation Fault = "domain evacuated"
)

// faults are the faults from which a plan selects at random; one that is listed twice
// is twice as likely.
var faults = []Fault{
	HostTerm, HostTerm, HostKill, HostPause, HostHUP, AllHostsKill, StoreUnresponsive, StoreReset, StoreSlow, StoreResponsesLost, StoreDown,
	StoreCompaction, TargetCrash, TargetUnreachable, TargetLoss, TargetReplacement, TargetReplacement, ConfigChange, ConfigChange,
}

// Step is one fault of a plan.
type Step struct {
	// At is the start of the fault, after the start of the load.
	At time.Duration
	// Fault is the kind of fault.
	Fault Fault
	// Selector selects the host or target that the fault affects: the one whose index
	// is Selector modulo the number of candidates.
	Selector int
	// Duration is how long the fault lasts; AllHostsKill lasts half of it. HostTerm,
	// HostHUP, StoreCompaction, TargetReplacement and ConfigChange ignore it.
	Duration time.Duration
}

// String returns the step as one line.
func (s Step) String() string {
	return fmt.Sprintf("%v %s %d for %v", s.At.Round(time.Millisecond), s.Fault, s.Selector, s.Duration.Round(time.Millisecond))
}

// Limits of a plan.
const (
	// faultFreeStart is the time without faults at the start of the load.
	faultFreeStart = 2 * time.Second
	// faultFreeEnd is the time without new faults at the end of the load, in which the
	// last faults end and the system recovers and is checked.
	faultFreeEnd = 14 * time.Second
	// minFaultDuration is the minimum duration of a fault.
	minFaultDuration = 200 * time.Millisecond
	// maxFaultDuration is the exclusive upper limit of the duration of a fault.
	maxFaultDuration = 3 * time.Second
	// maxFaultGap is the exclusive upper limit of the time between the starts of two
	// faults. Most faults last longer, so that faults overlap.
	maxFaultGap = 900 * time.Millisecond
	// minEvacuationDuration is the minimum duration of an evacuation. It is longer than
	// evacuationBound, so that each evacuation is checked.
	minEvacuationDuration = evacuationBound + 500*time.Millisecond
	// maxEvacuationDuration is the exclusive upper limit of the duration of an evacuation.
	maxEvacuationDuration = 8 * time.Second
	// maxEvacuationGap is the exclusive upper limit of the time between the starts of two
	// evacuations. Evacuations overlap each other and the other faults.
	maxEvacuationGap = 8 * time.Second
	// maxRestoreGap is the exclusive upper limit of the time between the starts of two
	// restores of the store.
	maxRestoreGap = 12 * time.Second
)

// NewPlan returns the fault plan of a seed for a load of the given length, sorted by
// the start times of the faults.
func NewPlan(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	var steps []Step
	for at := faultFreeStart; at < length-faultFreeEnd; at += time.Duration(rng.Int64N(int64(maxFaultGap))) {
		steps = append(steps, Step{
			At:       at,
			Fault:    faults[rng.IntN(len(faults))],
			Selector: rng.IntN(1 << 16),
			Duration: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	steps = append(steps, evacuationSteps(seed, length)...)
	steps = append(steps, restoreSteps(seed, length)...)
	steps = append(steps, entrySteps(seed, length)...)
	slices.SortFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// evacuationSteps returns the evacuations of a plan. They end with the last other faults.
// Their random numbers are separate, so that the other faults of a seed are those of
// earlier releases.
func evacuationSteps(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0xe7ac))
	var steps []Step
	for at := faultFreeStart; ; {
		at += time.Duration(rng.Int64N(int64(maxEvacuationGap)))
		duration := minEvacuationDuration + time.Duration(rng.Int64N(int64(maxEvacuationDuration-minEvacuationDuration)))
		if at+duration > length-faultFreeEnd+maxFaultDuration {
			return steps
		}
		steps = append(steps, Step{At: at, Fault: Evacuation, Selector: rng.IntN(1 << 16), Duration: duration})
	}
}

// restoreSteps returns the restores of a plan. The last one is the last fault, so that no
// other one hides what hosts make of it. Their random numbers are separate, like those of
// evacuationSteps.
func restoreSteps(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0x0e7a))
	last := length - faultFreeEnd
	at := faultFreeStart + time.Duration(rng.Int64N(int64(maxRestoreGap)))
	var steps []Step
	for at < last-maxFaultDuration {
		steps = append(steps, restoreStep(rng, at))
		at += maxFaultDuration + time.Duration(rng.Int64N(int64(maxRestoreGap)))
	}
	return append(steps, restoreStep(rng, last))
}

// restoreStep returns a restore with a random duration and copy.
func restoreStep(rng *rand.Rand, at time.Duration) Step {
	duration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
	return Step{At: at, Fault: StoreRestore, Selector: rng.IntN(1 << 16), Duration: duration}
}
