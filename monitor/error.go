package monitor

import (
	"fmt"
	"net/netip"
)

// ListenError reports an address on which the server cannot listen.
type ListenError struct {
	// Address is the configured address.
	Address netip.AddrPort
	// Err is the error of net.Listen.
	Err error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("monitor cannot listen on %s: %v", e.Address, e.Err)
}

// Unwrap returns Err.
func (e *ListenError) Unwrap() error { return e.Err }

// LogError reports an unknown level or format of the log.
type LogError struct {
	// Level is the requested level.
	Level string
	// Format is the requested format.
	Format string
}

func (e *LogError) Error() string {
	return fmt.Sprintf("log level %q, format %q: use debug, info, warn or error, and text or json", e.Level, e.Format)
}

// DumpError reports a failed request for the dump of a process.
type DumpError struct {
	// Address is the monitor address of the process.
	Address string
	// Status is the HTTP status, or 0 if no complete response was received.
	Status int
	// Reason is the body of the error response, or why there was no usable
	// response.
	Reason string
}

func (e *DumpError) Error() string {
	if e.Status == 0 {
		return fmt.Sprintf("dump of %s: no answer: %s", e.Address, e.Reason)
	}
	return fmt.Sprintf("dump of %s: status %d: %s", e.Address, e.Status, e.Reason)
}
