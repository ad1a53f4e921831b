package flow

import "math/bits"

// Step is a step of a member's progress with an epoch.
type Step uint8

const (
	// StepAnnounced is reached when the sender has announced, as an owner, the pins
	// of its flows to all members.
	StepAnnounced Step = 1 + iota
	// StepReported is reached when the sender has reported to the receiver every
	// unannounced pin that the sender knows and the receiver owns.
	StepReported
	// StepActivated is reached when the sender, as an owner, opens flows by the epoch
	// and has announced every flow that differs from it.
	StepActivated
)

// EpochProgress reports that the sender has reached a step of an epoch.
type EpochProgress struct {
	Epoch uint64
	Step  Step
}

// Batch is a message from one member to another. Batches whose Seq is not 0 are
// delivered in order: the sender repeats each one until the receiver acknowledges it.
type Batch struct {
	// From is the name of the sender, and Life its process instance.
	From string
	Life uint64
	// Session is the number of the epoch at which the sender began to send to the
	// receiver.
	Session uint64
	// Seq numbers the batches of a session from 1. A batch with a Seq of 0 is not
	// acknowledged.
	Seq uint64
	// AckSession and Ack acknowledge the batches in the other direction. They are the
	// Session and Seq of the newest batch that the sender has received in order from
	// the receiver.
	AckSession uint64
	Ack        uint64
	// NewestEpoch is the number of the sender's newest epoch.
	NewestEpoch uint64
	// Hello requests a batch in return, which contains the receiver's NewestEpoch.
	Hello bool
	// Pins consists of two parts. The sender announces the pins of the first part to
	// all members, as the owner of their flows or to announce them again, as described
	// at ShardConfig.PinIdleTimeout. The second part is the last UnannouncedCount pins: the
	// sender reports them to the receiver, which owns their flows and announces them
	// to the other members.
	Pins             []Pin
	UnannouncedCount int
	// HandoverFlows are flows that a leaving member hands over to their owner.
	HandoverFlows []Pin
	// Progress lists the steps that the sender has reached.
	Progress []EpochProgress
}

const (
	// maxBatchPins is the largest number of pins or of handover flows in a batch.
	maxBatchPins = 64
	// maxBatchProgress is the largest number of progress reports in a batch.
	maxBatchProgress = 16
	// maxBatchSize is the largest encoded size of a batch, in bytes.
	maxBatchSize = 900
)

// Sizes of the encoded parts of a batch, in bytes.
const (
	// tagSize is the size of a field's tag.
	tagSize = 1
	// fixedSize is the size of a fixed64 number.
	fixedSize = 8
	// groupHeaderSize is the size of a group of pins without its hashes: a tag and a
	// length, the tag and the number of the target, and the tag and the length of
	// the hashes.
	groupHeaderSize = tagSize + 2 + tagSize + fixedSize + tagSize + 2
)

// Size returns an upper bound of the encoded size, in bytes. It exceeds the encoded
// size by a few bytes only.
func (b Batch) Size() int {
	n := tagSize + varintSize(uint64(len(b.From))) + len(b.From)
	for _, v := range []uint64{b.Life, b.Session, b.Seq, b.AckSession, b.Ack, b.NewestEpoch, uint64(b.UnannouncedCount)} {
		n += fieldSize(v)
	}
	if b.Hello {
		n += fieldSize(1)
	}
	for _, progress := range b.Progress {
		n += tagSize + 1 + fieldSize(progress.Epoch) + fieldSize(uint64(progress.Step))
	}
	return n + pinsSize(b.Pins) + pinsSize(b.HandoverFlows)
}

// pinsSize returns the encoded size of pins that are grouped by target, or slightly
// more.
func pinsSize(pins []Pin) int {
	n := 0
	for i, p := range pins {
		if i == 0 || pins[i-1].Target != p.Target {
			n += groupHeaderSize
		}
		n += fixedSize
	}
	return n
}

// fieldSize returns the encoded size of an integer field. A field with the value 0
// is omitted.
func fieldSize(v uint64) int {
	if v == 0 {
		return 0
	}
	return tagSize + varintSize(v)
}

// varintSize returns the encoded size of v as a varint, which has 7 bits in each byte.
func varintSize(v uint64) int {
	return (bits.Len64(v|1) + 6) / 7
}
