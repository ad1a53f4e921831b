package peer

import (
	"fmt"
	"net/netip"
)

// ListenError reports an address on which the process cannot listen.
type ListenError struct {
	Addr netip.AddrPort
	Err  error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// SizeError reports a payload above the limit. Sizes are in bytes.
type SizeError struct {
	To    string
	Kind  Kind
	Size  int
	Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%s to %s: %d bytes, at most %d are allowed", e.Kind, e.To, e.Size, e.Limit)
}

// QueueFullError reports an envelope for which the send queue had no room.
type QueueFullError struct {
	To   string
	Kind Kind
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%s to %s: the queue is full", e.Kind, e.To)
}

// ClosedError reports a Send after Close.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "the transport is closed" }

// InsecureError reports an address that is not a loopback address and therefore must
// not be used without TLS files or hop keys.
type InsecureError struct {
	Addr netip.AddrPort
}

func (e *InsecureError) Error() string {
	return fmt.Sprintf("%s is not a loopback address: TLS files or hop keys are needed", e.Addr)
}

// PrefaceError reports a plain-text connection that does not begin with the HTTP/2
// preface.
type PrefaceError struct{}

func (e *PrefaceError) Error() string { return "the connection does not begin with the HTTP/2 preface" }

// KeyError reports a file with keys or certificates that cannot be used.
type KeyError struct {
	Path string
	Err  error
}

func (e *KeyError) Error() string { return fmt.Sprintf("key file %q: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// DumpError reports a dump that could not be read from another process.
type DumpError struct {
	Addr netip.AddrPort
	Err  error
}

func (e *DumpError) Error() string { return fmt.Sprintf("dump of %s: %v", e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *DumpError) Unwrap() error { return e.Err }
