package ticket

import (
	"fmt"
	"strings"
)

// Mistake is one validation error of a ticket.
type Mistake struct {
	// File is the name of the file, empty for a ticket that was not read from a file.
	File string `json:"file,omitempty"`
	// Line is the line in the file, starting at 1, or 0 if unknown.
	Line int `json:"line,omitempty"`
	// Field is the path of the field, such as services[0].pool[1].weight.
	Field string `json:"field"`
	// Reason describes the error.
	Reason string `json:"reason"`
}

// String returns the mistake as one line, in the form "FILE:LINE: FIELD: REASON".
func (m Mistake) String() string {
	var b strings.Builder
	if m.File != "" {
		b.WriteString(m.File + ":")
	}
	if m.Line > 0 {
		fmt.Fprintf(&b, "%d:", m.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if m.Field != "" {
		b.WriteString(m.Field + ": ")
	}
	return b.String() + m.Reason
}

// CheckError holds every mistake of one or more tickets.
type CheckError struct {
	// Mistakes has at least one element.
	Mistakes []Mistake
}

func (e *CheckError) Error() string {
	if len(e.Mistakes) == 1 {
		return "ticket: " + e.Mistakes[0].String()
	}
	return fmt.Sprintf("ticket: %d mistakes, the first is: %s", len(e.Mistakes), e.Mistakes[0])
}

// checkError returns a *CheckError with the mistakes, or nil if there are none.
func checkError(mistakes []Mistake) error {
	if len(mistakes) == 0 {
		return nil
	}
	return &CheckError{Mistakes: mistakes}
}
