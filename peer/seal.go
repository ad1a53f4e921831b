package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// The header of a forwarded packet: version, kind, count, one unused byte, the
// hash of the receiver's name, and the authentication code of all the rest.
const (
	hopVersion = 1
	hopPrefix  = 12
	hopCode    = 16
	hopHeader  = hopPrefix + hopCode

	// MinHopKey is the shortest hop key, in bytes.
	MinHopKey = 16
)

// HopKeys are the secrets of the hop. Keys change in three steps, each on all
// balancers: the new one is added to Accept, then signs with the old one in
// Accept, then is alone.
type HopKeys struct {
	// Sign is the key of what is sent, and is accepted too.
	Sign []byte
	// Accept is one more key that is accepted, or empty.
	Accept []byte
}

// ReadHopKeys reads keys from a file: the first line is Sign, the second one
// Accept or absent.
func ReadHopKeys(path string) (HopKeys, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return HopKeys{}, &KeyError{Path: path, Err: err}
	}
	sign, accept, _ := bytes.Cut(bytes.TrimSpace(b), []byte("\n"))
	keys := HopKeys{Sign: bytes.TrimSpace(sign), Accept: bytes.TrimSpace(accept)}
	if len(keys.Sign) < MinHopKey {
		return HopKeys{}, &KeyError{Path: path, Err: &HopKeyError{Size: len(keys.Sign), Min: MinHopKey}}
	}
	return keys, nil
}

// HopKeyError reports a hop key that is too short. Sizes are in bytes.
type HopKeyError struct {
	Size int
	Min  int
}

func (e *HopKeyError) Error() string {
	return fmt.Sprintf("hop key of %d bytes: at least %d are needed", e.Size, e.Min)
}

// HopError reports a packet that could not be sent.
type HopError struct {
	To  string
	Err error
}

func (e *HopError) Error() string { return fmt.Sprintf("hop to %s: %v", e.To, e.Err) }

// Unwrap returns the cause.
func (e *HopError) Unwrap() error { return e.Err }

// HopFormatError reports a received packet that is not a valid one.
type HopFormatError struct {
	Reason string
}

func (e *HopFormatError) Error() string { return "forwarded packet: " + e.Reason }

// hopKeyring holds the key states of a HopKeys.
type hopKeyring struct {
	plain  bool
	sign   *hopKey
	accept *hopKey
}

// hopKey makes authentication codes from any goroutine.
type hopKey struct {
	hashes sync.Pool
}

// hopHash is one hash with the room for its result.
type hopHash struct {
	hash.Hash
	sum [sha256.Size]byte
}

func newHopKey(secret []byte) *hopKey {
	k := &hopKey{}
	k.hashes.New = func() any { return &hopHash{Hash: hmac.New(sha256.New, secret)} }
	return k
}

func newHopKeyring(k HopKeys, listen netip.AddrPort) (*hopKeyring, error) {
	if len(k.Sign) == 0 && len(k.Accept) == 0 {
		if !listen.Addr().IsLoopback() {
			return nil, &InsecureError{Addr: listen}
		}
		return &hopKeyring{plain: true, sign: newHopKey(nil)}, nil
	}
	if len(k.Sign) < MinHopKey {
		return nil, &HopKeyError{Size: len(k.Sign), Min: MinHopKey}
	}
	ring := &hopKeyring{sign: newHopKey(k.Sign)}
	if len(k.Accept) == 0 {
		return ring, nil
	}
	if len(k.Accept) < MinHopKey {
		return nil, &HopKeyError{Size: len(k.Accept), Min: MinHopKey}
	}
	ring.accept = newHopKey(k.Accept)
	return ring, nil
}

// code puts the authentication code of prefix and datagram into out.
func (k *hopKey) code(out *[hopCode]byte, prefix, datagram []byte) {
	h := k.hashes.Get().(*hopHash)
	defer k.hashes.Put(h)
	h.Reset()
	h.Write(prefix)
	h.Write(datagram)
	copy(out[:], h.Sum(h.sum[:0]))
}

func (k *hopKey) valid(code, prefix, datagram []byte) bool {
	if k == nil {
		return false
	}
	var want [hopCode]byte
	k.code(&want, prefix, datagram)
	return hmac.Equal(code, want[:])
}

// seal appends the packet for the receiver called to.
func (r *hopKeyring) seal(b []byte, to string, kind HopKind, count uint8, datagram []byte) []byte {
	b = append(b, hopVersion, byte(kind), count, 0)
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64String(to))
	var code [hopCode]byte
	r.sign.code(&code, b[len(b)-hopPrefix:], datagram)
	b = append(b, code[:]...)
	return append(b, datagram...)
}

// open checks a received packet. The datagram in the result is a part of b.
func (r *hopKeyring) open(b []byte, self string) (HopPacket, error) {
	if len(b) < hopHeader {
		return HopPacket{}, errHopShort
	}
	if b[0] != hopVersion || b[3] != 0 {
		return HopPacket{}, errHopVersion
	}
	prefix, code, datagram := b[:hopPrefix], b[hopPrefix:hopHeader], b[hopHeader:]
	if !r.sign.valid(code, prefix, datagram) && !r.accept.valid(code, prefix, datagram) {
		return HopPacket{}, errHopCode
	}
	if binary.BigEndian.Uint64(prefix[4:]) != xxhash.Sum64String(self) {
		return HopPacket{}, errHopReceiver
	}
	return HopPacket{Kind: HopKind(b[1]), HopCount: b[2], Datagram: datagram}, nil
}

// The errors of open are made once, since anyone can send rubbish.
var (
	errHopShort    error = &HopFormatError{Reason: "too short"}
	errHopVersion  error = &HopFormatError{Reason: "another version"}
	errHopCode     error = &HopFormatError{Reason: "no accepted key"}
	errHopReceiver error = &HopFormatError{Reason: "meant for another balancer"}
)

// isClosed reports whether err is the one of a closed socket.
func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}
