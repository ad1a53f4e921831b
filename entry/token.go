package entry

import "encoding/binary"

// attemptTokenLen is the length of the token of an attempt, in bytes. RFC 7252, section
// 3, allows up to 8.
const attemptTokenLen = 8

// WithToken returns a copy of m with the given token and message ID.
func (m Message) WithToken(token []byte, id uint16) Message {
	m.Token = token
	m.ID = id
	return m
}

// AttemptToken returns the CoAP token of the attempt with the number n.
func AttemptToken(n uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, n)
}

// ParseAttemptToken returns the number of the attempt to which token belongs, and false
// if token does not have the length of an attempt's token.
func ParseAttemptToken(token []byte) (uint64, bool) {
	if len(token) != attemptTokenLen {
		return 0, false
	}
	return binary.BigEndian.Uint64(token), true
}

// CallerToken returns the type of a caller's message, in the first byte, and its token.
// Another balancer needs both to respond to the message with ReplyTo.
func CallerToken(m Message) string {
	return string(append([]byte{byte(m.Type)}, m.Token...))
}

// ReplyTo returns a response with the code c to the message that has the given
// CallerToken and message ID.
func ReplyTo(callerToken string, id uint16, c Code) Message {
	request := Message{ID: id}
	if callerToken != "" {
		request.Type = Type(callerToken[0])
		request.Token = []byte(callerToken[1:])
	}
	return request.Reply(c)
}
