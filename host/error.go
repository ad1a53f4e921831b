package host

import "fmt"

// StartError says which part of a host could not be started.
type StartError struct {
	Part    string
	Address string
	Err     error
}

func (e *StartError) Error() string {
	return fmt.Sprintf("host: %s on %s: %v", e.Part, e.Address, e.Err)
}

func (e *StartError) Unwrap() error {
	return e.Err
}
