package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagRst = 2
	flagAck = 4
	flagSyn = 16
	flagFin = 32
)

const (
	// headerSize is the size of a packet's header in bytes.
	headerSize = 32
	// prefixSize is the size of the prefix that names the target, in bytes.
	prefixSize = 8
	// maxDatagram is the size of the largest datagram in bytes.
	maxDatagram = prefixSize + headerSize + 1200
)

// wirePacket is one packet of a flow.
type wirePacket struct {
	echo     uint32
	flags    byte
	dst, src netip.AddrPort
	seq, ack uint32
	data     []byte
}

// has reports whether all given flags are set.
func (p wirePacket) has(flags byte) bool {
	return p.flags&flags == flags
}

// encode returns the bytes of p. The sum covers all fields but the echo, as the platform's does.
func (p wirePacket) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.LittleEndian.PutUint32(b[0:], p.echo)
	b[4] = p.flags
	binary.LittleEndian.PutUint32(b[6:], ipNumber(p.dst.Addr()))
	binary.LittleEndian.PutUint32(b[10:], ipNumber(p.src.Addr()))
	binary.LittleEndian.PutUint16(b[14:], p.dst.Port())
	binary.LittleEndian.PutUint16(b[16:], p.src.Port())
	binary.LittleEndian.PutUint16(b[22:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[24:], p.seq)
	binary.LittleEndian.PutUint32(b[28:], p.ack)
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[18:], crc32.ChecksumIEEE(b[4:]))
	return b
}

// decode returns the packet in b, and false if b is none.
func decode(b []byte) (wirePacket, bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.LittleEndian.Uint16(b[22:])) {
		return wirePacket{}, false
	}
	return wirePacket{
		echo:  binary.LittleEndian.Uint32(b[0:]),
		flags: b[4],
		dst:   netip.AddrPortFrom(ipOf(binary.LittleEndian.Uint32(b[6:])), binary.LittleEndian.Uint16(b[14:])),
		src:   netip.AddrPortFrom(ipOf(binary.LittleEndian.Uint32(b[10:])), binary.LittleEndian.Uint16(b[16:])),
		seq:   binary.LittleEndian.Uint32(b[24:]),
		ack:   binary.LittleEndian.Uint32(b[28:]),
		data:  append([]byte(nil), b[headerSize:]...),
	}, true
}

// ipNumber returns an IPv4 address as a number.
func ipNumber(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

// ipOf returns the IPv4 address of a number.
func ipOf(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}
