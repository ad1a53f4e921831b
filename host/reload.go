package host

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"

	"wisteriaweir/platform"
)

// bootEvery is the time between two looks at whether the settings file has
// changed: the platform may change it without a signal.
const bootEvery = 3 * time.Second

// watchBoot reads the settings again when their file has changed.
func (h *Host) watchBoot(ctx context.Context) error {
	seen := h.bootStamp()
	for h.cfg.SettingsPath != "" && platform.Sleep(ctx, bootEvery) == nil {
		if now := h.bootStamp(); now != seen {
			seen = now
			h.Reload()
		}
	}
	return nil
}

// bootStamp is what tells one state of the settings file from another.
type bootStamp struct {
	changed time.Time
	size    int64
}

// bootStamp returns the state of the settings file, a zero one if there is none.
func (h *Host) bootStamp() bootStamp {
	info, err := os.Stat(h.cfg.SettingsPath)
	if err != nil {
		return bootStamp{}
	}
	return bootStamp{changed: info.ModTime(), size: info.Size()}
}

// Reload reads the settings file again and logs what differs. A new address of
// the store holds at once; sockets keep their addresses until the next start. It
// may be called from any goroutine.
func (h *Host) Reload() {
	if h.cfg.SettingsPath == "" {
		return
	}
	b, err := platform.ReadSettings(h.cfg.SettingsPath)
	if err != nil {
		h.log.WithError(err).Warn("host: settings not taken, the old ones stay")
		return
	}
	old := h.boot.Swap(&b)
	h.log.WithFields(log.Fields{"changed": b != *old, "path": h.cfg.SettingsPath}).Info("host: settings read again")
	if b.Store != old.Store {
		h.store.Store(h.newStore(b.Store))
		h.log.WithFields(log.Fields{"store": b.Store, "before": old.Store}).Info("host: another address of the store")
	}
}
