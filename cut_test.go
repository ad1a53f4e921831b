package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"

	"wisteriaweir/balancer"
	"wisteriaweir/monitor"
	"wisteriaweir/setting"
	"wisteriaweir/ticket"
)

// cut stands in for a network partition: while it is on, the failure domains
// cannot reach each other, and west-b cannot reach the platform.
type cut struct {
	on atomic.Bool
	// inside cuts the balancers named in half off from the others of their
	// failure domain. All still reach the platform and the other domain.
	inside atomic.Bool
	half   map[string]bool
	// url is how west-b reaches the platform.
	url string
}

// between says whether the balancer p cannot reach another one, or the targets
// of a failure domain if the name is empty.
func (c *cut) between(p *process, domain, name string) bool {
	if domain == p.domain {
		return name != "" && c.inside.Load() && c.half[name] != c.half[p.name]
	}
	return domain != "" && c.on.Load()
}

// newCutSystem starts a system whose balancers run inside the test.
func newCutSystem(t *testing.T, balancers, targets int) *system {
	c := &cut{}
	return startSystem(t, c, balancers, targets)
}

// urlOf returns the address under which a failure domain reaches the platform.
func (s *system) urlOf(domain string) string {
	if s.cut == nil || domain != "west-b" {
		return s.url
	}
	return s.cut.url
}

// servePlatform starts the way by which west-b reaches the platform. It has to
// be called before the balancers start: what is cleaned up first is what came
// last, and the server closes only once nobody watches any more.
func (c *cut) servePlatform(t *testing.T, p http.Handler) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.on.Load() {
			http.Error(w, "cut off", http.StatusServiceUnavailable)
			return
		}
		p.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	c.url = srv.URL
}

// startInside starts the balancer p in this process.
func (s *system) startInside(p *process, out *os.File) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.t.Cleanup(func() {
		cancel()
		<-done
		out.Close()
	})
	started := make(chan error, 1)
	cmd := &cli.Command{
		Name:  "balancer",
		Flags: setting.Flags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := setting.FromCommand(cmd)
			if err != nil {
				return err
			}
			cfg.Times.DrainLimit = time.Second
			logger, err := monitor.NewLogger(cfg.Log.Level, cfg.Log.Format, out)
			if err != nil {
				return err
			}
			b, err := balancer.New(balancer.Config{
				Setting:       cfg,
				Life:          uint64(time.Now().UnixNano()),
				Log:           logger.WithField("balancer", cfg.Name),
				IsPartitioned: func(domain, name string) bool { return s.cut.between(p, domain, name) },
			})
			if err != nil {
				return err
			}
			started <- nil
			return b.Run(ctx)
		},
	}
	go func() {
		defer close(done)
		if err := cmd.Run(ctx, append([]string{"balancer"}, s.flags(p)...)); err != nil {
			started <- err
		}
	}()
	s.c.Assert(<-started, qt.IsNil)
}

// numberIn returns the configuration number in force in a failure domain.
func (s *system) numberIn(domain string) uint64 {
	st, err := ticket.LoadStatus(context.Background(), s.client, domain)
	s.c.Assert(err, qt.IsNil)
	return st.Number
}

// TestCutOffDomainServesAndReturns cuts the two failure domains off from each
// other, and one of them from the platform, accepts a ticket meanwhile, and
// mends the cut.
func TestCutOffDomainServesAndReturns(t *testing.T) {
	t.Parallel()
	s := newCutSystem(t, 4, 4)
	r := s.load(30*time.Second, func() {
		time.Sleep(4 * time.Second)
		s.cut.on.Store(true)
		time.Sleep(5 * time.Second)
		s.pool["levy-desk"][0].Drain = true
		s.submit()
		time.Sleep(4 * time.Second)
		s.c.Check(s.numberIn("west-a"), qt.Equals, s.ticket)
		s.c.Check(s.numberIn("west-b"), qt.Equals, s.ticket-1)
		s.cut.on.Store(false)
		t.Logf("in force after %v", s.waitInForce(8*time.Second))
	})
	s.c.Check(r.Doubled, qt.Equals, 0)
	s.c.Check(r.Crossed, qt.Equals, 0)
	s.c.Check(r.Lost, qt.Equals, 0)
	s.c.Check(r.Answered > r.Requests/2, qt.IsTrue)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// TestCutInsideADomainBreaksNothing cuts a failure domain in two halves, which
// both reach the platform and the other domain; a ticket comes into force in
// both meanwhile, and what it drains gets no new request.
func TestCutInsideADomainBreaksNothing(t *testing.T) {
	t.Parallel()
	s := newCutSystem(t, 6, 4)
	s.fabric.SetDuplicateRate(copyShare)
	s.cut.half = map[string]bool{"balancer-1": true}
	drained := s.targets["levy-desk-1"]
	var ran int
	r := s.load(35*time.Second, func() {
		time.Sleep(4 * time.Second)
		s.cut.inside.Store(true)
		time.Sleep(6 * time.Second)
		s.pool["levy-desk"][0].Drain = true
		s.submit()
		s.waitNumbers(8 * time.Second)
		time.Sleep(retireTime)
		ran = len(drained.State().Runs)
		time.Sleep(4 * time.Second)
		s.cut.inside.Store(false)
		t.Logf("in force after %v", s.waitInForce(8*time.Second))
	})
	s.c.Check(len(drained.State().Runs), qt.Equals, ran)
	s.waitNumbers(0)
	neverAllowed(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// TestBalancerStartsDuringAnOutage starts two balancers while the platform
// fails: one that the others know from its former life, without seeds, and one
// that nobody knows, which takes the configuration from a seed.
func TestBalancerStartsDuringAnOutage(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 3, 3)
	s.kill(s.balancers[2])
	s.platform.SetFaults(s.platform.Faults().WithOutage(true))
	s.start(s.balancers[2])
	s.waitNumbers(10 * time.Second)
	s.seeds = s.balancers[0].ip + ":7001"
	unknown := &process{name: "balancer-4", domain: "west-b", ip: s.addr(3, 4, 0).Addr().String()}
	s.balancers = append(s.balancers, unknown)
	s.start(unknown)
	s.waitNumbers(10 * time.Second)
}

// dumpedNumber returns the configuration number in the dump of p, 0 if there is
// none.
func (s *system) dumpedNumber(p *process) uint64 {
	var d struct {
		Control struct {
			Config struct {
				Number uint64 `json:"number"`
			} `json:"config"`
		} `json:"control"`
	}
	if getJSON("http://"+p.ip+":7003/dump", &d) != nil {
		return 0
	}
	return d.Control.Config.Number
}
