package flow

// TargetLoad is what is known about the open flows of a target.
type TargetLoad struct {
	Target TargetID
	// Weight is the configured weight, Share the present share.
	Weight int
	Share  int
	// ObservedFlows is the number of flows that the members saw lately.
	ObservedFlows int
	// ReportedFlows is the number that the target itself reports, or -1.
	ReportedFlows int
}

// Bounds of Rebalance, in 1/ShareUnit.
const (
	// rebalanceGain is the change of share for each part of load above or below
	// the mean.
	rebalanceGain = 5
	minRatio      = ShareUnit / 4
	maxRatio      = 3 * ShareUnit
	// ratioStep is the grain of shares: smaller changes cost pins and buy
	// nothing.
	ratioStep = ShareUnit / 64
	// reportTrust bounds what a report may add to or take from a load.
	reportTrust = ShareUnit / 100
)

// Rebalance returns the shares that bring the open flows of the targets of a
// service towards their weights, as EpochConfig.Shares. What the members saw
// counts; a report moves a load by a hundredth at most, as reports lag and
// mislead. The step is such that about maxMoved flows have to be pinned, when
// the targets hold as many as they report; where none reports, as were seen.
func Rebalance(loads []TargetLoad, maxMoved int) map[TargetID]int {
	wanted := make([]int, len(loads))
	moved, open := 0, 0
	seen, reported, weight := sums(loads)
	for i, l := range loads {
		wanted[i] = l.Weight * ratio(l, seen, reported, weight)
		moved += abs(wanted[i] - l.Share)
		open += max(l.ReportedFlows, 0)
	}
	if open == 0 {
		open = seen
	}
	// Half of the sum of changes is what moves from one target to another.
	moved = open / 2 * moved / max(weight*ShareUnit, 1)
	out := make(map[TargetID]int, len(loads))
	for i, l := range loads {
		step := wanted[i] - l.Share
		if moved > maxMoved {
			step = step * maxMoved / moved
		}
		out[l.Target] = l.Share + step/ratioStep*ratioStep
	}
	return out
}

func sums(loads []TargetLoad) (seen, reported, weight int) {
	for _, l := range loads {
		seen += l.ObservedFlows
		reported += max(l.ReportedFlows, 0)
		weight += max(l.Weight, 0)
	}
	return seen, reported, weight
}

// ratio returns the wanted share of a weight of 1.
func ratio(l TargetLoad, seen, reported, weight int) int {
	if l.Weight <= 0 || seen == 0 {
		return ShareUnit
	}
	load := ShareUnit * l.ObservedFlows * weight / (seen * l.Weight)
	if l.ReportedFlows >= 0 && reported > 0 {
		said := ShareUnit * l.ReportedFlows * weight / (reported * l.Weight)
		load += min(max(said-load, -reportTrust), reportTrust)
	}
	return min(max(ShareUnit+rebalanceGain*(ShareUnit-load), minRatio), maxRatio)
}

func abs(n int) int {
	return max(n, -n)
}
