package host

import (
	"github.com/apex/log"

	"wisteriaweir/platform"
)

// Reload reads the settings file again and logs what differs. Sockets keep their
// addresses, so a changed address holds from the next start on. It may be called
// from any goroutine.
func (h *Host) Reload() {
	if h.cfg.BootPath == "" {
		return
	}
	b, err := platform.ReadBoot(h.cfg.BootPath)
	if err != nil {
		h.log.WithError(err).Warn("host: settings not taken, the old ones stay")
		return
	}
	h.log.WithFields(log.Fields{"changed": b != h.cfg.Boot, "path": h.cfg.BootPath}).Info("host: settings read again")
}
