package fake

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/platform"
)

// Layout of a packet, as the user documentation defines it. Numbers are
// little-endian.
const (
	// segmentHeaderSize is the size of a packet's header in bytes.
	segmentHeaderSize = 32
	// maxSegmentData is the maximum size of the data that an endpoint sends in one
	// packet, in bytes.
	maxSegmentData = 1200
)

// Header flags of a segment.
const (
	// segRst resets the flow.
	segRst = 2
	// segAck indicates that the packet acknowledges received packets.
	segAck = 4
	// segSyn opens the flow. Together with segAck it means that the target accepts the
	// flow.
	segSyn = 16
	// segFin ends the stream of the sender.
	segFin = 32
)

// segment is a packet of a flow, as its two ends write and read it.
type segment struct {
	// stamp is the identifier of the target, which both ends copy into each packet.
	stamp    uint32
	flags    byte
	to, from netip.AddrPort
	seq, ack uint32
	data     []byte
	// checksumValid reports whether the checksum of a received packet is valid, which
	// means that an end of the flow wrote the packet.
	checksumValid bool
}

// has reports whether all the given flags are set.
func (s segment) has(flags byte) bool {
	return s.flags&flags == flags
}

// checksumKey is the key of the checksum. Hosts do not know it, so a packet that a
// host wrote or changed is detected. Hosts may change only the stamp, which the
// checksum does not cover.
const checksumKey = "fake ends"

// encode returns the packet with prefixSize zero bytes in front.
func (s segment) encode(prefixSize int) []byte {
	b := make([]byte, prefixSize+segmentHeaderSize+len(s.data))
	h := b[prefixSize:]
	binary.LittleEndian.PutUint32(h, s.stamp)
	h[4] = s.flags
	putIP(h[6:], s.to.Addr())
	putIP(h[10:], s.from.Addr())
	binary.LittleEndian.PutUint16(h[14:], s.to.Port())
	binary.LittleEndian.PutUint16(h[16:], s.from.Port())
	binary.LittleEndian.PutUint16(h[22:], uint16(len(s.data)))
	binary.LittleEndian.PutUint32(h[24:], s.seq)
	binary.LittleEndian.PutUint32(h[28:], s.ack)
	copy(h[segmentHeaderSize:], s.data)
	binary.LittleEndian.PutUint32(h[18:], segmentChecksum(h))
	return b
}

// decodeSegment decodes a packet, and returns false if its length is wrong. An
// invalid checksum is no error; see checksumValid.
func decodeSegment(b []byte) (segment, bool) {
	if len(b) < segmentHeaderSize || len(b) != segmentHeaderSize+int(binary.LittleEndian.Uint16(b[22:])) {
		return segment{}, false
	}
	return segment{
		stamp:         binary.LittleEndian.Uint32(b),
		flags:         b[4],
		to:            netip.AddrPortFrom(getIP(b[6:]), binary.LittleEndian.Uint16(b[14:])),
		from:          netip.AddrPortFrom(getIP(b[10:]), binary.LittleEndian.Uint16(b[16:])),
		seq:           binary.LittleEndian.Uint32(b[24:]),
		ack:           binary.LittleEndian.Uint32(b[28:]),
		data:          b[segmentHeaderSize:],
		checksumValid: binary.LittleEndian.Uint32(b[18:]) == segmentChecksum(b),
	}, true
}

// segmentChecksum returns the keyed checksum over all fields but the stamp, the
// padding and the checksum itself.
func segmentChecksum(b []byte) uint32 {
	h := xxhash.New()
	_, _ = h.WriteString(checksumKey)
	_, _ = h.Write(b[4:5])
	_, _ = h.Write(b[6:18])
	_, _ = h.Write(b[22:])
	return uint32(h.Sum64())
}

// putIP writes an IPv4 address in little-endian order.
func putIP(b []byte, a netip.Addr) {
	ip := a.As4()
	b[0], b[1], b[2], b[3] = ip[3], ip[2], ip[1], ip[0]
}

// getIP reads an IPv4 address in little-endian order.
func getIP(b []byte) netip.Addr {
	return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]})
}

// targetPrefixSize is the number of bytes before a packet that a host sends to a
// target.
const targetPrefixSize = platform.PrefixSize
