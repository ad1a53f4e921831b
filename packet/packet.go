// Package packet holds what a balancer reads of one packet of a caller's flow.
// The content of a flow belongs to its two ends and is never looked at.
//
// # Usage
//
//	p, err := platform.ParsePacket(datagram)
//	if p.IsOpening() {
//		// the first packet of a flow, or a copy of it
//	}
//
// A Packet is a small value without pointers: it is passed by value and costs
// no allocation.
package packet

import (
	"encoding/binary"
	"net/netip"
)

// FlowKey is the key of a flow: the endpoint of the caller and the address of the
// service. IP addresses are IPv4, in numeric form.
type FlowKey struct {
	CallerIP    uint32
	ServiceIP   uint32
	CallerPort  uint16
	ServicePort uint16
}

// Caller returns the endpoint of the caller.
func (f FlowKey) Caller() netip.AddrPort {
	return endpoint(f.CallerIP, f.CallerPort)
}

// Service returns the address that the caller called.
func (f FlowKey) Service() netip.AddrPort {
	return endpoint(f.ServiceIP, f.ServicePort)
}

func endpoint(ip uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}

// Flags are the marks of a packet.
type Flags uint8

// The marks of a packet. The platform's bits are translated at the edge.
const (
	// Syn opens a flow.
	Syn Flags = 1 << iota
	// Ack acknowledges data.
	Ack
	// Fin ends the data of the sender.
	Fin
	// Rst ends the flow at once.
	Rst
)

// Packet is one packet from a caller.
type Packet struct {
	Flow  FlowKey
	Flags Flags
	// Stamp is the 32-bit mark of the flow's target, copied by both ends into all
	// packets that follow the first answer; 0 in the first packet.
	Stamp uint32
	// Retransmits is the number of earlier sends of an opening packet; 0 for others.
	Retransmits uint32
	// Seq is the position of the first byte of data in the caller's stream.
	Seq uint32
	// AckSeq is the position up to which the caller has the target's stream.
	AckSeq uint32
	// Size is the number of bytes of data.
	Size uint16
}

// IsOpening reports whether p asks for a new flow.
func (p Packet) IsOpening() bool {
	return p.Flags&Syn != 0
}

// Has reports whether p carries all the marks f.
func (p Packet) Has(f Flags) bool {
	return p.Flags&f == f
}

// End returns the position behind the last byte of data.
func (p Packet) End() uint32 {
	return p.Seq + uint32(p.Size)
}

// SeqAfter reports whether position a lies behind position b, in the arithmetic
// of positions that wrap round.
func SeqAfter(a, b uint32) bool {
	return int32(a-b) > 0
}
