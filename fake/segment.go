package fake

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/platform"
)

// Layout of a packet, as the users' pages give it: little-endian numbers.
const (
	segmentHeaderSize = 32
	maxSegmentData    = 1200
)

// Flags of a segment.
const (
	segRst = 2
	segAck = 4
	segSyn = 16
	segFin = 32
)

// segment is a packet of a flow, as its two ends write and read it.
type segment struct {
	stamp    uint32
	flags    byte
	to, from netip.AddrPort
	seq, ack uint32
	data     []byte
	// checksumValid says that the sum is that of an end of the flow.
	checksumValid bool
}

func (s segment) has(flags byte) bool {
	return s.flags&flags == flags
}

// checksumKey is the key of the ends' sum, which hosts do not know.
const checksumKey = "fake ends"

// encode returns the packet behind room for prefix bytes.
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

// decodeSegment reads a packet.
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

// segmentChecksum is the keyed sum over all fields but echo, pad and the sum itself.
func segmentChecksum(b []byte) uint32 {
	h := xxhash.New()
	_, _ = h.WriteString(checksumKey)
	_, _ = h.Write(b[4:5])
	_, _ = h.Write(b[6:18])
	_, _ = h.Write(b[22:])
	return uint32(h.Sum64())
}

func putIP(b []byte, a netip.Addr) {
	ip := a.As4()
	b[0], b[1], b[2], b[3] = ip[3], ip[2], ip[1], ip[0]
}

func getIP(b []byte) netip.Addr {
	return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]})
}

// targetPrefixSize is the number of bytes in front of a packet for a target.
const targetPrefixSize = platform.PrefixSize
