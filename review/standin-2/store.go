package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// store is a client of the platform's store.
type store struct {
	base string
	http http.Client
}

// newStore returns a client of the store at addr.
func newStore(addr string) *store {
	return &store{base: "http://" + addr + "/api/objects/", http: http.Client{Timeout: 2 * time.Second}}
}

// put creates an object, or replaces its content. It reports whether the store has accepted it.
func (s *store) put(ctx context.Context, kind, name string, spec any) bool {
	body, err := json.Marshal(map[string]any{"meta": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		return false
	}
	status := s.call(ctx, http.MethodPut, kind+"/"+name, body)
	if status == http.StatusNotFound {
		status = s.call(ctx, http.MethodPost, kind, body)
	}
	return status == http.StatusOK
}

// call makes one call and returns the status of the response, 0 if there is none.
func (s *store) call(ctx context.Context, method, path string, body []byte) int {
	req, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.http.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// routes returns the operator's configuration: one route, whose requests have a flow each.
func (w worldConfig) routes() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": w.routeAddr().Addr().String(), "path_prefix": fmt.Sprintf("/%d/", w.routeAddr().Port()), "type": "unsafe",
			"timeout_ms": 1200, "target_latency_ms": 300, "priority": 1, "service": serviceName, "max_attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false,
			"warmup_s": warmupTime.Seconds(), "warmup_per_s": w.warmupRate,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
