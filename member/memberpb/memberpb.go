// Package memberpb encodes the heartbeats of package member.
//
// # Usage
//
//	payload, err := memberpb.Marshal(heartbeat)
//	heartbeat, err := memberpb.Unmarshal(payload)
package memberpb

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"wisteriaweir/member"
)

// DecodeError reports bytes that are not a valid heartbeat.
type DecodeError struct {
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("heartbeat: %v", e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Marshal encodes a heartbeat.
func Marshal(h member.Heartbeat) ([]byte, error) {
	return proto.Marshal(Encode(h))
}

// Encode returns the message that Marshal encodes.
func Encode(h member.Heartbeat) *Heartbeat {
	m := &Heartbeat{
		Reply:        h.IsReply,
		From:         encode(h.From),
		Digest:       h.Digest,
		Config:       h.ConfigNumber,
		ConfigDigest: h.ConfigDigest,
		Ask:          h.ProbeRequest,
		Reached:      h.ProbeReached,
	}
	for _, r := range h.Records {
		m.Records = append(m.Records, encode(r))
	}
	return m
}

// Unmarshal decodes a heartbeat. It returns a DecodeError if b is invalid.
func Unmarshal(b []byte) (member.Heartbeat, error) {
	m := &Heartbeat{}
	if err := proto.Unmarshal(b, m); err != nil {
		return member.Heartbeat{}, &DecodeError{Err: err}
	}
	from, err := decode(m.GetFrom())
	if err != nil {
		return member.Heartbeat{}, err
	}
	h := member.Heartbeat{
		IsReply:      m.Reply,
		From:         from,
		Digest:       m.Digest,
		ConfigNumber: m.Config,
		ConfigDigest: m.ConfigDigest,
		ProbeRequest: m.Ask,
		ProbeReached: m.Reached,
	}
	for _, r := range m.Records {
		record, err := decode(r)
		if err != nil {
			return member.Heartbeat{}, err
		}
		h.Records = append(h.Records, record)
	}
	return h, nil
}

// encode returns the message for a record.
func encode(r member.Record) *Record {
	return &Record{
		Name:        r.Name,
		Domain:      r.Domain,
		Life:        r.Life,
		Control:     encodeAddress(r.Control),
		Hop:         encodeAddress(r.Hop),
		Incarnation: r.Incarnation,
		Health:      uint32(r.Health),
		Leaving:     r.Leaving,
	}
}

// encodeAddress returns the binary form of an address. MarshalBinary returns no error for any
// AddrPort.
func encodeAddress(a netip.AddrPort) []byte {
	b, _ := a.MarshalBinary()
	return b
}

// decode returns the record of a message. It returns a DecodeError if the message is invalid.
func decode(m *Record) (member.Record, error) {
	r := member.Record{
		Member:      member.Member{Name: m.GetName(), Domain: m.GetDomain(), Life: m.GetLife()},
		Incarnation: m.GetIncarnation(),
		Health:      member.Health(m.GetHealth()),
		Leaving:     m.GetLeaving(),
	}
	if r.Name == "" || m.GetHealth() > uint32(member.HealthUnreachable) {
		return r, &DecodeError{Err: &RecordError{Name: r.Name, Health: m.GetHealth()}}
	}
	if err := r.Control.UnmarshalBinary(m.GetControl()); err != nil {
		return r, &DecodeError{Err: err}
	}
	if err := r.Hop.UnmarshalBinary(m.GetHop()); err != nil {
		return r, &DecodeError{Err: err}
	}
	return r, nil
}

// RecordError reports a record without a name or with an unknown health.
type RecordError struct {
	Name   string
	Health uint32
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record of %q with health %d: a name and a health up to 2 are needed", e.Name, e.Health)
}
