package lease

import "fmt"

// FencedError reports that an action carried a lower fencing number than an earlier one.
type FencedError struct {
	// Fence is the fencing number of the refused action.
	Fence uint64
	// Highest is the highest fencing number seen before.
	Highest uint64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("lease: fencing number %d is older than %d", e.Fence, e.Highest)
}

// Fence records the highest fencing number that a receiver of actions has seen. The zero
// value has seen none.
type Fence struct {
	highest uint64
}

// Highest returns the highest fencing number seen, or 0 if there is none.
func (f Fence) Highest() uint64 { return f.highest }

// Admit returns the fence after an action with the fencing number n. It returns a
// FencedError if a higher number has been seen, because a later lease holder has acted.
func (f Fence) Admit(n uint64) (Fence, error) {
	if n < f.highest {
		return f, &FencedError{Fence: n, Highest: f.highest}
	}
	return Fence{highest: n}, nil
}
