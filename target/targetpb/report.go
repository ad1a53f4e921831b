package targetpb

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"wisteriaweir/deflate"
	"wisteriaweir/target"
)

// maxTargets limits the number of targets of a report.
const maxTargets = 1 << 20

// MarshalReport encodes r. The levels of a full report are compressed; the index of each
// change is encoded as the difference from the one before it.
func MarshalReport(r target.OpinionReport) ([]byte, error) {
	m := &Report{Number: r.Number, Base: r.Base, Config: r.ConfigNumber}
	if r.Base == 0 {
		packed, err := deflate.Pack(r.Levels)
		if err != nil {
			return nil, err
		}
		m.Whole = packed
	}
	var previous uint32
	for _, c := range r.Changes {
		m.At = append(m.At, c.Index-previous)
		m.Levels = append(m.Levels, c.Level)
		previous = c.Index
	}
	return proto.Marshal(m)
}

// UnmarshalReport decodes a report. It returns a ShapeError if the content is invalid, and
// the error of package proto if b is not an encoded message.
func UnmarshalReport(b []byte) (target.OpinionReport, error) {
	var m Report
	if err := proto.Unmarshal(b, &m); err != nil {
		return target.OpinionReport{}, err
	}
	if len(m.GetAt()) != len(m.GetLevels()) {
		return target.OpinionReport{}, &ShapeError{Reason: fmt.Sprintf("%d levels for %d changed targets", len(m.GetLevels()), len(m.GetAt()))}
	}
	r := target.OpinionReport{Number: m.GetNumber(), Base: m.GetBase(), ConfigNumber: m.GetConfig()}
	if r.Base == 0 {
		levels, err := unpack(m.GetWhole())
		if err != nil {
			return target.OpinionReport{}, err
		}
		r.Levels = levels
	}
	var index uint32
	for i, delta := range m.GetAt() {
		index += delta
		r.Changes = append(r.Changes, target.LevelChange{Index: index, Level: m.GetLevels()[i]})
	}
	return r, nil
}

// MarshalAck encodes a.
func MarshalAck(a target.Ack) ([]byte, error) {
	return proto.Marshal(&Ack{Number: a.Number})
}

// UnmarshalAck decodes an acknowledgement.
func UnmarshalAck(b []byte) (target.Ack, error) {
	var m Ack
	err := proto.Unmarshal(b, &m)
	return target.Ack{Number: m.GetNumber()}, err
}

// unpack decompresses the levels of a full report. It returns a ShapeError if there are more
// than maxTargets levels or b is not valid compressed data.
func unpack(b []byte) ([]byte, error) {
	levels, err := deflate.Unpack(b, maxTargets)
	if errors.As(err, new(*deflate.LimitError)) {
		return nil, &ShapeError{Reason: fmt.Sprintf("more than %d targets", maxTargets)}
	}
	if err != nil {
		return nil, &ShapeError{Reason: err.Error()}
	}
	return levels, nil
}
