package flow

// TargetLoad is the load of a target in open flows.
type TargetLoad struct {
	Target TargetID
	// Weight is the configured weight.
	Weight int
	// Share is the current share, in 1/ShareUnit of a weight of 1.
	Share int
	// ObservedFlows is the number of recently active flows that the members observed.
	ObservedFlows int
	// ReportedFlows is the number that the target itself reports, or -1.
	ReportedFlows int
}

// Parameters of Rebalance, in 1/ShareUnit unless stated otherwise.
const (
	// rebalanceGain is the change of the share ratio per unit of load above or below
	// the mean. It has no unit.
	rebalanceGain = 5
	// minRatio is the smallest share per weight of 1.
	minRatio = ShareUnit / 4
	// maxRatio is the largest share per weight of 1.
	maxRatio = 3 * ShareUnit
	// shareStep is the granularity of a change of a share. Smaller changes would
	// cause pins without improving the balance.
	shareStep = ShareUnit / 64
	// maxReportCorrection is the largest change of a load by a target's own report.
	maxReportCorrection = ShareUnit / 100
)

// Rebalance returns new shares, for EpochConfig.Shares, that bring the open flows of
// the targets of a service closer to their weights. The loads are the numbers of
// flows that the members observed. The report of a target changes its load by a
// hundredth at most, as reports lag behind and may be wrong. The changes are limited
// so that about maxMoved flows have to be pinned. For this limit the number of open
// flows is the sum of the reports or, if no target reports any, of the observed
// flows.
func Rebalance(loads []TargetLoad, maxMoved int) map[TargetID]int {
	wanted := make([]int, len(loads))
	moved, open := 0, 0
	observed, reported, weight := sums(loads)
	for i, l := range loads {
		wanted[i] = l.Weight * ratio(l, observed, reported, weight)
		moved += abs(wanted[i] - l.Share)
		open += max(l.ReportedFlows, 0)
	}
	if open == 0 {
		open = observed
	}
	// Each flow that moves changes two shares, so the flows that move are half of
	// the sum of the changes.
	moved = open / 2 * moved / max(weight*ShareUnit, 1)
	out := make(map[TargetID]int, len(loads))
	for i, l := range loads {
		step := wanted[i] - l.Share
		if moved > maxMoved {
			step = step * maxMoved / moved
		}
		out[l.Target] = l.Share + step/shareStep*shareStep
	}
	return out
}

// sums returns the sums of the observed flows, reported flows and weights.
func sums(loads []TargetLoad) (observed, reported, weight int) {
	for _, l := range loads {
		observed += l.ObservedFlows
		reported += max(l.ReportedFlows, 0)
		weight += max(l.Weight, 0)
	}
	return observed, reported, weight
}

// ratio returns the wanted share per weight of 1.
func ratio(l TargetLoad, observed, reported, weight int) int {
	if l.Weight <= 0 || observed == 0 {
		return ShareUnit
	}
	load := ShareUnit * l.ObservedFlows * weight / (observed * l.Weight)
	if l.ReportedFlows >= 0 && reported > 0 {
		reportedLoad := ShareUnit * l.ReportedFlows * weight / (reported * l.Weight)
		load += min(max(reportedLoad-load, -maxReportCorrection), maxReportCorrection)
	}
	return min(max(ShareUnit+rebalanceGain*(ShareUnit-load), minRatio), maxRatio)
}

func abs(n int) int {
	return max(n, -n)
}
