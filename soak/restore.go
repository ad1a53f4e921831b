package soak

import (
	"time"

	"wisteriaweir/fake"
	"wisteriaweir/platform"
)

const (
	// backupInterval is the time between two copies of the store.
	backupInterval = time.Second
	// maxBackups is the number of copies that are kept, and so the age in seconds of the
	// oldest copy that a restore brings back.
	maxBackups = 5
	// lostChanges is the number of configurations that the operator writes right before a
	// restore. The store loses them, so its revision goes back far enough for hosts to miss
	// later changes if they compare revisions of different eras.
	lostChanges = 30
	// lossDelay is the time from these writes to the restore, in which hosts read them.
	lossDelay = 1200 * time.Millisecond
	// rewriteDelay is the time after a restore until the operator writes again what the
	// store has lost.
	rewriteDelay = 300 * time.Millisecond
)

// copyStore copies the store regularly until the run ends.
func (r *run) copyStore() {
	for platform.Sleep(r.ctx, backupInterval) == nil {
		b := r.store.Backup()
		r.mu.Lock()
		r.backups = append(r.backups, b)
		if len(r.backups) > maxBackups {
			r.backups = r.backups[1:]
		}
		r.mu.Unlock()
	}
}

// injectRestore makes the store unavailable, brings it back from a copy and writes again
// what was lost. It does nothing if there is no copy yet.
func (r *run) injectRestore(s Step) {
	backup, ok := r.selectBackup(s.Selector)
	if !ok {
		return
	}
	for range lostChanges {
		if r.env.Configure(r.ctx) != nil {
			break // During an outage of the store, the writes fail as expected.
		}
	}
	r.sleep(lossDelay)
	start := time.Now()
	r.store.SetFaults(fake.PlatformFaults{Outage: true})
	r.sleep(s.Duration / 2)
	r.store.Restore(backup)
	restoredAt := time.Now()
	r.store.SetFaults(fake.PlatformFaults{})
	r.recordStoreDown(time.Since(start))
	r.sleep(rewriteDelay)
	r.rewrite()
	r.recordUninformedHosts(restoredAt)
	r.recordStoreFaultEnd()
}

// selectBackup returns one of the copies of the store, and forgets the later ones, which
// the store has lost as well.
func (r *run) selectBackup(selector int) (fake.Backup, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.backups) == 0 {
		return fake.Backup{}, false
	}
	i := selector % len(r.backups)
	selected := r.backups[i]
	r.backups = r.backups[:i+1]
	return selected, true
}

// rewrite writes the newest configuration and the state of the evacuations to the store, and
// then the next configuration.
func (r *run) rewrite() {
	r.retryWrite(func() error { return r.env.RewriteConfig(r.ctx) })
	r.retryWrite(func() error { return r.env.Configure(r.ctx) })
	for _, domain := range domains {
		r.evacuationWrites.Lock()
		r.mu.Lock()
		evacuated := r.evacuated[domain]
		r.mu.Unlock()
		r.retryWrite(func() error {
			if evacuated {
				return r.env.Evacuate(r.ctx, domain)
			}
			return r.env.Withdraw(r.ctx, domain)
		})
		r.evacuationWrites.Unlock()
	}
}

// recordUninformedHosts sets uninformedUntil if a host has started since a restore, after
// which the operator has just written again what was lost.
func (r *run) recordUninformedHosts(restoredAt time.Time) {
	for _, h := range r.hosts {
		h.mu.Lock()
		hasStarted := h.startedAt.After(restoredAt)
		h.mu.Unlock()
		if !hasStarted {
			continue
		}
		r.mu.Lock()
		r.uninformedUntil = time.Now().Add(resumeTime)
		r.mu.Unlock()
	}
}

// retryWrite repeats a write until it succeeds or the run ends.
func (r *run) retryWrite(write func() error) {
	for write() != nil && platform.Sleep(r.ctx, writeRetryDelay) == nil {
	}
}
