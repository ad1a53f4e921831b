package flow

import "math/bits"

// Step is how far a member has come with an epoch.
type Step uint8

const (
	// StepAnnounced says that the sender, as a home, has told its pins.
	StepAnnounced Step = 1 + iota
	// StepReported says that the sender has told the receiver, as a home, what it knew.
	StepReported
	// StepActivated says that the sender, as a home, opens flows by the epoch and has told
	// everything that differs from it.
	StepActivated
)

// EpochProgress says that the sender has done a step of an epoch.
type EpochProgress struct {
	Epoch uint64
	Step  Step
}

// Batch is what one member tells another. Batches with a Seq are delivered in
// order: the receiver acknowledges each, the sender repeats it until then.
type Batch struct {
	// From and Life name the sender.
	From string
	Life uint64
	// Session is the epoch at which the sender began to tell the receiver.
	Session uint64
	// Seq numbers the batches of a session from 1; 0 is not acknowledged.
	Seq uint64
	// AckSession and Ack name the newest batch that came from the receiver.
	AckSession uint64
	Ack        uint64
	// NewestEpoch is the number of the sender's newest epoch.
	NewestEpoch uint64
	// Hello asks for an answer that shows the newest epoch.
	Hello bool
	// Pins are told to all members by the sender, the home of their flows, but for
	// the last UnannouncedCount of them: the receiver is the home, and tells them on.
	Pins             []Pin
	UnannouncedCount int
	// HandoverFlows are flows that a leaving member hands over to their home.
	HandoverFlows []Pin
	Progress      []EpochProgress
}

// Bounds of a batch.
const (
	maxBatchPins  = 64
	maxBatchMarks = 16
	// maxBatchSize is in bytes.
	maxBatchSize = 900
)

// Sizes of the encoded parts of a batch, in bytes: those of a field's tag, of a
// fixed number and of the heads of a group of pins.
const (
	tagSize   = 1
	fixedSize = 8
	groupSize = tagSize + 2 + tagSize + fixedSize + tagSize + 2
)

// Size returns the encoded size in bytes, or a few more.
func (b Batch) Size() int {
	n := tagSize + varintSize(uint64(len(b.From))) + len(b.From)
	for _, v := range []uint64{b.Life, b.Session, b.Seq, b.AckSession, b.Ack, b.NewestEpoch, uint64(b.UnannouncedCount)} {
		n += fieldSize(v)
	}
	if b.Hello {
		n += fieldSize(1)
	}
	for _, m := range b.Progress {
		n += tagSize + 1 + fieldSize(m.Epoch) + fieldSize(uint64(m.Step))
	}
	return n + pinsSize(b.Pins) + pinsSize(b.HandoverFlows)
}

func pinsSize(pins []Pin) int {
	n := 0
	for i, p := range pins {
		if i == 0 || pins[i-1].Target != p.Target {
			n += groupSize
		}
		n += fixedSize
	}
	return n
}

// fieldSize returns the size of an integer field; 0 is left out.
func fieldSize(v uint64) int {
	if v == 0 {
		return 0
	}
	return tagSize + varintSize(v)
}

func varintSize(v uint64) int {
	return (bits.Len64(v|1) + 6) / 7
}
