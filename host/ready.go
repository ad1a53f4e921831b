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
	// leaveAtLeast is how long a leaving host goes on forwarding: the time in
	// which the routers notice that it is not ready.
	leaveAtLeast = 1300 * time.Millisecond
	// leaveQuiet is how long no packet may have come when a leaving host ends.
	leaveQuiet = 300 * time.Millisecond
	// leaveMargin is kept between the end of a leaving host and its kill.
	leaveMargin = 1500 * time.Millisecond
	// leaveStep is the time between two looks at the packets of a leaving host.
	leaveStep = 50 * time.Millisecond
	// readyTimeout bounds one question for readiness.
	readyTimeout = 2 * time.Second
)

// serveReady answers the platform's question whether packets may come here.
func (h *Host) serveReady(ctx context.Context) error {
	l, err := net.Listen("tcp4", h.cfg.Settings.ReadyAddr.String())
	if err != nil {
		return &StartError{Part: "readiness", Address: h.cfg.Settings.ReadyAddr.String(), Err: err}
	}
	srv := &http.Server{
		Handler:           http.HandlerFunc(h.answerReady),
		ReadHeaderTimeout: readyTimeout,
		WriteTimeout:      readyTimeout,
	}
	go func() {
		<-ctx.Done()
		if err := srv.Close(); err != nil {
			h.log.WithError(err).Warn("host: readiness not closed")
		}
	}()
	if err := srv.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// serveMonitor shows metrics, health and a dump.
func (h *Host) serveMonitor(ctx context.Context) error {
	if !h.cfg.Monitor.IsValid() {
		return nil
	}
	srv := monitor.NewServer(monitor.Config{Address: h.cfg.Monitor, Metrics: h.metrics, Dump: h.dump, Log: h.log})
	if err := srv.Start(); err != nil {
		h.log.WithError(err).Error("host: no monitor")
		return nil
	}
	<-ctx.Done()
	if err := srv.Close(); err != nil {
		h.log.WithError(err).Warn("host: monitor not closed")
	}
	return nil
}

func (h *Host) answerReady(w http.ResponseWriter, _ *http.Request) {
	if h.leaving.Load() || !h.current.Load().Complete() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// leave says that the host is not ready and returns when the routers have let
// go of it, or shortly before it is killed.
func (h *Host) leave(ctx context.Context) {
	h.leaving.Store(true)
	h.log.Info("host: leaving")
	start := h.now()
	most := h.cfg.Settings.StopTimeout - leaveMargin
	for ctx.Err() == nil && h.now()-start < most {
		_ = platform.Sleep(ctx, leaveStep)
		quiet := h.now() - time.Duration(h.lastSeen.Load())
		if h.now()-start >= leaveAtLeast && quiet >= leaveQuiet {
			return
		}
	}
}
