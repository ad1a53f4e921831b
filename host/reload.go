package host

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"

	"wisteriaweir/platform"
)

// settingsPollInterval is how often the settings file is checked for changes. The
// platform may change it without sending a signal.
const settingsPollInterval = 3 * time.Second

// invalidSettingMessage is the message of the log line about an invalid setting.
const invalidSettingMessage = "host: invalid setting ignored, its default applies"

// watchSettings reloads the settings whenever their file changes, until ctx ends.
func (h *Host) watchSettings(ctx context.Context) error {
	last := h.statSettings()
	for h.cfg.SettingsPath != "" && platform.Sleep(ctx, settingsPollInterval) == nil {
		if current := h.statSettings(); current != last {
			last = current
			h.Reload()
		}
	}
	return nil
}

// settingsFileState identifies a state of the settings file.
type settingsFileState struct {
	modifiedAt time.Time
	size       int64
}

// statSettings returns the state of the settings file. It is zero if the file cannot
// be read.
func (h *Host) statSettings() settingsFileState {
	info, err := os.Stat(h.cfg.SettingsPath)
	if err != nil {
		return settingsFileState{}
	}
	return settingsFileState{modifiedAt: info.ModTime(), size: info.Size()}
}

// Reload reads the settings file again and logs whether it has changed. A new store
// address is used at once; all other settings apply from the next start. If the file
// is invalid, the old settings remain. Reload may be called from any goroutine.
func (h *Host) Reload() {
	if h.cfg.SettingsPath == "" {
		return
	}
	settings, ignored, err := platform.ReadSettings(h.cfg.SettingsPath)
	if err != nil {
		h.log.WithError(err).Warn("host: invalid settings ignored, previous settings remain active")
		return
	}
	h.invalid.reportAll(settingSource, invalidSettingMessage, ignored)
	previous := h.settings.Swap(&settings)
	h.log.WithFields(log.Fields{"changed": settings != *previous, "path": h.cfg.SettingsPath}).Info("host: settings reloaded")
	if settings.StoreAddr != previous.StoreAddr {
		h.store.Store(h.newStore(settings.StoreAddr))
		h.log.WithFields(log.Fields{"store": settings.StoreAddr, "before": previous.StoreAddr}).Info("host: store address changed")
	}
}
