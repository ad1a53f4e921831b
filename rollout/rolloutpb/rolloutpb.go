// Package rolloutpb encodes the messages of package rollout.
//
// # Usage
//
//	payload, err := rolloutpb.Marshal(message)
//	message, err := rolloutpb.Unmarshal(payload)
package rolloutpb

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"wisteriaweir/rollout"
	"wisteriaweir/ticket"
)

// DecodeError reports that a payload is not a valid message.
type DecodeError struct {
	// Reason describes the error.
	Reason string
}

func (e *DecodeError) Error() string { return fmt.Sprintf("rollout message: %s", e.Reason) }

// Marshal encodes a message as Protocol Buffers.
func Marshal(m rollout.Message) ([]byte, error) {
	return proto.Marshal(Encode(m))
}

// Encode returns the Protocol Buffers form of a message.
func Encode(m rollout.Message) *Message {
	p := &Message{}
	switch m := m.(type) {
	case rollout.LeaderUpdate:
		p.Message = &Message_Lead{Lead: &Lead{
			Holder: m.Holder, Fence: m.Fence, Sequence: m.Sequence,
			Number: m.Number, Digest: m.Digest, Body: m.Body, Delta: encodeDelta(m.Delta),
		}}
	case rollout.Report:
		p.Message = &Message_Report{Report: encodeReport(m)}
	case rollout.Pull:
		p.Message = &Message_Pull{Pull: &Pull{Number: m.Number, Digest: m.Digest}}
	case rollout.SnapshotReply:
		p.Message = &Message_Give{Give: &Give{
			Number: m.Snapshot.Number, Digest: m.Snapshot.Digest, Body: m.Snapshot.Body,
		}}
	case rollout.VersionQuery:
		p.Message = &Message_Check{Check: &Check{Nonce: m.Nonce}}
	case rollout.VersionReply:
		p.Message = &Message_Checked{Checked: &Checked{
			Nonce: m.Nonce, Number: m.Number, Digest: m.Digest, Counted: m.IsReceiverReachable, Leading: m.IsLeaseHolder,
		}}
	case rollout.DeltaReply:
		p.Message = &Message_GiveDelta{GiveDelta: encodeDelta(m.Delta)}
	}
	return p
}

// encodeDelta returns the Protocol Buffers form of a delta, or nil for the zero Delta.
func encodeDelta(d rollout.Delta) *Delta {
	if d.Number == 0 {
		return nil
	}
	return &Delta{
		Base: d.BaseNumber, BaseDigest: d.BaseDigest,
		Number: d.Number, Digest: d.Digest, Sum: d.SectionsDigest, Body: d.Body,
	}
}

func decodeDelta(d *Delta) rollout.Delta {
	if d.GetNumber() == 0 {
		return rollout.Delta{}
	}
	return rollout.Delta{
		BaseNumber: d.GetBase(), BaseDigest: d.GetBaseDigest(),
		Number: d.GetNumber(), Digest: d.GetDigest(), SectionsDigest: d.GetSum(), Body: d.GetBody(),
	}
}

func encodeReport(m rollout.Report) *Report {
	r := &Report{Floor: m.MinActiveNumber, Top: m.MaxActiveNumber, AtTop: uint32(m.MaxActiveCount), Count: uint32(m.Count), Names: m.NameHashSum}
	for _, l := range m.Laggards {
		r.Laggards = append(r.Laggards, &Laggard{Name: l.Name, Number: l.Number})
	}
	return r
}

// Unmarshal decodes a message. The error is a *DecodeError.
func Unmarshal(b []byte) (rollout.Message, error) {
	p := &Message{}
	if err := proto.Unmarshal(b, p); err != nil {
		return nil, &DecodeError{Reason: err.Error()}
	}
	switch m := p.Message.(type) {
	case *Message_Lead:
		l := m.Lead
		return rollout.LeaderUpdate{
			Holder: l.GetHolder(), Fence: l.GetFence(), Sequence: l.GetSequence(),
			Number: l.GetNumber(), Digest: l.GetDigest(), Body: l.GetBody(), Delta: decodeDelta(l.GetDelta()),
		}, nil
	case *Message_Report:
		return decodeReport(m.Report), nil
	case *Message_Pull:
		return rollout.Pull{Number: m.Pull.GetNumber(), Digest: m.Pull.GetDigest()}, nil
	case *Message_Give:
		g := m.Give
		return rollout.SnapshotReply{Snapshot: rollout.Snapshot{
			Number: g.GetNumber(), Digest: g.GetDigest(), Body: g.GetBody(),
		}}, nil
	case *Message_Check:
		return rollout.VersionQuery{Nonce: m.Check.GetNonce()}, nil
	case *Message_Checked:
		k := m.Checked
		return rollout.VersionReply{
			Nonce: k.GetNonce(), Number: k.GetNumber(), Digest: k.GetDigest(),
			IsReceiverReachable: k.GetCounted(), IsLeaseHolder: k.GetLeading(),
		}, nil
	case *Message_GiveDelta:
		return rollout.DeltaReply{Delta: decodeDelta(m.GiveDelta)}, nil
	default:
		return nil, &DecodeError{Reason: "unknown kind"}
	}
}

func decodeReport(m *Report) rollout.Report {
	r := rollout.Report{
		MinActiveNumber: m.GetFloor(), MaxActiveNumber: m.GetTop(),
		MaxActiveCount: int(m.GetAtTop()), Count: int(m.GetCount()), NameHashSum: m.GetNames(),
	}
	for _, l := range m.GetLaggards() {
		r.Laggards = append(r.Laggards, ticket.Laggard{Name: l.GetName(), Number: l.GetNumber()})
	}
	return r
}
