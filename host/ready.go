package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"wisteriaweir/monitor"
	"wisteriaweir/platform"
)

const (
	// minDrainTime is how long a draining host continues to forward at least: the
	// time in which the routers notice that it is not ready.
	minDrainTime = 1300 * time.Millisecond
	// drainIdleTime is how long a draining host must have received no packet before
	// it stops.
	drainIdleTime = 300 * time.Millisecond
	// drainKillMargin is the time reserved between the end of draining and the time at
	// which the platform kills the process.
	drainKillMargin = 1500 * time.Millisecond
	// drainPollInterval is how often a draining host checks whether packets still
	// arrive.
	drainPollInterval = 50 * time.Millisecond
	// readyTimeout is the longest time for reading the header of a readiness request,
	// and for writing its response.
	readyTimeout = 2 * time.Second
)

// serveReady serves the readiness checks of the platform until ctx ends.
func (h *Host) serveReady(ctx context.Context) error {
	l, err := net.Listen("tcp4", h.cfg.Settings.ReadyAddr.String())
	if err != nil {
		return &StartError{Part: "readiness", Address: h.cfg.Settings.ReadyAddr.String(), Err: err}
	}
	srv := &http.Server{
		Handler:           http.HandlerFunc(h.handleReady),
		ReadHeaderTimeout: readyTimeout,
		WriteTimeout:      readyTimeout,
	}
	go func() {
		<-ctx.Done()
		if err := srv.Close(); err != nil {
			h.log.WithError(err).Warn("host: cannot close the readiness server")
		}
	}()
	if err := srv.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// serveMonitor serves metrics, health and the dump until ctx ends. If the server
// cannot start, the host runs without it.
func (h *Host) serveMonitor(ctx context.Context) error {
	if !h.cfg.MonitorAddr.IsValid() {
		return nil
	}
	srv := monitor.NewServer(monitor.Config{Address: h.cfg.MonitorAddr, Metrics: h.metrics, Dump: h.dump, Log: h.log})
	if err := srv.Start(); err != nil {
		h.log.WithError(err).Error("host: cannot start the monitor server, running without it")
		return nil
	}
	<-ctx.Done()
	if err := srv.Close(); err != nil {
		h.log.WithError(err).Warn("host: cannot close the monitor server")
	}
	return nil
}

// isReady reports whether packets may be sent to this host: it is not draining, its catalog is
// complete, and it does not wait for the other hosts of its failure domain.
func (h *Host) isReady() bool {
	return !h.draining.Load() && h.currentCatalog.Load().IsComplete() && !h.awaitsDomain.Load()
}

// handleReady responds with status 200 if isReady, and with status 503 otherwise.
func (h *Host) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !h.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// drain reports the host as not ready, and returns when the routers have stopped
// sending to it, or drainKillMargin before the platform kills the process.
func (h *Host) drain(ctx context.Context) {
	h.draining.Store(true)
	h.log.Info("host: leaving")
	start := h.now()
	maxDrainTime := h.cfg.Settings.StopTimeout - drainKillMargin
	for ctx.Err() == nil && h.now()-start < maxDrainTime {
		_ = platform.Sleep(ctx, drainPollInterval)
		idle := h.now() - time.Duration(h.lastPacketAt.Load())
		if h.now()-start >= minDrainTime && idle >= drainIdleTime {
			return
		}
	}
}
