// Package packet defines the fields of a packet of a caller's flow that a balancer
// reads. The content of a flow is for its two ends only and is never read.
//
// # Usage
//
//	p, err := platform.ParsePacket(datagram)
//	if p.IsOpening() {
//		// the first packet of a flow, or a retransmission of it
//	}
//
// A Packet is a small value without pointers: it is passed by value and needs no
// allocation.
package packet

import (
	"encoding/binary"
	"net/netip"
)

// FlowKey identifies a flow by its 4-tuple: the IP address and port of the caller and
// of the service. IP addresses are IPv4, in numeric form: the first octet is the
// most significant byte.
type FlowKey struct {
	CallerIP    uint32
	ServiceIP   uint32
	CallerPort  uint16
	ServicePort uint16
}

// Caller returns the caller's IP address and port.
func (f FlowKey) Caller() netip.AddrPort {
	return endpoint(f.CallerIP, f.CallerPort)
}

// Service returns the IP address and port of the service.
func (f FlowKey) Service() netip.AddrPort {
	return endpoint(f.ServiceIP, f.ServicePort)
}

// endpoint returns the address of an IPv4 address in numeric form and a port.
func endpoint(ip uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}

// Flags are the header flags of a packet, one bit each.
type Flags uint8

// Header flags. Their values differ from the bits in a received packet, which the
// package platform translates.
const (
	// Syn marks an opening packet, the first one of a flow.
	Syn Flags = 1 << iota
	// Ack marks a packet that acknowledges data.
	Ack
	// Fin marks the end of the sender's data.
	Fin
	// Rst marks a packet that resets the flow.
	Rst
)

// Packet is one packet from a caller.
type Packet struct {
	Flow  FlowKey
	Flags Flags
	// Stamp is the 32-bit identifier of the flow's target. Both ends copy it into all
	// packets after the first response. It is 0 in an opening packet.
	Stamp uint32
	// Retransmits is the number of earlier sends of an opening packet; 0 for other
	// packets.
	Retransmits uint32
	// Seq is the sequence number of the first byte of data in the caller's stream.
	Seq uint32
	// AckSeq is the sequence number up to which the caller has received the target's
	// stream.
	AckSeq uint32
	// Size is the number of bytes of data.
	Size uint16
}

// IsOpening reports whether p is an opening packet: the first packet of a flow, or a
// retransmission of it.
func (p Packet) IsOpening() bool {
	return p.Flags&Syn != 0
}

// HasFlags reports whether p has all of the flags f.
func (p Packet) HasFlags(f Flags) bool {
	return p.Flags&f == f
}

// EndSeq returns the sequence number after the last byte of data.
func (p Packet) EndSeq() uint32 {
	return p.Seq + uint32(p.Size)
}

// SeqAfter reports whether sequence number a comes after b. Sequence numbers wrap
// around, so a must be less than 1<<31 away from b.
func SeqAfter(a, b uint32) bool {
	return int32(a-b) > 0
}
