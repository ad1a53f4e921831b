package member

import "time"

// Event is something that happened to a Core.
type Event interface{ event() }

// Tick says that TickInterval has passed since the last one.
type Tick struct{}

// HeartbeatReceived is a heartbeat from another member.
type HeartbeatReceived struct {
	Heartbeat Heartbeat
}

// Host is one host in the platform's list.
type Host struct {
	Member
	Leaving bool
}

// HostList is the platform's list, which may lag behind.
type HostList struct {
	Hosts []Host
}

// ConfigApplied says which configuration this balancer holds.
type ConfigApplied struct {
	Number uint64
	Digest string
}

// Leave says that this balancer begins to leave.
type Leave struct{}

func (Tick) event()              {}
func (HeartbeatReceived) event() {}
func (HostList) event()          {}
func (ConfigApplied) event()     {}
func (Leave) event()             {}

// Effect is something that the owner of a Core has to do.
type Effect interface{ effect() }

// Send asks to deliver a heartbeat once, without a repeat.
type Send struct {
	To        Member
	Heartbeat Heartbeat
}

// Publish hands out a new view.
type Publish struct {
	View View
}

// PeerConfigReceived says that another member holds another configuration.
type PeerConfigReceived struct {
	From   Member
	Number uint64
	Digest string
}

// Superseded says that a later life of this balancer exists: the process has to
// stop, or to start again with a greater life.
type Superseded struct {
	Life uint64
}

// PauseDetected says that this process did not run for a while. What it knows is old
// until others have answered.
type PauseDetected struct {
	Gap time.Duration
}

func (Send) effect()               {}
func (Publish) effect()            {}
func (PeerConfigReceived) effect() {}
func (Superseded) effect()         {}
func (PauseDetected) effect()      {}
