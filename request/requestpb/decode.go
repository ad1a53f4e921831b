package requestpb

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriaweir/request"
)

// maxDurationMicros is the maximum duration in a message in microseconds: 1 h.
const maxDurationMicros = uint64(time.Hour / time.Microsecond)

// Unmarshal decodes and validates a message. The error is an *UnmarshalError.
func Unmarshal(b []byte) (request.Message, error) {
	var pb Message
	if err := proto.Unmarshal(b, &pb); err != nil {
		return nil, &UnmarshalError{Field: "encoding", Err: err}
	}
	var d decoder
	m := d.message(&pb)
	if d.invalidField != "" {
		return nil, &UnmarshalError{Field: d.invalidField}
	}
	return m, nil
}

// decoder decodes one message and records the first invalid field.
type decoder struct {
	// invalidField is the name of the first invalid field, empty if there is none.
	invalidField string
}

// check records field as invalid unless ok is set or another field was recorded.
func (d *decoder) check(ok bool, field string) {
	if !ok && d.invalidField == "" {
		d.invalidField = field
	}
}

func (d *decoder) message(pb *Message) request.Message {
	switch k := pb.Kind.(type) {
	case *Message_Hop:
		return request.Hop{Request: d.request(k.Hop.GetRequest()), Stamp: k.Hop.GetStamp()}
	case *Message_Taken:
		return request.Taken{Key: d.key(k.Taken.GetKey()), Stamp: k.Taken.GetStamp()}
	case *Message_Stale:
		return request.StaleStamp{Key: d.key(k.Stale.GetKey()), Stamp: k.Stale.GetStamp()}
	case *Message_Done:
		return request.Done{Key: d.key(k.Done)}
	case *Message_Forgotten:
		return request.UnknownRequest{Key: d.key(k.Forgotten)}
	case *Message_Cancel:
		return request.Cancel{Key: d.key(k.Cancel.GetKey()), Service: k.Cancel.GetService()}
	case *Message_Push:
		return d.push(k.Push)
	case *Message_Pushed:
		p := k.Pushed
		return request.PushReply{Token: p.GetToken(), Refused: p.GetRefused(), RetryAfter: d.duration(p.GetRetryAfterUs())}
	case *Message_Load:
		return decodeLoad(k.Load)
	case *Message_Repeat:
		return request.Repeat{Request: d.request(k.Repeat)}
	default:
		return d.claimMessage(pb)
	}
}

// claimMessage decodes the messages between claim owners and claim holders.
func (d *decoder) claimMessage(pb *Message) request.Message {
	switch k := pb.Kind.(type) {
	case *Message_Yield:
		return d.yield(k.Yield)
	case *Message_Ask:
		a := k.Ask
		return request.ClaimRequest{Set: a.GetSet(), Digest: d.digest(a.GetDigest()), Service: a.GetService(), Nonce: a.GetNonce()}
	case *Message_Vote:
		return d.vote(k.Vote)
	case *Message_Beat:
		return request.ClaimHolderHeartbeat{Set: k.Beat.GetSet()}
	case *Message_Fetch:
		return request.HandoverRequest{Set: k.Fetch.GetSet(), FirstDigest: d.digest(k.Fetch.GetFrom()), RetainsClaims: k.Fetch.GetKept()}
	case *Message_Claims:
		return d.claims(k.Claims)
	default:
		d.check(false, "kind")
		return nil
	}
}

func (d *decoder) request(pb *Request) request.Request {
	d.check(pb.GetCode() <= math.MaxUint8, "code")
	return request.Request{
		Key:        d.key(pb.GetKey()),
		Service:    pb.GetService(),
		Code:       uint8(pb.GetCode()),
		Repeatable: pb.GetRepeatable(),
		Remaining:  d.duration(pb.GetLeftUs()),
		Payload:    pb.GetPayload(),
	}
}

func (d *decoder) key(pb *Key) request.Key {
	d.check(pb.GetMessageId() <= math.MaxUint16, "message id")
	return request.Key{
		Caller:    d.addr(pb.GetCaller()),
		Address:   d.addr(pb.GetAddress()),
		Token:     string(pb.GetToken()),
		MessageID: uint16(pb.GetMessageId()),
	}
}

func (d *decoder) addr(b []byte) netip.AddrPort {
	n := len(b) - 2
	if n < 0 {
		d.check(false, "address")
		return netip.AddrPort{}
	}
	ip, ok := netip.AddrFromSlice(b[:n])
	d.check(ok, "address")
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[n:]))
}

func (d *decoder) duration(us uint64) time.Duration {
	d.check(us <= maxDurationMicros, "duration")
	return time.Duration(min(us, maxDurationMicros)) * time.Microsecond
}

func (d *decoder) digest(b []byte) request.Digest {
	var digest request.Digest
	d.check(len(b) == len(digest), "digest")
	copy(digest[:], b)
	return digest
}

func (d *decoder) push(pb *Push) request.Push {
	return request.Push{
		Token:   pb.GetToken(),
		Number:  pb.GetNumber(),
		Request: d.request(pb.GetRequest()),
		Stamp:   pb.GetStamp(),
	}
}

func decodeLoad(pb *Load) request.LoadReport {
	return request.LoadReport{
		Service:          pb.GetService(),
		Free:             pb.GetFree(),
		Slots:            pb.GetSlots(),
		Queued:           pb.GetQueued(),
		NewestPushNumber: pb.GetNumber(),
		Stamp:            pb.GetStamp(),
	}
}

func decodePeer(pb *Peer) request.Peer {
	return request.Peer{Name: pb.GetName(), Life: pb.GetLife()}
}

func (d *decoder) yield(pb *Yield) request.Yield {
	m := request.Yield{Request: d.request(pb.GetRequest()), Set: pb.GetSet()}
	for _, h := range pb.GetHolders() {
		m.Holders = append(m.Holders, decodePeer(h))
	}
	return m
}

func (d *decoder) vote(pb *Vote) request.Vote {
	d.check(pb.GetGrade() <= uint32(request.VoteUnready), "grade")
	return request.Vote{
		Set:      pb.GetSet(),
		Nonce:    pb.GetNonce(),
		Decision: request.VoteDecision(pb.GetGrade()),
		Owner:    decodePeer(pb.GetOwner()),
	}
}

func (d *decoder) claims(pb *Claims) request.HandoverReply {
	m := request.HandoverReply{Set: pb.GetSet(), Ready: pb.GetReady(), FirstDigest: d.digest(pb.GetFrom()), IsLast: pb.GetLast()}
	for _, cl := range pb.GetClaims() {
		m.Claims = append(m.Claims, request.Claim{
			Digest:    d.digest(cl.GetDigest()),
			Service:   cl.GetService(),
			Owner:     decodePeer(cl.GetOwner()),
			Nonce:     cl.GetNonce(),
			Remaining: d.duration(cl.GetLeftUs()),
		})
	}
	d.check(m.IsLast || !m.Ready || len(m.Claims) > 0, "claims")
	return m
}
