package measure

import (
	"time"

	"wisteriaweir/service"
	"wisteriaweir/target"
)

// targetView is the health of the targets as one coordinator sees it by one of the
// strategies.
type targetView struct {
	strategy targetStrategy
	domain   string
	pool     *target.Pool
	service  service.Service
	// reports holds the last report of each target, currentShares the shares after the
	// last event.
	reports       map[string]target.Report
	currentShares target.Shares
}

// newTargetView returns the view of a coordinator in a failure domain.
func newTargetView(strategy targetStrategy, domain string) *targetView {
	return &targetView{
		strategy: strategy,
		domain:   domain,
		pool:     target.NewPool(target.Config{Domain: domain}),
		reports:  make(map[string]target.Report),
	}
}

// handle processes an event. strategyOwnView ignores reports; the strategies without
// an own view ignore the outcomes of attempts.
func (v *targetView) handle(now time.Duration, e target.Event) {
	switch e := e.(type) {
	case target.ServiceConfigured:
		v.service = e.Service
	case target.ReportReceived:
		v.reports[e.Target] = e.Report
		if v.strategy == strategyOwnView {
			return
		}
	}
	switch v.strategy {
	case strategyReportsAndOwnView, strategyOwnView:
		v.pool.Handle(now, e)
		v.currentShares = v.pool.Shares()
	case strategyReports, strategyNoHealth:
		v.updatePlainShares(e)
	}
}

// updatePlainShares computes the shares for strategyReports and strategyNoHealth. If
// no target is eligible, all targets that do not drain are used in full.
func (v *targetView) updatePlainShares(e target.Event) {
	switch e.(type) {
	case target.ServiceConfigured, target.ReportReceived:
	default:
		return
	}
	list := make([]target.Share, 0, len(v.service.Pool))
	hasEligible := false
	for _, t := range v.service.Pool {
		s := target.Share{Target: t, Local: t.Domain == v.domain, Level: v.plainLevel(t)}
		hasEligible = hasEligible || s.IsEligible()
		list = append(list, s)
	}
	for i := range list {
		if !hasEligible && !list[i].Target.Draining {
			list[i].Level = target.LevelFull
		}
	}
	v.currentShares = target.NewShares(v.service.Name, 1, list)
}

// plainLevel returns the level of a target by its last report: none if it is unhealthy
// or overloaded, else its free capacity. For strategyNoHealth, and before the first
// report, the level is full.
func (v *targetView) plainLevel(t service.Target) target.Level {
	r, isKnown := v.reports[t.Name]
	switch {
	case t.Draining:
		return target.LevelNone
	case v.strategy == strategyNoHealth || !isKnown:
		return target.LevelFull
	case !r.Healthy || r.Load > 1:
		return target.LevelNone
	default:
		free := target.Level((1 - r.Load) * float64(target.LevelFull))
		return max(target.MinLevel, free)
	}
}

func (v *targetView) shares() target.Shares { return v.currentShares }
