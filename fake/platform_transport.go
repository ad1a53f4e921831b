package fake

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// connectionLostError is returned when the platform aborts the connection of a call.
type connectionLostError struct {
	method string
	path   string
}

func (e *connectionLostError) Error() string {
	return fmt.Sprintf("%s %s: connection lost", e.method, e.path)
}

// Transport returns a transport that calls the platform directly, without a network,
// for tests in virtual time.
func (p *Platform) Transport() http.RoundTripper { return transport{p: p} }

// transport is the http.RoundTripper that Platform.Transport returns.
type transport struct {
	p *Platform
}

// RoundTrip calls the platform. It returns a connectionLostError if a fault loses
// the call or its response, and the context's error if r was cancelled.
func (t transport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			resp, err = nil, &connectionLostError{method: r.Method, path: r.URL.Path}
		default:
			panic(v)
		}
	}()
	w := &responseRecorder{header: http.Header{}, status: http.StatusOK}
	t.p.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return &http.Response{
		Status:     http.StatusText(w.status),
		StatusCode: w.status,
		Header:     w.header,
		Body:       io.NopCloser(&w.body),
		Request:    r,
	}, nil
}

// responseRecorder is a ResponseWriter that records the response.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the response.
func (w *responseRecorder) Header() http.Header { return w.header }

// Write appends b to the recorded body.
func (w *responseRecorder) Write(b []byte) (int, error) { return w.body.Write(b) }

// WriteHeader records the status.
func (w *responseRecorder) WriteHeader(status int) { w.status = status }
