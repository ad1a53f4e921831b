package setting

import (
	"fmt"
	"strings"
)

// exitUsage is the exit code for an invalid command line or setting.
const exitUsage = 2

// Mistake describes one invalid setting.
type Mistake struct {
	// Flag is the flag's name without dashes.
	Flag string
	// Given is the invalid value, empty if none was set.
	Given string
	// Allowed describes the allowed values.
	Allowed string
}

// String returns the flag, its environment variable, the value and the allowed
// values.
func (m Mistake) String() string {
	given := "nothing given"
	if m.Given != "" {
		given = fmt.Sprintf("given %q", m.Given)
	}
	return fmt.Sprintf("--%s (%s): %s, allowed: %s", m.Flag, envVar(m.Flag), given, m.Allowed)
}

// Error reports all invalid settings.
type Error struct {
	// Mistakes holds at least one invalid setting.
	Mistakes []Mistake
}

func (e *Error) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, m := range e.Mistakes {
		lines[i] = m.String()
	}
	return "settings not allowed:\n  " + strings.Join(lines, "\n  ")
}

// ExitCode returns the exit code of the program for this error, 2.
func (e *Error) ExitCode() int {
	return exitUsage
}
