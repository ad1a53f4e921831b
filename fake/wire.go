package fake

import "encoding/json"

// Kinds of a flowMessage.
const (
	// flowOpen opens a flow; the target answers flowOpened.
	flowOpen   = "open"
	flowOpened = "opened"
	// flowData is a part of an upload or a sign of life of a feed's caller; the
	// target answers flowAck.
	flowData = "data"
	flowAck  = "ack"
	// flowTally is what a target sends on a feed of its own accord.
	flowTally = "tally"
	// flowUnknown answers data of a flow that the target does not hold.
	flowUnknown = "unknown"
)

// flowMessage is the content of a flow's datagram between a fake caller and a
// fake target. It is opaque to balancers.
type flowMessage struct {
	Kind    string `json:"kind"`
	Service string `json:"service"`
	Target  string `json:"target,omitempty"`
	Feed    bool   `json:"feed,omitempty"`
	Seq     int    `json:"seq"`
}

// requestBody is the payload of a fake caller's request.
type requestBody struct {
	ID      string `json:"id"`
	Service string `json:"service"`
}

// responseBody is the payload of a fake target's answer.
type responseBody struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Target  string `json:"target"`
}

// TargetState is what a fake target tells on its status address.
type TargetState struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Runs counts, for each request, how often the target started to run it.
	Runs map[string]int `json:"runs"`
	// Flows is the number of flows that the target holds.
	Flows int `json:"flows"`
	// Misrouted counts datagrams that were meant for another service.
	Misrouted int `json:"crossed"`
	// Shed counts requests refused because every slot was taken.
	Shed int `json:"shed"`
	// Cancelled counts requests that were cut off by a cancellation.
	Cancelled int `json:"cancelled"`
}

// encode returns v as JSON. The package's own messages always encode.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
