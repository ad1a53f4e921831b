// Package flowpb encodes what balancers tell each other about flows.
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

// StepError reports a mark with a step that does not exist.
type StepError struct {
	Step uint32
}

func (e *StepError) Error() string {
	return fmt.Sprintf("flow batch: no step %d", e.Step)
}

// OwedError reports a batch of which more pins are owed than it has.
type OwedError struct {
	Owed, Pins int
}

func (e *OwedError) Error() string {
	return fmt.Sprintf("flow batch: %d pins owed, %d sent", e.Owed, e.Pins)
}

// Marshal encodes b.
func Marshal(b flow.Batch) ([]byte, error) {
	m := &Batch{
		From: b.From, Life: b.Life, Session: b.Session, Seq: b.Seq,
		AckSession: b.AckSession, Ack: b.Ack, Newest: b.NewestEpoch, Hello: b.Hello,
		Groups: groups(b.Pins), Known: groups(b.HandoverFlows), Owed: uint32(b.UnannouncedCount),
	}
	for _, k := range b.Progress {
		m.Marks = append(m.Marks, &Mark{Epoch: k.Epoch, Step: uint32(k.Step)})
	}
	return proto.Marshal(m)
}

// Unmarshal decodes a batch.
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
		return flow.Batch{}, &OwedError{Owed: b.UnannouncedCount, Pins: len(b.Pins)}
	}
	for _, k := range m.GetMarks() {
		if k.GetStep() < uint32(flow.StepAnnounced) || k.GetStep() > uint32(flow.StepActivated) {
			return flow.Batch{}, &StepError{Step: k.GetStep()}
		}
		b.Progress = append(b.Progress, flow.EpochProgress{Epoch: k.GetEpoch(), Step: flow.Step(k.GetStep())})
	}
	return b, nil
}

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

func pins(groups []*Group) []flow.Pin {
	var out []flow.Pin
	for _, g := range groups {
		for _, h := range g.GetHashes() {
			out = append(out, flow.Pin{Hash: h, Target: flow.TargetID(g.GetTarget())})
		}
	}
	return out
}
