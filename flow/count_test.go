package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/flow"
)

// TestCountsAddUpAndGetOld checks that a newer count of a balancer replaces its older
// one, that the counts are summed per domain and in total, and that a count is omitted
// once it is older than MaxAge.
func TestCountsAddUpAndGetOld(t *testing.T) {
	c := qt.New(t)
	counts := flow.Counts{MaxAge: 30 * time.Second}
	flows := func(n int) map[flow.TargetID]int { return map[flow.TargetID]int{1: n} }
	counts.Add(0, "a", flow.Count{Domain: "west-a", FlowsByTarget: flows(100)})
	counts.Add(10*time.Second, "a", flow.Count{Domain: "west-a", FlowsByTarget: flows(1)})
	counts.Add(20*time.Second, "b", flow.Count{Domain: "west-a", FlowsByTarget: flows(2)})
	counts.Add(20*time.Second, "c", flow.Count{Domain: "west-b", IsDomainTotal: true, FlowsByTarget: flows(4)})
	c.Check(counts.DomainTotal(20*time.Second), qt.DeepEquals, flows(3))
	c.Check(counts.Total(20*time.Second), qt.DeepEquals, flows(7))
	c.Check(counts.Total(41*time.Second), qt.DeepEquals, flows(6))
	c.Check(counts.Total(51*time.Second), qt.DeepEquals, map[flow.TargetID]int{})
}
