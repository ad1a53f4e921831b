package fake

import "encoding/json"

// Kinds of a flowMessage.
const (
	// flowOpen is sent by the caller to open a flow.
	flowOpen = "open"
	// flowOpened is the target's response to flowOpen.
	flowOpened = "opened"
	// flowData is a part of an upload, or a keepalive of a feed's caller.
	flowData = "data"
	// flowAck is the target's response to flowData.
	flowAck = "ack"
	// flowTally is the message that the target sends periodically on a feed.
	flowTally = "tally"
	// flowUnknown is the target's response to flowData of a flow that it does not
	// have.
	flowUnknown = "unknown"
)

// flowMessage is the content of a flow's datagram between a fake caller and a
// fake target. It is opaque to balancers.
type flowMessage struct {
	Kind    string `json:"kind"`
	Service string `json:"service"`
	// Target is the name of the target that sent the message.
	Target string `json:"target,omitempty"`
	// Feed reports, in flowOpen, whether the flow is a feed; otherwise it is an upload.
	Feed bool `json:"feed,omitempty"`
	// Seq is the sequence number of the part or tally.
	Seq int `json:"seq"`
}

// requestBody is the payload of a fake caller's request.
type requestBody struct {
	ID      string `json:"id"`
	Service string `json:"service"`
}

// responseBody is the payload of a fake target's response.
type responseBody struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Target  string `json:"target"`
}

// TargetState is the state that a Target serves on its status address.
type TargetState struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Runs counts, by request ID, how often the target started to run the request.
	Runs map[string]int `json:"runs"`
	// Flows is the number of open flows.
	Flows int `json:"flows"`
	// Misrouted counts datagrams of other services.
	Misrouted int `json:"crossed"`
	// Shed counts requests that were refused because all slots were in use.
	Shed int `json:"shed"`
	// Cancelled counts requests that were cancelled while they ran.
	Cancelled int `json:"cancelled"`
}

// encodeJSON returns v as JSON. It panics if v cannot be encoded, which does not
// happen with the messages of this package.
func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
