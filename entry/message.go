package entry

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// Code is a CoAP method or response code.
type Code uint8

// The codes that balancers, callers and targets use. Source: RFC 7252, section 12.1,
// and RFC 8516 for CodeTooManyRequests.
const (
	// CodeEmpty is the code of an empty message, 0.00.
	CodeEmpty = Code(codes.Empty)
	// CodeGet is the method GET.
	CodeGet = Code(codes.GET)
	// CodePost is the method POST.
	CodePost = Code(codes.POST)
	// CodePut is the method PUT.
	CodePut = Code(codes.PUT)
	// CodeDelete is the method DELETE.
	CodeDelete = Code(codes.DELETE)
	// CodeChanged is the response 2.04 (Changed).
	CodeChanged = Code(codes.Changed)
	// CodeContent is the response 2.05 (Content).
	CodeContent = Code(codes.Content)
	// CodeBadRequest is the response 4.00 (Bad Request).
	CodeBadRequest = Code(codes.BadRequest)
	// CodeTooManyRequests is the response 4.29 (Too Many Requests).
	CodeTooManyRequests = Code(codes.TooManyRequests)
	// CodeServiceUnavailable is the response 5.03 (Service Unavailable).
	CodeServiceUnavailable = Code(codes.ServiceUnavailable)
	// CodeGatewayTimeout is the response 5.04 (Gateway Timeout).
	CodeGatewayTimeout = Code(codes.GatewayTimeout)
)

// IsRequest reports whether c is a method.
func (c Code) IsRequest() bool {
	return c >= CodeGet && c < 32
}

// IsIdempotent reports whether a request with the method c may be executed more than
// once. Source: RFC 7252, section 5.1.
func (c Code) IsIdempotent() bool {
	return c == CodeGet || c == CodePut || c == CodeDelete
}

// Type is a CoAP message type.
type Type uint8

// The message types. Source: RFC 7252, section 3.
const (
	// TypeConfirmable is a message that the receiver has to acknowledge.
	TypeConfirmable = Type(message.Confirmable)
	// TypeNonConfirmable is a message that the receiver does not acknowledge.
	TypeNonConfirmable = Type(message.NonConfirmable)
	// TypeAcknowledgement acknowledges a confirmable message.
	TypeAcknowledgement = Type(message.Acknowledgement)
	// TypeReset reports that a message was received but cannot be processed.
	TypeReset = Type(message.Reset)
)

// deadlineOption is the CoAP option with the remaining time for which the sender waits
// for the response, in milliseconds. It is elective, and its number is in the
// experimental range.
const deadlineOption message.OptionID = 65000

// maxOptions is the largest number of options in a message.
const maxOptions = 32

// Message is one CoAP message.
type Message struct {
	Type Type
	Code Code
	// ID is the message ID, which pairs a confirmable message with its
	// acknowledgement.
	ID uint16
	// Token pairs a request with its response. It has at most 8 bytes.
	Token []byte
	// Timeout is the time for which the caller waits for the response, 0 if the
	// message does not contain it.
	Timeout time.Duration
	// MaxAge is, with CodeServiceUnavailable, the time after which the caller may repeat the
	// request. It is encoded in seconds, rounded up.
	MaxAge  time.Duration
	Payload []byte

	// options are the options with which the message was parsed.
	options message.Options
}

// MessageError reports a payload that is not a valid CoAP message, or a message that
// cannot be encoded.
type MessageError struct {
	Err error
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("coap message: %v", e.Err)
}

// Unwrap returns the error of the decoder or encoder.
func (e *MessageError) Unwrap() error {
	return e.Err
}

// ParseMessage decodes one CoAP message, which shares b's memory. The error is
// a *MessageError.
func ParseMessage(b []byte) (Message, error) {
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(b, &m); err != nil {
		return Message{}, &MessageError{Err: err}
	}
	out := Message{
		Type:    Type(m.Type),
		Code:    Code(m.Code),
		ID:      uint16(m.MessageID),
		Token:   m.Token,
		Payload: m.Payload,
		options: m.Options,
	}
	if ms, err := m.Options.GetUint32(deadlineOption); err == nil {
		out.Timeout = time.Duration(ms) * time.Millisecond
	}
	if s, err := m.Options.GetUint32(message.MaxAge); err == nil {
		out.MaxAge = time.Duration(s) * time.Second
	}
	return out, nil
}

// Encode returns m in wire form. It includes the options with which m was parsed. The
// error is a *MessageError.
func (m Message) Encode() ([]byte, error) {
	options := make(message.Options, 0, len(m.options)+2)
	for _, o := range m.options {
		if o.ID != deadlineOption && o.ID != message.MaxAge {
			options = options.Add(o)
		}
	}
	if m.Timeout > 0 {
		options = options.Add(uintOption(deadlineOption, uint32(m.Timeout/time.Millisecond)))
	}
	if m.MaxAge > 0 {
		seconds := (m.MaxAge + time.Second - 1) / time.Second
		options = options.Add(uintOption(message.MaxAge, uint32(seconds)))
	}
	wire := message.Message{
		Type:      message.Type(m.Type),
		Code:      codes.Code(m.Code),
		MessageID: int32(m.ID),
		Token:     m.Token,
		Options:   options,
		Payload:   m.Payload,
	}
	size, err := coder.DefaultCoder.Size(wire)
	if err != nil {
		return nil, &MessageError{Err: err}
	}
	b := make([]byte, size)
	if _, err := coder.DefaultCoder.Encode(wire, b); err != nil {
		return nil, &MessageError{Err: err}
	}
	return b, nil
}

// uintOption returns an option with the value v in the fewest bytes, as CoAP requires.
func uintOption(id message.OptionID, v uint32) message.Option {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], v)
	i := 0
	for i < len(b) && b[i] == 0 {
		i++
	}
	return message.Option{ID: id, Value: b[i:]}
}

// Reply returns a response to the request m with the code c and without a payload. The
// response is piggybacked on the acknowledgement if m is confirmable. Source: RFC 7252,
// section 5.2.
func (m Message) Reply(c Code) Message {
	t := TypeNonConfirmable
	if m.Type == TypeConfirmable {
		t = TypeAcknowledgement
	}
	return Message{Type: t, Code: c, ID: m.ID, Token: m.Token}
}
