package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// PlatformFaults is what is wrong with a Platform. Shares are from 0 to 1.
type PlatformFaults struct {
	// Outage makes every call fail before it has any effect.
	Outage bool `json:"outage"`
	// Slow delays each call, in nanoseconds.
	Slow time.Duration `json:"slow"`
	// Drop is the share of calls that never arrive.
	Drop float64 `json:"drop"`
	// DelayedWriteRate is the share of updates that take effect only WriteDelay after their
	// caller lost the connection, in nanoseconds.
	DelayedWriteRate float64       `json:"late"`
	WriteDelay       time.Duration `json:"lateby"`
	// Lost is the share of calls that take effect and whose answer is lost.
	Lost float64 `json:"lost"`
	// LostPuts is the share of updates that take effect and whose answer is
	// lost.
	LostPuts float64 `json:"lostputs"`
	// Stale is the share of reads that return the version before the newest.
	Stale float64 `json:"stale"`
	// Expire makes each watch end at once.
	Expire bool `json:"expire"`
	// InvalidJSONRate is the share of calls that are answered by what is no JSON.
	InvalidJSONRate float64 `json:"rubbish"`
}

// WithOutage returns a copy of f with the outage on or off.
func (f PlatformFaults) WithOutage(on bool) PlatformFaults {
	f.Outage = on
	return f
}

// SetFaults changes what is wrong, and ends the watches that are held.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wakeWatches()
}

// Faults returns what is wrong.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// drawFault draws whether a fault with the given share hits. The caller holds mu.
func (p *Platform) drawFault(fraction float64) bool {
	return fraction > 0 && p.rnd.Float64() < fraction
}

// withFaults counts the calls and puts the faults round them.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		call := callName(r)
		p.mu.Lock()
		p.calls[call]++
		f := p.faults
		drop, lost, invalidJSON := p.drawFault(f.Drop), p.drawFault(f.Lost), p.drawFault(f.InvalidJSONRate)
		lost = lost || call == "put" && p.drawFault(f.LostPuts)
		delayed := call == "put" && p.drawFault(f.DelayedWriteRate)
		p.mu.Unlock()
		if delayed {
			applyLater(r, f.WriteDelay, next)
		}
		if drop || delayed {
			panic(http.ErrAbortHandler)
		}
		if !waitUnlessCancelled(r, f.Slow) {
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

// applyLater lets an update take effect after d, whatever becomes of its caller.
func applyLater(r *http.Request, d time.Duration, next http.HandlerFunc) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes+1))
	if err != nil {
		return
	}
	delayed := r.Clone(context.WithoutCancel(r.Context()))
	delayed.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(d, func() { next(&discardWriter{header: http.Header{}}, delayed) })
}

// waitUnlessCancelled waits for d, and reports whether the caller is still there.
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

// discardWriter is a ResponseWriter whose answer is lost.
type discardWriter struct {
	header http.Header
}

// Header returns the header of the lost answer.
func (d *discardWriter) Header() http.Header { return d.header }

// Write loses b.
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader loses the status.
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
