package target_test

import (
	"fmt"
	"testing"
	"time"

	"wisteriaweir/service"
	"wisteriaweir/target"
)

// benchTargets is the number of targets of the pool, ten times that of a pool of the
// present size.
const benchTargets = 140

func benchPool() (*target.Pool, service.Service) {
	s := service.Service{Name: "levy-desk"}
	for i := range benchTargets {
		s.Pool = append(s.Pool, newTarget(name(i), domain(i%4), false))
	}
	p := target.NewPool(target.Config{Domain: "d0"})
	p.Handle(0, target.ServiceConfigured{Number: 1, Service: s})
	return p, s
}

func BenchmarkAnswered(b *testing.B) {
	p, _ := benchPool()
	var e target.Event = target.Answered{Target: name(7), Latency: 40 * time.Millisecond}
	b.ReportAllocs()
	for i := range b.N {
		p.Handle(time.Duration(i)*time.Microsecond, e)
	}
}

func BenchmarkTick(b *testing.B) {
	p, s := benchPool()
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * target.MaxTickInterval
		for _, t := range s.Pool {
			p.Handle(now, target.Answered{Target: t.Name, Latency: 40 * time.Millisecond})
		}
		p.Handle(now, target.Tick{})
	}
}

func BenchmarkAllFail(b *testing.B) {
	p, s := benchPool()
	for i := range b.N {
		p.Handle(time.Duration(i)*time.Millisecond, target.Failed{Target: s.Pool[i%benchTargets].Name})
	}
}

func BenchmarkTable(b *testing.B) {
	_, s := benchPool()
	h := target.Health{Domain: "d1", Fence: 1}.WithLevel("levy-desk", name(1), target.LevelNone)
	for range b.N {
		target.AgreedShares(1, s, map[string]target.Health{"d1": h})
	}
}

// BenchmarkAgreement measures a HealthAggregator for a failure domain of 200 balancers and
// 3,300 services of 6 targets in 9 domains: one tick, and one list of opinions.
func BenchmarkAgreement(b *testing.B) {
	cfg := service.Config{}.WithNumber(1)
	var services []service.Service
	var opinions []target.Opinion
	for i := range 3300 {
		s := service.Service{Name: fmt.Sprintf("service-%d", i)}
		for j := range 6 {
			t := newTarget(name(j), domain((6*i+j)%9), false)
			s.Pool = append(s.Pool, t)
			opinions = append(opinions, target.Opinion{Service: s.Name, Target: t.Name, Level: target.LevelFull})
		}
		services = append(services, s)
	}
	cfg = cfg.WithServices(services)
	a := target.NewHealthAggregator(target.HealthAggregatorConfig{Domain: "d0", Fence: 1})
	a.Handle(0, target.ConfigChanged{Config: cfg})
	for i := range 200 {
		a.Handle(0, target.OpinionsReplaced{Member: fmt.Sprint(i), Opinions: opinions})
	}
	b.ResetTimer()
	b.Run("tick", func(b *testing.B) {
		for range b.N {
			a.Handle(time.Second, target.Tick{})
		}
	})
	b.Run("opined", func(b *testing.B) {
		for range b.N {
			a.Handle(time.Second, target.OpinionsReplaced{Member: "0", Opinions: opinions})
		}
	})
}
