package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one kind of trouble that the soak makes.
type Fault string

// The faults. Those of hosts hit processes by signals, those of the store and of
// targets what lies between them and the hosts.
const (
	HostTerm           Fault = "host term"
	HostKill           Fault = "host kill"
	HostPause          Fault = "host pause"
	HostHUP            Fault = "host hup"
	AllHostsKill       Fault = "all hosts kill"
	StoreUnresponsive  Fault = "store silent for a host"
	StoreReset         Fault = "store resets a host"
	StoreSlow          Fault = "store slow for a host"
	StoreResponsesLost Fault = "store answers lost for a host"
	StoreDown          Fault = "store down"
	StoreCompaction    Fault = "store drops its history"
	TargetCrash        Fault = "target goes dark"
	TargetUnreachable  Fault = "target cut off"
	TargetLoss         Fault = "target loses packets"
	TargetReplacement  Fault = "target replaced"
	ConfigChange       Fault = "configuration changes"
)

var faults = []Fault{
	HostTerm, HostTerm, HostKill, HostPause, HostHUP, AllHostsKill, StoreUnresponsive, StoreReset, StoreSlow, StoreResponsesLost, StoreDown,
	StoreCompaction, TargetCrash, TargetUnreachable, TargetLoss, TargetReplacement, TargetReplacement, ConfigChange, ConfigChange,
}

// Step is one fault at a time.
type Step struct {
	At    time.Duration
	Fault Fault
	// Selector picks what it hits, Duration how long it lasts.
	Selector int
	Duration time.Duration
}

// String returns the step as one line.
func (s Step) String() string {
	return fmt.Sprintf("%v %s %d for %v", s.At.Round(time.Millisecond), s.Fault, s.Selector, s.Duration.Round(time.Millisecond))
}

// Bounds of a plan.
const (
	// faultFreeStart and quietEnd are kept free of faults: the start of the load, and
	// the time in which everything has to be well again.
	faultFreeStart = 2 * time.Second
	faultFreeEnd   = 14 * time.Second
	// minFaultDuration and faultMost bound how long a fault lasts.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// maxFaultGap bounds the time between two faults; series and overlaps are usual.
	maxFaultGap = 900 * time.Millisecond
)

// NewPlan returns the plan of a seed for a load of the given length.
func NewPlan(seed uint64, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 0x50a4))
	var steps []Step
	for at := faultFreeStart; at < length-faultFreeEnd; at += time.Duration(rnd.Int64N(int64(maxFaultGap))) {
		steps = append(steps, Step{
			At:       at,
			Fault:    faults[rnd.IntN(len(faults))],
			Selector: rnd.IntN(1 << 16),
			Duration: minFaultDuration + time.Duration(rnd.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	slices.SortFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}
