// Package requestpb encodes and decodes the messages of package request, which
// balancers send to each other, as protocol buffers.
//
// # Usage
//
//	b, err := requestpb.Marshal(request.Hop{Request: r})
//	m, err := requestpb.Unmarshal(b)
//
// Unmarshal validates each field. The error for an invalid message is an
// *UnmarshalError.
//
// request.pb.go is generated from request.proto by protoc with protoc-gen-go.
package requestpb

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriaweir/request"
)

// UnmarshalError reports bytes that are not a valid message.
type UnmarshalError struct {
	// Field is the invalid field, or "encoding" if the bytes are not a protocol
	// buffer.
	Field string
	// Err is the cause if Field is "encoding", otherwise nil.
	Err error
}

// Error returns a description that names the invalid field.
func (e *UnmarshalError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("message between balancers: %s: %v", e.Field, e.Err)
	}
	return fmt.Sprintf("message between balancers: %s is not valid", e.Field)
}

// Unwrap returns Err.
func (e *UnmarshalError) Unwrap() error { return e.Err }

// Marshal returns the encoding of m.
func Marshal(m request.Message) ([]byte, error) {
	return proto.Marshal(encode(m))
}

// Size returns the number of bytes of the encoding of m.
func Size(m request.Message) int {
	return proto.Size(encode(m))
}

// encode converts m to a protocol buffer. A message of an unknown type becomes an empty Message.
func encode(m request.Message) *Message {
	switch m := m.(type) {
	case request.Hop:
		return &Message{Kind: &Message_Hop{Hop: &Hop{Request: encodeRequest(m.Request), Stamp: m.Stamp}}}
	case request.Taken:
		return &Message{Kind: &Message_Taken{Taken: &Stamped{Key: encodeKey(m.Key), Stamp: m.Stamp}}}
	case request.StaleStamp:
		return &Message{Kind: &Message_Stale{Stale: &Stamped{Key: encodeKey(m.Key), Stamp: m.Stamp}}}
	case request.Done:
		return &Message{Kind: &Message_Done{Done: encodeKey(m.Key)}}
	case request.UnknownRequest:
		return &Message{Kind: &Message_Forgotten{Forgotten: encodeKey(m.Key)}}
	case request.Cancel:
		return &Message{Kind: &Message_Cancel{Cancel: &Cancel{Key: encodeKey(m.Key), Service: m.Service}}}
	case request.Push:
		return &Message{Kind: &Message_Push{Push: &Push{Token: m.Token, Number: m.Number, Request: encodeRequest(m.Request), Stamp: m.Stamp}}}
	case request.PushReply:
		return &Message{Kind: &Message_Pushed{Pushed: &Pushed{Token: m.Token, Refused: m.Refused, RetryAfterUs: toMicros(m.RetryAfter)}}}
	case request.LoadReport:
		return &Message{Kind: &Message_Load{Load: encodeLoad(m)}}
	case request.Repeat:
		return &Message{Kind: &Message_Repeat{Repeat: encodeRequest(m.Request)}}
	default:
		return encodeClaimMessage(m)
	}
}

// encodeClaimMessage converts the messages between claim owners and claim holders.
func encodeClaimMessage(m request.Message) *Message {
	switch m := m.(type) {
	case request.Yield:
		return &Message{Kind: &Message_Yield{Yield: encodeYield(m)}}
	case request.ClaimRequest:
		return &Message{Kind: &Message_Ask{Ask: &Ask{Set: m.Set, Digest: m.Digest[:], Service: m.Service, Nonce: m.Nonce}}}
	case request.Vote:
		return &Message{Kind: &Message_Vote{Vote: encodeVote(m)}}
	case request.ClaimHolderHeartbeat:
		return &Message{Kind: &Message_Beat{Beat: &Beat{Set: m.Set}}}
	case request.HandoverRequest:
		return &Message{Kind: &Message_Fetch{Fetch: &Fetch{Set: m.Set, From: m.FirstDigest[:], Kept: m.RetainsClaims}}}
	case request.HandoverReply:
		return &Message{Kind: &Message_Claims{Claims: encodeClaims(m)}}
	default:
		return &Message{}
	}
}

func encodeRequest(r request.Request) *Request {
	return &Request{
		Key:        encodeKey(r.Key),
		Service:    r.Service,
		Code:       uint32(r.Code),
		Repeatable: r.Repeatable,
		LeftUs:     toMicros(r.Remaining),
		Payload:    r.Payload,
	}
}

func encodeKey(k request.Key) *Key {
	return &Key{
		Caller:    encodeAddr(k.Caller),
		Address:   encodeAddr(k.Address),
		Token:     []byte(k.Token),
		MessageId: uint32(k.MessageID),
	}
}

// encodeAddr returns the 4 or 16 bytes of the IP address and 2 of the port.
func encodeAddr(a netip.AddrPort) []byte {
	return binary.BigEndian.AppendUint16(a.Addr().AsSlice(), a.Port())
}

func encodeLoad(m request.LoadReport) *Load {
	return &Load{Service: m.Service, Free: m.Free, Slots: m.Slots, Queued: m.Queued, Number: m.NewestPushNumber, Stamp: m.Stamp}
}

// encodePeer returns nil for the zero Peer.
func encodePeer(p request.Peer) *Peer {
	if p == (request.Peer{}) {
		return nil
	}
	return &Peer{Name: p.Name, Life: p.Life}
}

func encodeYield(m request.Yield) *Yield {
	y := &Yield{Request: encodeRequest(m.Request), Set: m.Set}
	for _, h := range m.Holders {
		y.Holders = append(y.Holders, encodePeer(h))
	}
	return y
}

func encodeVote(m request.Vote) *Vote {
	return &Vote{Set: m.Set, Nonce: m.Nonce, Grade: uint32(m.Decision), Owner: encodePeer(m.Owner)}
}

func encodeClaims(m request.HandoverReply) *Claims {
	claims := make([]*Claim, len(m.Claims))
	for i, cl := range m.Claims {
		claims[i] = &Claim{
			Digest:  cl.Digest[:],
			Service: cl.Service,
			Owner:   encodePeer(cl.Owner),
			Nonce:   cl.Nonce,
			LeftUs:  toMicros(cl.Remaining),
		}
	}
	return &Claims{Set: m.Set, Ready: m.Ready, From: m.FirstDigest[:], Last: m.IsLast, Claims: claims}
}

// toMicros returns d in microseconds, 0 if d is negative.
func toMicros(d time.Duration) uint64 {
	return uint64(max(0, d).Microseconds())
}
