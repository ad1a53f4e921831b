package flow_test

import (
	"fmt"
	"testing"

	"wisteriaweir/flow"
)

// shares returns the shares of n targets of weight 1.
func shares(n int) []flow.Share {
	out := make([]flow.Share, n)
	for i := range out {
		out[i] = flow.Share{Target: flow.NewTargetID("levy", fmt.Sprintf("t%d", i)), Base: flow.ShareUnit, Current: flow.ShareUnit}
	}
	return out
}

// movedFraction returns the fraction of hashes whose target differs in two tables.
func movedFraction(a, b *flow.Table) (fraction float64) {
	const n = 1 << 18
	count := 0
	for i := range uint64(n) {
		h := i * (1 << 46)
		x, _ := a.Lookup(h)
		y, _ := b.Lookup(h)
		if x != y {
			count++
		}
	}
	return float64(count) / n
}

// imbalance returns the ratio of the largest number of hashes on a target to the mean.
func imbalance(t *flow.Table, n int) float64 {
	const flows = 1 << 18
	counts := make(map[flow.TargetID]int)
	largest := 0
	for i := range uint64(flows) {
		x, _ := t.Lookup(i * (1 << 46))
		counts[x]++
		largest = max(largest, counts[x])
	}
	return float64(largest) * float64(n) / flows
}

func BenchmarkTableBuild(b *testing.B) {
	for name, build := range map[string]func([]flow.Share) *flow.Table{
		"maglev": flow.NewMaglevTable, "rendezvous": flow.NewRendezvousTable, "adjusted": flow.NewTable,
	} {
		for _, n := range []int{14, 140, 2400} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				all := shares(n)
				var t *flow.Table
				for b.Loop() {
					t = build(all)
				}
				b.ReportMetric(float64(t.Size()), "B/table")
				b.ReportMetric(imbalance(t, n), "imbalance")
				if n > 140 && name == "rendezvous" {
					return
				}
				b.ReportMetric(movedFraction(t, build(all[1:]))*float64(n), "moved/ideal-remove")
				all[0].Current = 0
				b.ReportMetric(movedFraction(t, build(all))*float64(n), "moved/ideal-drain")
				all[0].Current = flow.ShareUnit
				all[0].Current = all[0].Current * 95 / 100
				b.ReportMetric(movedFraction(t, build(all))*float64(n)/0.05, "moved/ideal-5%")
			})
		}
	}
}
