// Package flowpb encodes and decodes the messages about flows that balancers send to
// each other.
//
// # Usage
//
//	b, err := flowpb.Marshal(batch)
//	batch, err := flowpb.Unmarshal(b)
//	b, err := flowpb.MarshalCount(count)
//	count, err := flowpb.UnmarshalCount(b)
package flowpb

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"wisteriaweir/flow"
)

// StepError reports a progress report with a step that does not exist.
type StepError struct {
	Step uint32
}

func (e *StepError) Error() string {
	return fmt.Sprintf("flow batch: no step %d", e.Step)
}

// UnannouncedCountError reports a batch whose number of unannounced pins is larger
// than its number of pins.
type UnannouncedCountError struct {
	Unannounced, Pins int
}

func (e *UnannouncedCountError) Error() string {
	return fmt.Sprintf("flow batch: %d unannounced pins, but only %d pins in all", e.Unannounced, e.Pins)
}

// Marshal encodes a batch in protobuf wire form.
func Marshal(b flow.Batch) ([]byte, error) {
	m := &Batch{
		From: b.From, Life: b.Life, Session: b.Session, Seq: b.Seq,
		AckSession: b.AckSession, Ack: b.Ack, Newest: b.NewestEpoch, Hello: b.Hello,
		Groups: groups(b.Pins), Known: groups(b.HandoverFlows), Owed: uint32(b.UnannouncedCount),
	}
	for _, progress := range b.Progress {
		m.Marks = append(m.Marks, &Mark{Epoch: progress.Epoch, Step: uint32(progress.Step)})
	}
	return proto.Marshal(m)
}

// Unmarshal decodes a batch. The error is that of protobuf for malformed data, an
// *UnannouncedCountError or a *StepError.
func Unmarshal(data []byte) (flow.Batch, error) {
	var m Batch
	if err := proto.Unmarshal(data, &m); err != nil {
		return flow.Batch{}, err
	}
	b := flow.Batch{
		From: m.GetFrom(), Life: m.GetLife(), Session: m.GetSession(), Seq: m.GetSeq(),
		AckSession: m.GetAckSession(), Ack: m.GetAck(), NewestEpoch: m.GetNewest(), Hello: m.GetHello(),
	}
	b.Pins, b.HandoverFlows = pins(m.GetGroups()), pins(m.GetKnown())
	b.UnannouncedCount = int(m.GetOwed())
	if b.UnannouncedCount > len(b.Pins) {
		return flow.Batch{}, &UnannouncedCountError{Unannounced: b.UnannouncedCount, Pins: len(b.Pins)}
	}
	for _, mark := range m.GetMarks() {
		if mark.GetStep() < uint32(flow.StepAnnounced) || mark.GetStep() > uint32(flow.StepActivated) {
			return flow.Batch{}, &StepError{Step: mark.GetStep()}
		}
		b.Progress = append(b.Progress, flow.EpochProgress{Epoch: mark.GetEpoch(), Step: flow.Step(mark.GetStep())})
	}
	return b, nil
}

// groups returns the pins in groups, one for each run of pins with the same target.
func groups(pins []flow.Pin) []*Group {
	var out []*Group
	for i, p := range pins {
		if i == 0 || pins[i-1].Target != p.Target {
			out = append(out, &Group{Target: uint64(p.Target)})
		}
		g := out[len(out)-1]
		g.Hashes = append(g.Hashes, p.Hash)
	}
	return out
}

// pins returns the pins of groups.
func pins(groups []*Group) []flow.Pin {
	var out []flow.Pin
	for _, g := range groups {
		for _, h := range g.GetHashes() {
			out = append(out, flow.Pin{Hash: h, Target: flow.TargetID(g.GetTarget())})
		}
	}
	return out
}
