package member

import "time"

// Event is an input of a Core.
type Event interface{ event() }

// Tick triggers the periodic processing. It is sent every TickInterval.
type Tick struct{}

// HeartbeatReceived carries a heartbeat from another member.
type HeartbeatReceived struct {
	Heartbeat Heartbeat
}

// Host is one host of the platform's list.
type Host struct {
	Member
	// Leaving is whether the list has the host as leaving.
	Leaving bool
}

// HostList carries the platform's list of hosts, which may be out of date.
type HostList struct {
	Hosts []Host
}

// ConfigApplied carries the number and the digest of the configuration that this
// balancer now has.
type ConfigApplied struct {
	Number uint64
	Digest string
}

// Leave sets the state of this balancer to leaving for the rest of the process instance.
type Leave struct{}

func (Tick) event()              {}
func (HeartbeatReceived) event() {}
func (HostList) event()          {}
func (ConfigApplied) event()     {}
func (Leave) event()             {}

// Effect is an output of a Core that its caller executes.
type Effect interface{ effect() }

// Send asks the caller to send a heartbeat once, without retransmission.
type Send struct {
	To        Member
	Heartbeat Heartbeat
}

// Publish carries a new view.
type Publish struct {
	View View
}

// PeerConfigReceived reports that the member From has another configuration than this
// balancer, with the given number and digest.
type PeerConfigReceived struct {
	From   Member
	Number uint64
	Digest string
}

// Superseded reports that a later process instance of this balancer exists. The process
// has to stop, or to start again with a greater Life.
type Superseded struct {
	// Life is the Life of the later instance.
	Life uint64
}

// PauseDetected reports that this process did not run for the time Gap. Its state is
// outdated until other members have replied.
type PauseDetected struct {
	Gap time.Duration
}

func (Send) effect()               {}
func (Publish) effect()            {}
func (PeerConfigReceived) effect() {}
func (Superseded) effect()         {}
func (PauseDetected) effect()      {}
