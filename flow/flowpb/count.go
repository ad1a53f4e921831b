package flowpb

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"wisteriaweir/flow"
)

// CountError reports a count whose number of targets differs from its number of flow
// counts.
type CountError struct {
	Targets, FlowCounts int
}

func (e *CountError) Error() string {
	return fmt.Sprintf("flow count: %d targets, but %d flow counts", e.Targets, e.FlowCounts)
}

// MarshalCount encodes a count in protobuf wire form.
func MarshalCount(n flow.Count) ([]byte, error) {
	m := &Count{Domain: n.Domain, Sum: n.IsDomainTotal}
	for id := range n.FlowsByTarget {
		m.Targets = append(m.Targets, uint64(id))
	}
	slices.Sort(m.GetTargets())
	for _, id := range m.GetTargets() {
		m.Seen = append(m.Seen, uint32(n.FlowsByTarget[flow.TargetID(id)]))
	}
	return proto.Marshal(m)
}

// UnmarshalCount decodes a count. The error is that of protobuf for malformed data,
// or a *CountError.
func UnmarshalCount(data []byte) (flow.Count, error) {
	var m Count
	if err := proto.Unmarshal(data, &m); err != nil {
		return flow.Count{}, err
	}
	if len(m.GetTargets()) != len(m.GetSeen()) {
		return flow.Count{}, &CountError{Targets: len(m.GetTargets()), FlowCounts: len(m.GetSeen())}
	}
	n := flow.Count{Domain: m.GetDomain(), IsDomainTotal: m.GetSum(), FlowsByTarget: make(map[flow.TargetID]int, len(m.GetSeen()))}
	for i, id := range m.GetTargets() {
		n.FlowsByTarget[flow.TargetID(id)] = int(m.GetSeen()[i])
	}
	return n, nil
}
