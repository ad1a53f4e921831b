package placement

// Decision is the result for one packet: Forward, Reject, Drop or Queue.
type Decision interface {
	decision()
}

// Forward sends the packet to a target.
type Forward struct {
	To *Target
}

// Reject resets the flow towards its caller.
type Reject struct {
	Reason Reason
}

// Drop discards the packet.
type Drop struct {
	Reason Reason
}

// Queue leaves the packet to the core, which sends it later by a Resend.
type Queue struct{}

func (Queue) decision()   {}
func (Forward) decision() {}
func (Reject) decision()  {}
func (Drop) decision()    {}

// Reason is why a packet is not forwarded.
type Reason uint8

// Reasons of Reject and Drop.
const (
	// NoRoute: no route exists for the address.
	NoRoute Reason = iota + 1
	// NoTarget: the route's service has no target that accepts new flows.
	NoTarget
	// UnknownStamp: no known target has the stamp. The core has copied the packet if it holds
	// data, and looks the stamp up at other hosts.
	UnknownStamp
	// CatalogIncomplete: the routes or the targets are not known yet.
	CatalogIncomplete
	// DeadTarget: the target of the open flow is dead.
	DeadTarget
	// FlowTableFull: the table of flows is full.
	FlowTableFull
	// Retransmission: the packet is a retransmission of one that is queued or was answered.
	Retransmission
	// Overloaded: the first request of the flow would most likely not be answered in time,
	// or flows of a better priority are being rejected for that reason.
	Overloaded
	// NotAdmitted: the admission level of the service does not admit the flow.
	NotAdmitted
)
