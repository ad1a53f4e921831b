// Package entry encodes and decodes the datagrams that a balancer exchanges with the
// fabric, with targets and, through the fabric, with callers.
//
// Each datagram starts with a PROXY protocol version 2 header, which contains its
// source and its destination. In a datagram to a target, the source is the caller and
// the destination is the service address. A reply contains them the other way round,
// so that any balancer can forward it to the caller. The payload follows the header.
// It is opaque for a flow, and a CoAP message (RFC 7252) for a request.
//
// # Usage
//
//	b := entry.AppendHeader(nil, entry.Header{Source: caller, Destination: address})
//	h, payload, err := entry.ParseHeader(datagram)
//	m, err := entry.ParseMessage(payload)
package entry

import (
	"encoding/binary"
	"fmt"
	"net/netip"
)

// Header is the PROXY protocol header at the start of a datagram.
type Header struct {
	// Source is the sender: the caller, or the service address in a reply.
	Source netip.AddrPort
	// Destination is the receiver: the service address, or the caller in a reply.
	Destination netip.AddrPort
}

// HeaderError reports a datagram whose PROXY protocol header is invalid.
type HeaderError struct {
	// Reason describes what is invalid.
	Reason string
}

func (e *HeaderError) Error() string {
	return "proxy header: " + e.Reason
}

// Layout of a PROXY protocol version 2 header. Source: The PROXY protocol, versions 1
// and 2, section 2.2.
const (
	// proxySignature is the signature at the start of the header.
	proxySignature = "\r\n\r\n\x00\r\nQUIT\n"
	// proxyPrefixLen is the length of the part before the addresses, in bytes.
	proxyPrefixLen = 16
	// proxyIPv4Len is the length of the addresses and ports for IPv4, in bytes.
	proxyIPv4Len = 12
	// proxyIPv6Len is the length of the addresses and ports for IPv6, in bytes.
	proxyIPv6Len = 36

	// proxyVersionCommand is the byte for version 2 and the command PROXY.
	proxyVersionCommand = 0x21
	// proxyUDPv4 is the byte for the family IPv4 and the protocol UDP.
	proxyUDPv4 = 0x12
	// proxyUDPv6 is the byte for the family IPv6 and the protocol UDP.
	proxyUDPv6 = 0x22
)

// AppendHeader appends h in wire form to b and returns the result. If the two
// addresses are of different families, the IPv4 address is written as an IPv4-mapped
// IPv6 address.
func AppendHeader(b []byte, h Header) []byte {
	src := h.Source.Addr().Unmap()
	dst := h.Destination.Addr().Unmap()
	b = append(b, proxySignature...)
	if src.Is4() && dst.Is4() {
		b = append(b, proxyVersionCommand, proxyUDPv4, 0, proxyIPv4Len)
		s4 := src.As4()
		d4 := dst.As4()
		b = append(b, s4[:]...)
		b = append(b, d4[:]...)
	} else {
		b = append(b, proxyVersionCommand, proxyUDPv6, 0, proxyIPv6Len)
		s16 := src.As16()
		d16 := dst.As16()
		b = append(b, s16[:]...)
		b = append(b, d16[:]...)
	}
	b = binary.BigEndian.AppendUint16(b, h.Source.Port())
	return binary.BigEndian.AppendUint16(b, h.Destination.Port())
}

// ParseHeader decodes the header at the start of the datagram b. It returns the header
// and the payload after it, which shares b's memory. Extensions (TLVs) in the header
// are ignored. The error is a *HeaderError.
func ParseHeader(b []byte) (Header, []byte, error) {
	if len(b) < proxyPrefixLen {
		return Header{}, nil, &HeaderError{Reason: fmt.Sprintf("%d bytes are shorter than a header", len(b))}
	}
	if string(b[:len(proxySignature)]) != proxySignature {
		return Header{}, nil, &HeaderError{Reason: "no version 2 signature"}
	}
	if b[12] != proxyVersionCommand {
		return Header{}, nil, &HeaderError{Reason: fmt.Sprintf("version and command are %#x, not version 2 and PROXY", b[12])}
	}
	family := b[13]
	size := int(binary.BigEndian.Uint16(b[14:16]))
	rest := b[proxyPrefixLen:]
	if len(rest) < size {
		return Header{}, nil, &HeaderError{Reason: "truncated"}
	}
	payload := rest[size:]
	rest = rest[:size]
	switch {
	case family == proxyUDPv4 && size >= proxyIPv4Len:
		return Header{
			Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(rest[0:4])), binary.BigEndian.Uint16(rest[8:10])),
			Destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(rest[4:8])), binary.BigEndian.Uint16(rest[10:12])),
		}, payload, nil
	case family == proxyUDPv6 && size >= proxyIPv6Len:
		return Header{
			Source:      netip.AddrPortFrom(netip.AddrFrom16([16]byte(rest[0:16])).Unmap(), binary.BigEndian.Uint16(rest[32:34])),
			Destination: netip.AddrPortFrom(netip.AddrFrom16([16]byte(rest[16:32])).Unmap(), binary.BigEndian.Uint16(rest[34:36])),
		}, payload, nil
	default:
		return Header{}, nil, &HeaderError{Reason: fmt.Sprintf("family and protocol %#x with a length of %d bytes are not UDP over IPv4 or IPv6", family, size)}
	}
}
