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

// The header of a forwarded packet consists of a prefix and a message authentication
// code (MAC). The prefix is the version, the kind, the hop count and an unused byte,
// one byte each, and the 8-byte hash of the receiver's name. The MAC covers the prefix
// and the datagram after the header.
const (
	// hopVersion is the version in the first byte.
	hopVersion = 1
	// hopPrefixSize is the size of the prefix, in bytes.
	hopPrefixSize = 12
	// hopMACSize is the size of the truncated HMAC-SHA-256, in bytes.
	hopMACSize = 16
	// hopHeaderSize is the size of the header, in bytes.
	hopHeaderSize = hopPrefixSize + hopMACSize

	// MinHopKeySize is the shortest hop key, in bytes.
	MinHopKeySize = 16
)

// HopKeys are the keys that authenticate hop packets. A key is replaced in three
// steps, each of them on all balancers before the next one: the new key becomes
// Accept, then the new key becomes Sign and the old one Accept, then Accept becomes
// empty.
type HopKeys struct {
	// Sign is the key with which sent packets are signed. Received packets that are
	// signed with it are accepted.
	Sign []byte
	// Accept is a second key, which may be empty. Received packets that are signed with
	// it are accepted too.
	Accept []byte
}

// ReadHopKeys reads keys from a file. Its first line is Sign; its second line, which
// may be absent, is Accept. The error is a *KeyError.
func ReadHopKeys(path string) (HopKeys, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return HopKeys{}, &KeyError{Path: path, Err: err}
	}
	sign, accept, _ := bytes.Cut(bytes.TrimSpace(b), []byte("\n"))
	keys := HopKeys{Sign: bytes.TrimSpace(sign), Accept: bytes.TrimSpace(accept)}
	if len(keys.Sign) < MinHopKeySize {
		return HopKeys{}, &KeyError{Path: path, Err: &HopKeyError{Size: len(keys.Sign), Min: MinHopKeySize}}
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

// HopError reports a hop packet that could not be sent.
type HopError struct {
	To  string
	Err error
}

func (e *HopError) Error() string { return fmt.Sprintf("hop to %s: %v", e.To, e.Err) }

// Unwrap returns the cause.
func (e *HopError) Unwrap() error { return e.Err }

// HopFormatError reports a received packet that is not a valid hop packet.
type HopFormatError struct {
	// Reason describes what is invalid.
	Reason string
}

func (e *HopFormatError) Error() string { return "forwarded packet: " + e.Reason }

// hopKeyring contains the keys of a HopKeys in the form in which they are used.
type hopKeyring struct {
	// isUnauthenticated reports whether there are no keys, so that packets are signed
	// with an empty key.
	isUnauthenticated bool
	sign              *hopKey
	// accept may be nil.
	accept *hopKey
}

// hopKey computes MACs with one key. It is safe for concurrent use.
type hopKey struct {
	hashes sync.Pool
}

// hopHash is a hash with a buffer for its result.
type hopHash struct {
	hash.Hash
	sum [sha256.Size]byte
}

func newHopKey(secret []byte) *hopKey {
	k := &hopKey{}
	k.hashes.New = func() any { return &hopHash{Hash: hmac.New(sha256.New, secret)} }
	return k
}

// newHopKeyring returns the keyring of k for a hop that listens on the given address.
// It may be without keys only on a loopback address.
func newHopKeyring(k HopKeys, listen netip.AddrPort) (*hopKeyring, error) {
	if len(k.Sign) == 0 && len(k.Accept) == 0 {
		if !listen.Addr().IsLoopback() {
			return nil, &InsecureError{Addr: listen}
		}
		return &hopKeyring{isUnauthenticated: true, sign: newHopKey(nil)}, nil
	}
	if len(k.Sign) < MinHopKeySize {
		return nil, &HopKeyError{Size: len(k.Sign), Min: MinHopKeySize}
	}
	keyring := &hopKeyring{sign: newHopKey(k.Sign)}
	if len(k.Accept) == 0 {
		return keyring, nil
	}
	if len(k.Accept) < MinHopKeySize {
		return nil, &HopKeyError{Size: len(k.Accept), Min: MinHopKeySize}
	}
	keyring.accept = newHopKey(k.Accept)
	return keyring, nil
}

// computeMAC writes the MAC of prefix and datagram to out.
func (k *hopKey) computeMAC(out *[hopMACSize]byte, prefix, datagram []byte) {
	h := k.hashes.Get().(*hopHash)
	defer k.hashes.Put(h)
	h.Reset()
	h.Write(prefix)
	h.Write(datagram)
	copy(out[:], h.Sum(h.sum[:0]))
}

// isValidMAC reports whether mac is the MAC of prefix and datagram. It reports false
// if k is nil.
func (k *hopKey) isValidMAC(mac, prefix, datagram []byte) bool {
	if k == nil {
		return false
	}
	var want [hopMACSize]byte
	k.computeMAC(&want, prefix, datagram)
	return hmac.Equal(mac, want[:])
}

// seal appends the signed packet for the receiver named to, and returns the result.
func (r *hopKeyring) seal(b []byte, to string, kind HopKind, hopCount uint8, datagram []byte) []byte {
	b = append(b, hopVersion, byte(kind), hopCount, 0)
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64String(to))
	var mac [hopMACSize]byte
	r.sign.computeMAC(&mac, b[len(b)-hopPrefixSize:], datagram)
	b = append(b, mac[:]...)
	return append(b, datagram...)
}

// open verifies a packet that the balancer named self has received. The Datagram of
// the result shares b's memory. The error is a *HopFormatError.
func (r *hopKeyring) open(b []byte, self string) (HopPacket, error) {
	if len(b) < hopHeaderSize {
		return HopPacket{}, errHopShort
	}
	if b[0] != hopVersion || b[3] != 0 {
		return HopPacket{}, errHopVersion
	}
	prefix, mac, datagram := b[:hopPrefixSize], b[hopPrefixSize:hopHeaderSize], b[hopHeaderSize:]
	if !r.sign.isValidMAC(mac, prefix, datagram) && !r.accept.isValidMAC(mac, prefix, datagram) {
		return HopPacket{}, errHopMAC
	}
	if binary.BigEndian.Uint64(prefix[4:]) != xxhash.Sum64String(self) {
		return HopPacket{}, errHopReceiver
	}
	return HopPacket{Kind: HopKind(b[1]), HopCount: b[2], Datagram: datagram}, nil
}

// The errors of open are allocated once, because anyone can send malformed packets.
var (
	errHopShort    error = &HopFormatError{Reason: "too short"}
	errHopVersion  error = &HopFormatError{Reason: "another version"}
	errHopMAC      error = &HopFormatError{Reason: "not signed with an accepted key"}
	errHopReceiver error = &HopFormatError{Reason: "meant for another balancer"}
)

// isClosed reports whether err was caused by a closed socket.
func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}
