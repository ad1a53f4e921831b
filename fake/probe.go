package fake

import (
	"net"
	"net/netip"
	"time"
)

// ProbeResult is the response to an opening packet that was sent straight to one
// host.
type ProbeResult string

// Results of a probe.
const (
	// ProbeAccepted means that a target accepted the flow.
	ProbeAccepted ProbeResult = "accepted by a target"
	// ProbeReset means that the host responded with a reset, which it sends if it has
	// no route or target for the packet.
	ProbeReset ProbeResult = "reset by the host"
	// ProbeUnanswered means that no response arrived in time.
	ProbeUnanswered ProbeResult = "not answered"
)

// ProbeRoute sends an opening packet for the route at port straight to a host, from
// an address that no caller uses, and returns the first response within timeout. It
// fails if the packet cannot be sent.
func (e *TestEnvironment) ProbeRoute(host netip.AddrPort, port uint16, timeout time.Duration) (ProbeResult, error) {
	local := e.address(7, 1)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, e.cfg.Port)))
	if err != nil {
		return "", err
	}
	defer conn.Close()
	from := netip.AddrPortFrom(local, uint16(time.Now().UnixNano()%60000+1024))
	s := segment{flags: segSyn, from: from, to: netip.AddrPortFrom(e.address(8, 1), port), seq: 5}
	if _, err := conn.WriteToUDPAddrPort(s.encode(0), host); err != nil {
		return "", err
	}
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	b := make([]byte, readBufferBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return ProbeUnanswered, nil
		}
		got, ok := decodeSegment(b[:n])
		switch {
		case !ok || got.to != from:
		case got.has(segRst):
			return ProbeReset, nil
		case got.has(segSyn | segAck):
			return ProbeAccepted, nil
		}
	}
}

// NewestRoute returns the port of the route that the newest configuration added, and
// of the one that it removed, or 0 if it removed none.
func (e *TestEnvironment) NewestRoute() (added, removed uint16) {
	e.mu.Lock()
	defer e.mu.Unlock()
	added = uint16(10000 + e.extraRoute)
	if e.extraRoute > 1 {
		removed = added - 1
	}
	return added, removed
}
