package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// PlatformFaults are the faults of a Platform. Rates are fractions of calls from 0
// to 1; a "put" is a create or update of an object other than a member.
type PlatformFaults struct {
	// Outage makes calls fail with status 503 and without effect. Calls that DropRate or
	// DelayedWriteRate affects are handled as without an outage.
	Outage bool `json:"outage"`
	// CallDelay delays each call, in nanoseconds in JSON.
	CallDelay time.Duration `json:"slow"`
	// DropRate is the fraction of calls whose connection is closed without effect.
	DropRate float64 `json:"drop"`
	// DelayedWriteRate is the fraction of puts whose connection is closed at once and
	// that take effect WriteDelay later.
	DelayedWriteRate float64 `json:"late"`
	// WriteDelay is the delay of delayed writes, in nanoseconds in JSON.
	WriteDelay time.Duration `json:"lateby"`
	// LostResponseRate is the fraction of calls that take effect and whose response is lost.
	LostResponseRate float64 `json:"lost"`
	// LostPutResponseRate is the fraction of puts that take effect and whose response is lost,
	// in addition to LostResponseRate.
	LostPutResponseRate float64 `json:"lostputs"`
	// StaleReadRate is the fraction of reads of one object that return its previous version.
	StaleReadRate float64 `json:"stale"`
	// EndWatches makes each watch end at once, with or without changes.
	EndWatches bool `json:"expire"`
	// InvalidJSONRate is the fraction of calls that take effect and whose response is
	// not JSON.
	InvalidJSONRate float64 `json:"rubbish"`
}

// WithOutage returns a copy of f with the outage on or off.
func (f PlatformFaults) WithOutage(on bool) PlatformFaults {
	f.Outage = on
	return f
}

// SetFaults replaces the faults. It wakes the open watches, so that EndWatches ends
// them too; the other faults affect new calls only.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wakeWatches()
}

// Faults returns the current faults.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// shouldInject decides at random whether a call is one of the given fraction of calls
// that a fault affects. The caller holds mu.
func (p *Platform) shouldInject(fraction float64) bool {
	return fraction > 0 && p.rng.Float64() < fraction
}

// withFaults returns a handler that counts the calls to next and injects the faults.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		call := callName(r)
		p.mu.Lock()
		p.calls[call]++
		f := p.faults
		drop, lost, invalidJSON := p.shouldInject(f.DropRate), p.shouldInject(f.LostResponseRate), p.shouldInject(f.InvalidJSONRate)
		lost = lost || call == "put" && p.shouldInject(f.LostPutResponseRate)
		delayed := call == "put" && p.shouldInject(f.DelayedWriteRate)
		p.mu.Unlock()
		if delayed {
			applyLater(r, f.WriteDelay, next)
		}
		if drop || delayed {
			panic(http.ErrAbortHandler)
		}
		if !waitUnlessCancelled(r, f.CallDelay) {
			return
		}
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if lost || invalidJSON {
			next(&discardWriter{header: http.Header{}}, r)
		}
		if lost {
			panic(http.ErrAbortHandler)
		}
		if invalidJSON {
			_, _ = io.WriteString(w, `{"meta": "rubbish`)
			return
		}
		next(w, r)
	}
}

// applyLater calls next with a copy of r after d, even if the caller has closed its
// connection by then. The response is discarded.
func applyLater(r *http.Request, d time.Duration, next http.HandlerFunc) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes+1))
	if err != nil {
		return
	}
	delayed := r.Clone(context.WithoutCancel(r.Context()))
	delayed.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(d, func() { next(&discardWriter{header: http.Header{}}, delayed) })
}

// waitUnlessCancelled waits for d and returns true, or returns false when the caller
// closes the connection.
func waitUnlessCancelled(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

// Header returns the header of the discarded response.
func (d *discardWriter) Header() http.Header { return d.header }

// Write discards b and reports it as written.
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader discards the status.
func (d *discardWriter) WriteHeader(int) {}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	d := json.NewDecoder(io.LimitReader(r.Body, 64<<10))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Faults())
}
