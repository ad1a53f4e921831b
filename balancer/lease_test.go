package balancer

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/fleet"
	"wisteriaweir/lease"
	"wisteriaweir/member"
	"wisteriaweir/platform"
	"wisteriaweir/setting"
	"wisteriaweir/ticket"
)

// newTestControl returns the control state of a balancer without sockets, whose
// platform calls go through rt.
func newTestControl(rt http.RoundTripper) *control {
	cfg := setting.Balancer{Name: "b1", Domain: "west-a"}
	cfg.Times.LeaseTerm, cfg.Times.SkewBound = 5*time.Second, 500*time.Millisecond
	cfg.Times.Heartbeat = 500 * time.Millisecond
	cfg.Limits.ControlBytes = 8192
	b := &Balancer{
		cfg: Config{Setting: cfg},
		log: &log.Logger{Handler: discard.New()},
		self: member.Member{
			Name: "b1", Domain: "west-a", Life: 1,
			Control: netip.MustParseAddrPort("127.0.0.1:7001"), Hop: netip.MustParseAddrPort("127.0.0.1:7002"),
		},
		started: time.Now(),
		platform: platform.NewClient(platform.ClientConfig{
			URL: "http://platform", Rate: 1000, Burst: 1000, WatchTimeout: time.Second, HTTP: &http.Client{Transport: rt},
		}),
	}
	b.current.Store((&snapshot{}).withMembers(nil))
	b.control = newControl(b)
	return b.control
}

// writeRecord records the objects that were written to the platform.
type writeRecord struct {
	mu      sync.Mutex
	objects []platform.Object
}

func (r *writeRecord) add(o platform.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objects = append(r.objects, o)
}

// writtenTo returns the objects written under a path, oldest first.
func (r *writeRecord) writtenTo(path string) []platform.Object {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.objects), func(o platform.Object) bool { return o.Path != path })
}

// paths returns the paths of all written objects, oldest first.
func (r *writeRecord) paths() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var paths []string
	for _, o := range r.objects {
		paths = append(paths, o.Path)
	}
	return paths
}

// acquireLease makes ctl the holder of the lease of its failure domain. It
// returns after about the delay that the core requests before its first write.
func acquireLease(c *qt.C, ctl *control) {
	ctl.leaseRunner.core.Handle(ctl.b.now(), lease.Contend{})
	var w lease.Write
	for _, e := range ctl.leaseRunner.core.Handle(ctl.b.now(), lease.StateRead{}) {
		switch e := e.(type) {
		case lease.Write:
			w = e
		case lease.Wake:
			time.Sleep(e.At - ctl.b.now())
		}
	}
	for _, e := range ctl.leaseRunner.core.Handle(ctl.b.now(), lease.Tick{}) {
		if e, ok := e.(lease.Write); ok {
			w = e
		}
	}
	e := ctl.leaseRunner.write(context.Background(), w)
	ctl.leaseRunner.core.Handle(ctl.b.now(), e)
	_, holding := ctl.leaseRunner.holding()
	c.Assert(holding, qt.IsTrue)
}

// TestNoWriteAfterTheLeaseExpired guards against writes by a former lease
// holder. The platform fails just before a lease holder writes, and works again
// after the lease has expired: retries must then change neither the fleet object
// nor the status nor the lease object.
func TestNoWriteAfterTheLeaseExpired(t *testing.T) {
	for name, write := range map[string]func(context.Context, *control){
		"fleet": func(ctx context.Context, ctl *control) {
			ctx, cancel := ctl.leaseRunner.contextWithinLease(ctx)
			defer cancel()
			_ = ctl.proposer.writeFleet(ctx, 0, fleet.Fleet{Number: 1})
		},
		"status": func(ctx context.Context, ctl *control) {
			ctl.rolloutRunner.start(ctx)
			ctl.rolloutRunner.tickets[7] = 1
			ctl.rolloutRunner.writeStatus(ticket.Status{Domain: "west-a", Number: 7, Members: 1, Fence: 1})
		},
		"lease": func(ctx context.Context, ctl *control) {
			ctl.leaseRunner.execute(ctx, lease.Write{Version: 1, Record: lease.Record{Holder: "b1", Life: 1, Fence: 1, Renewal: 2, Term: 5 * time.Second}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var written writeRecord
				p := fake.NewPlatform(fake.PlatformConfig{OnWrite: written.add})
				ctl := newTestControl(p.Transport())
				acquireLease(c, ctl)
				c.Assert(written.paths(), qt.DeepEquals, []string{"lease/west-a"})
				p.SetFaults(fake.PlatformFaults{Outage: true})
				ctx, cancel := context.WithCancel(context.Background())
				go write(ctx, ctl)
				time.Sleep(5 * time.Second)
				_, holding := ctl.leaseRunner.holding()
				c.Assert(holding, qt.IsFalse)
				p.SetFaults(fake.PlatformFaults{})
				time.Sleep(time.Minute)
				c.Assert(written.paths(), qt.DeepEquals, []string{"lease/west-a"})
				cancel()
			})
		})
	}
}

// TestPausedHolderBeginsNoWrite guards against a write that starts after the
// lease has expired, because the process was paused between its decision and
// the write. Another lease holder may have written in the meantime.
func TestPausedHolderBeginsNoWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := fake.NewPlatform(fake.PlatformConfig{})
		ctl := newTestControl(p.Transport())
		acquireLease(c, ctl)
		ctx, cancel := ctl.leaseRunner.contextWithinLease(context.Background())
		defer cancel()
		time.Sleep(20 * time.Second)
		_, err := ctl.b.platform.Put(ctx, fleet.Path, 0, fleet.Fleet{Number: 1}.Encode())
		c.Assert(err, qt.IsNotNil)
		_, err = ctl.b.platform.Get(context.Background(), fleet.Path)
		c.Assert(errors.As(err, new(*platform.NotFoundError)), qt.IsTrue)
	})
}
