package monitor

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// serveMetrics serves /metrics in the text format of Prometheus.
func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.cfg.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// serveHealth serves /healthz: any answer shows that the process runs.
func serveHealth(w http.ResponseWriter, _ *http.Request) {
	io.WriteString(w, "ok\n")
}

// serveReady serves /readyz: the state, with status 503 unless the process is
// ready.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := *s.state.Load()
	if state.Phase != PhaseReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	io.WriteString(w, state.String()+"\n")
}

// serveDump serves /dump, one request at a time: others get status 503.
func (s *Server) serveDump(w http.ResponseWriter, r *http.Request) {
	if s.cfg.DumpRefusal != "" {
		http.Error(w, s.cfg.DumpRefusal, http.StatusForbidden)
		return
	}
	if !s.dumpInProgress.CompareAndSwap(false, true) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "another dump is in progress", http.StatusServiceUnavailable)
		return
	}
	defer s.dumpInProgress.Store(false)
	ctx, cancel := context.WithTimeout(r.Context(), dumpTimeout)
	defer cancel()
	body, err := json.Marshal(s.cfg.Dump(ctx))
	if err != nil {
		http.Error(w, "dump: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(body, '\n'))
}
