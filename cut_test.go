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

// partition simulates network partitions.
type partition struct {
	// betweenDomains separates the failure domains from each other, and west-b from
	// the platform.
	betweenDomains atomic.Bool
	// withinDomain separates the balancers named in separated from the others of their
	// failure domain. All still reach the platform and the other domain.
	withinDomain atomic.Bool
	// separated contains the names of the balancers on one side of that partition.
	separated map[string]bool
	// platformURL is the URL under which west-b reaches the platform.
	platformURL string
}

// blocks reports whether p cannot reach the balancer with the given failure domain
// and name, or the targets of the domain if the name is empty.
func (part *partition) blocks(p *process, domain, name string) bool {
	if domain == p.domain {
		return name != "" && part.withinDomain.Load() && part.separated[name] != part.separated[p.name]
	}
	return domain != "" && part.betweenDomains.Load()
}

// newPartitionedSystem starts a system whose balancers run in the test process, so
// that network partitions between them can be simulated. There is no partition yet.
func newPartitionedSystem(t *testing.T, balancers, targets int) *system {
	part := &partition{}
	return startSystem(t, part, balancers, targets)
}

// platformURLOf returns the URL under which a failure domain reaches the platform.
func (s *system) platformURLOf(domain string) string {
	if s.partition == nil || domain != "west-b" {
		return s.platformURL
	}
	return s.partition.platformURL
}

// servePlatform starts the proxy through which west-b reaches the platform. It has
// to be called before the balancers start: cleanups run in reverse order, and the
// server closes only after the balancers have ended their watches.
func (part *partition) servePlatform(t *testing.T, handler http.Handler) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if part.betweenDomains.Load() {
			http.Error(w, "cut off", http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	part.platformURL = srv.URL
}

// startInProcess starts the balancer p in the test process; it logs to out.
func (s *system) startInProcess(p *process, out *os.File) {
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
				IsPartitioned: func(domain, name string) bool { return s.partition.blocks(p, domain, name) },
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
		if err := cmd.Run(ctx, append([]string{"balancer"}, s.balancerFlags(p)...)); err != nil {
			started <- err
		}
	}()
	s.c.Assert(<-started, qt.IsNil)
}

// activeNumber returns the number of the configuration that is active in a failure
// domain.
func (s *system) activeNumber(domain string) uint64 {
	st, err := ticket.LoadStatus(context.Background(), s.client, domain)
	s.c.Assert(err, qt.IsNil)
	return st.Number
}

// TestCutOffDomainServesAndReturns separates the two failure domains from each
// other, and one of them from the platform, accepts a ticket meanwhile, and ends
// the partition. The separated domain must keep its old configuration, serve
// traffic with it, and activate the ticket within 8 s afterwards.
func TestCutOffDomainServesAndReturns(t *testing.T) {
	t.Parallel()
	s := newPartitionedSystem(t, 4, 4)
	r := s.runLoad(30*time.Second, func() {
		time.Sleep(4 * time.Second)
		s.partition.betweenDomains.Store(true)
		time.Sleep(5 * time.Second)
		s.pools["levy-desk"][0].Draining = true
		s.submit()
		time.Sleep(4 * time.Second)
		s.c.Check(s.activeNumber("west-a"), qt.Equals, s.ticketNumber)
		s.c.Check(s.activeNumber("west-b"), qt.Equals, s.ticketNumber-1)
		s.partition.betweenDomains.Store(false)
		t.Logf("active after %v", s.waitActiveInDomains(8*time.Second))
	})
	s.c.Check(r.Doubled, qt.Equals, 0)
	s.c.Check(r.Crossed, qt.Equals, 0)
	s.c.Check(r.Lost, qt.Equals, 0)
	s.c.Check(r.Answered > r.Requests/2, qt.IsTrue)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// TestCutInsideADomainBreaksNothing splits a failure domain into two parts, which
// both reach the platform and the other domain. A ticket must become active in
// both parts meanwhile, and the target that it drains must get no new request.
func TestCutInsideADomainBreaksNothing(t *testing.T) {
	t.Parallel()
	s := newPartitionedSystem(t, 6, 4)
	s.fabric.SetDuplicateRate(duplicateFraction)
	s.partition.separated = map[string]bool{"balancer-1": true}
	drainedTarget := s.targets["levy-desk-1"]
	var runsAfterDrain int
	r := s.runLoad(35*time.Second, func() {
		time.Sleep(4 * time.Second)
		s.partition.withinDomain.Store(true)
		time.Sleep(6 * time.Second)
		s.pools["levy-desk"][0].Draining = true
		s.submit()
		s.waitActiveOnBalancers(8 * time.Second)
		time.Sleep(drainRequestGrace)
		runsAfterDrain = len(drainedTarget.State().Runs)
		time.Sleep(4 * time.Second)
		s.partition.withinDomain.Store(false)
		t.Logf("active after %v", s.waitActiveInDomains(8*time.Second))
	})
	s.c.Check(len(drainedTarget.State().Runs), qt.Equals, runsAfterDrain)
	s.waitActiveOnBalancers(0)
	checkInvariants(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// TestBalancerStartsDuringAnOutage starts two balancers while the platform is
// unavailable. The first has no seeds and must get the configuration from the others,
// which know it from its earlier process instance; the second is unknown and must get
// it from a seed.
func TestBalancerStartsDuringAnOutage(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 3, 3)
	s.kill(s.balancers[2])
	s.platform.SetFaults(s.platform.Faults().WithOutage(true))
	s.start(s.balancers[2])
	s.waitActiveOnBalancers(10 * time.Second)
	s.seeds = s.balancers[0].ip + ":7001"
	unknown := &process{name: "balancer-4", domain: "west-b", ip: s.addr(3, 4, 0).Addr().String()}
	s.balancers = append(s.balancers, unknown)
	s.start(unknown)
	s.waitActiveOnBalancers(10 * time.Second)
}

// dumpedConfigNumber returns the active configuration number in the dump of p, or 0 if
// there is no dump or no configuration.
func (s *system) dumpedConfigNumber(p *process) uint64 {
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
