package host_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/host"
	"wisteriaweir/platform"
)

// maxApplyDelay is the time after a write to the store within which all hosts must use it.
const maxApplyDelay = 3 * time.Second

// restoreSystem is a system of two hosts whose store can be restored from a copy.
type restoreSystem struct {
	*system
	t     *testing.T
	store *fake.Platform
	// beforeHosts is a copy of the store from before the hosts started.
	beforeHosts fake.Backup
}

// newRestoreSystem starts the targets and the hosts of a system.
func newRestoreSystem(t *testing.T, lastByte byte) *restoreSystem {
	store := fake.NewPlatform(fake.PlatformConfig{EntryTTL: 2 * time.Second})
	s := &restoreSystem{t: t, store: store, system: newSystemOf(t, systemConfig{
		lastByte: lastByte, platform: store, hostDomains: []string{"west-a", "west-b"}, targetDomains: []string{"west-a", "west-b"}, targets: 3,
	})}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go store.Run(ctx)
	qt.Assert(t, s.environment.AddTargets(ctx), qt.IsNil)
	qt.Assert(t, s.environment.Configure(ctx), qt.IsNil)
	s.beforeHosts = store.Backup()
	for i, settings := range s.settings {
		start(t, host.Config{Settings: settings, Seed: uint64(i), MonitorAddr: s.monitorAddr(i)})
	}
	for _, settings := range s.settings {
		await(t, "ready", func() bool { return status(t, settings) == http.StatusOK })
	}
	return s
}

// awaitInForce waits until all hosts use the newest configuration and know all targets. It
// fails the test if that takes longer than maxApplyDelay.
func (s *restoreSystem) awaitInForce() {
	s.t.Helper()
	end := time.Now().Add(maxApplyDelay)
	for i := range s.settings {
		for d := s.dump(s.t, i); d.Routes != uint64(s.environment.Version()) || len(d.Targets) != len(s.environment.Targets()); d = s.dump(s.t, i) {
			if time.Now().After(end) {
				s.t.Fatalf("host %d has routes %d and %d targets, want %d and %d", i, d.Routes, len(d.Targets), s.environment.Version(), len(s.environment.Targets()))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// restore makes the store unavailable for two seconds, brings back the copy, and writes
// the newest configuration again, as the operator does.
func (s *restoreSystem) restore(b fake.Backup) {
	s.store.SetFaults(fake.PlatformFaults{}.WithOutage(true))
	time.Sleep(2 * time.Second)
	s.store.Restore(b)
	s.store.SetFaults(fake.PlatformFaults{})
	qt.Assert(s.t, s.environment.RewriteConfig(context.Background()), qt.IsNil)
}

// TestChangesAfterRestoreAreInForce guards against hosts that ignore the configurations
// and targets of a store that is back from an older copy, because its revisions are lower
// than those that the hosts hold.
func TestChangesAfterRestoreAreInForce(t *testing.T) {
	s := newRestoreSystem(t, 141)
	ctx := context.Background()
	backup := s.store.Backup()
	for range 30 {
		qt.Assert(t, s.environment.Configure(ctx), qt.IsNil)
	}
	s.awaitInForce()

	s.restore(backup)
	s.awaitInForce()
	for range 2 {
		qt.Assert(t, s.environment.Configure(ctx), qt.IsNil)
		qt.Assert(t, s.environment.AddTarget(ctx, "levy-desk", "west-a"), qt.IsNil)
		s.awaitInForce()
	}
}

// TestHostEntryIsWrittenAgain guards against a host that stays unknown to hosts that start
// later, because the store has lost its entry.
func TestHostEntryIsWrittenAgain(t *testing.T) {
	s := newRestoreSystem(t, 151)
	ctx := context.Background()
	names := func() int {
		listing, err := platform.NewStore(platform.StoreConfig{URL: s.system.store.URL}).List(ctx, platform.KindHosts)
		qt.Assert(t, err, qt.IsNil)
		return len(listing.Records)
	}
	await(t, "entries of the hosts", func() bool { return names() == len(s.settings) })
	s.restore(s.beforeHosts)
	qt.Assert(t, names(), qt.Equals, 0)
	await(t, "entries of the hosts after the restore", func() bool { return names() == len(s.settings) })
}
