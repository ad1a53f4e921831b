package host

import "fmt"

// StartError reports which part of a host could not open its socket.
type StartError struct {
	// Part is packets, notes (messages between hosts) or readiness.
	Part string
	// Address is the address that the part should use.
	Address string
	// Err is the cause.
	Err error
}

func (e *StartError) Error() string {
	return fmt.Sprintf("host: cannot open the socket for %s on %s: %v", e.Part, e.Address, e.Err)
}

func (e *StartError) Unwrap() error {
	return e.Err
}
