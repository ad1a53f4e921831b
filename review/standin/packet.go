package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Layout of a packet of a flow, as the users' protocol defines it.
const (
	headerSize = 32
	prefixSize = 8
	// maxData is the largest size of the data of a packet.
	maxData = 1200
)

// Flags of a packet.
const (
	flagRst = 2
	flagAck = 4
	flagSyn = 16
	flagFin = 32
)

// sumKey is the key of the sum over a packet. Hosts do not know it.
const sumKey = "the ends of a flow"

// packet is one packet of a flow.
type packet struct {
	echo     uint32
	flags    byte
	dst, src netip.AddrPort
	seq, ack uint32
	data     []byte
	// genuine reports whether the sum of a received packet is right, so that an end of the
	// flow wrote it. A reset of the system has the sum 0 and is not genuine.
	genuine bool
}

func (p packet) has(flags byte) bool {
	return p.flags&flags == flags
}

// endSeq returns the sequence number after the packet.
func (p packet) endSeq() uint32 {
	end := p.seq + uint32(len(p.data))
	if p.has(flagFin) {
		end++
	}
	return end
}

// encode returns the packet as a datagram without a prefix.
func (p packet) encode() []byte {
	b := make([]byte, headerSize+len(p.data))
	binary.LittleEndian.PutUint32(b, p.echo)
	b[4] = p.flags
	putIP(b[6:], p.dst.Addr())
	putIP(b[10:], p.src.Addr())
	binary.LittleEndian.PutUint16(b[14:], p.dst.Port())
	binary.LittleEndian.PutUint16(b[16:], p.src.Port())
	binary.LittleEndian.PutUint16(b[22:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[24:], p.seq)
	binary.LittleEndian.PutUint32(b[28:], p.ack)
	copy(b[headerSize:], p.data)
	binary.LittleEndian.PutUint32(b[18:], sumOf(b))
	return b
}

// decode parses a datagram without a prefix. It returns false if its length is wrong.
func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.LittleEndian.Uint16(b[22:])) {
		return packet{}, false
	}
	return packet{
		echo:    binary.LittleEndian.Uint32(b),
		flags:   b[4],
		dst:     netip.AddrPortFrom(getIP(b[6:]), binary.LittleEndian.Uint16(b[14:])),
		src:     netip.AddrPortFrom(getIP(b[10:]), binary.LittleEndian.Uint16(b[16:])),
		seq:     binary.LittleEndian.Uint32(b[24:]),
		ack:     binary.LittleEndian.Uint32(b[28:]),
		data:    append([]byte(nil), b[headerSize:]...),
		genuine: binary.LittleEndian.Uint32(b[18:]) == sumOf(b),
	}, true
}

// sumOf returns the keyed sum over all fields but echo, pad and the sum itself.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(b[4:5])
	_, _ = h.Write(b[6:18])
	_, _ = h.Write(b[22:])
	return max(h.Sum32(), 1)
}

func putIP(b []byte, a netip.Addr) {
	ip := a.As4()
	b[0], b[1], b[2], b[3] = ip[3], ip[2], ip[1], ip[0]
}

func getIP(b []byte) netip.Addr {
	return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]})
}

// isAfter reports whether the sequence number a comes after b.
func isAfter(a, b uint32) bool {
	return int32(a-b) > 0
}
