package measure

import (
	"time"

	"wisteriaweir/service"
	"wisteriaweir/target"
)

// targetView is what one keeper believes about the targets, by one of the ways.
type targetView struct {
	way     targetWay
	domain  string
	pool    *target.Pool
	service service.Service
	reports map[string]target.Report
	cached  target.Shares
}

func newTargetView(way targetWay, domain string) *targetView {
	return &targetView{
		way:     way,
		domain:  domain,
		pool:    target.NewPool(target.Config{Domain: domain}),
		reports: make(map[string]target.Report),
	}
}

// handle takes an event, as far as the way listens to it.
func (v *targetView) handle(now time.Duration, e target.Event) {
	switch e := e.(type) {
	case target.ServiceConfigured:
		v.service = e.Service
	case target.Reported:
		v.reports[e.Target] = e.Report
		if v.way == wayOwn {
			return
		}
	}
	switch v.way {
	case wayBoth, wayOwn:
		v.pool.Handle(now, e)
		v.cached = v.pool.Shares()
	case wayReports, wayNone:
		v.followPlainly(e)
	}
}

// followPlainly computes the shares of the ways without a view of their own.
func (v *targetView) followPlainly(e target.Event) {
	switch e.(type) {
	case target.ServiceConfigured, target.Reported:
	default:
		return
	}
	list := make([]target.Share, 0, len(v.service.Pool))
	usable := false
	for _, t := range v.service.Pool {
		s := target.Share{Target: t, Local: t.Domain == v.domain, Level: v.plainLevel(t)}
		usable = usable || s.Eligible()
		list = append(list, s)
	}
	for i := range list {
		if !usable && !list[i].Target.Drain {
			list[i].Level = target.LevelFull
		}
	}
	v.cached = target.NewShares(v.service.Name, 1, list)
}

// plainLevel believes the report of a target, or nothing at all.
func (v *targetView) plainLevel(t service.Target) target.Level {
	r, known := v.reports[t.Name]
	switch {
	case t.Drain:
		return target.LevelNone
	case v.way == wayNone || !known:
		return target.LevelFull
	case !r.Healthy || r.Load > 1:
		return target.LevelNone
	default:
		free := target.Level((1 - r.Load) * float64(target.LevelFull))
		return max(target.MinLevel, free)
	}
}

func (v *targetView) shares() target.Shares { return v.cached }
