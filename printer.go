package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"wisteriaweir/ticket"
)

// printer writes the results of the operators' commands as text or JSON.
type printer struct {
	w    io.Writer
	json bool
}

func newPrinter(cmd *cli.Command) printer {
	return printer{w: cmd.Root().Writer, json: cmd.Bool("json")}
}

// printJSON writes v as indented JSON.
func (p printer) printJSON(v any) error {
	e := json.NewEncoder(p.w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printResult writes v as JSON if --json is set. Otherwise it writes line, unless
// line is empty. It returns err with its exit code.
func (p printer) printResult(v any, line string, err error) error {
	if !p.json {
		if line != "" {
			fmt.Fprintln(p.w, line)
		}
		return withExitCode(err)
	}
	if printErr := p.printJSON(v); printErr != nil {
		return printErr
	}
	return withExitCode(err)
}

// checkResult is the JSON output of "ticket check".
type checkResult struct {
	Files    int              `json:"files"`
	Mistakes []ticket.Mistake `json:"mistakes"`
}

// mistakeError reports how many mistakes a check found and printed.
type mistakeError struct {
	count int
}

func (e *mistakeError) Error() string {
	if e.count == 1 {
		return "1 mistake"
	}
	return fmt.Sprintf("%d mistakes", e.count)
}

// ExitCode returns exitInvalidTicket.
func (e *mistakeError) ExitCode() int { return exitInvalidTicket }

// printCheck writes the result of checking fileCount files; checkErr is nil if they
// are valid.
func (p printer) printCheck(fileCount int, checkErr *ticket.CheckError) error {
	r := checkResult{Files: fileCount, Mistakes: []ticket.Mistake{}}
	if checkErr == nil {
		return p.printResult(r, "ok", nil)
	}
	r.Mistakes = append(r.Mistakes, checkErr.Mistakes...)
	err := &mistakeError{count: len(r.Mistakes)}
	if p.json {
		return p.printResult(r, "", err)
	}
	for _, m := range r.Mistakes {
		fmt.Fprintln(p.w, m)
	}
	return err
}

// submitResult is the JSON output of "ticket submit".
type submitResult struct {
	Number   uint64  `json:"number"`
	Digest   string  `json:"digest"`
	Accepted bool    `json:"accepted"`
	Newest   uint64  `json:"newest,omitempty"`
	Next     uint64  `json:"next,omitempty"`
	Winner   *winner `json:"winner,omitempty"`
	Error    string  `json:"error,omitempty"`
}

// winner is the ticket that was written first under a contested number. Shared
// lists the services that both tickets change.
type winner struct {
	Title  string   `json:"title"`
	Author string   `json:"author"`
	Digest string   `json:"digest"`
	Shared []string `json:"shared"`
}

// printSubmit writes the outcome of submitting t; h is the newest known head.
func (p printer) printSubmit(t ticket.Ticket, h ticket.Head, err error) error {
	r := submitResult{Number: t.Number, Digest: t.Digest(), Accepted: err == nil, Newest: h.Number}
	var takenErr *ticket.NumberTakenError
	if errors.As(err, &takenErr) {
		w := takenErr.Winner
		r.Winner = &winner{Title: w.Title, Author: w.Author, Digest: w.Digest(), Shared: takenErr.Shared}
	}
	var numberErr *ticket.NumberError
	if errors.As(err, &numberErr) {
		r.Next = numberErr.Next
	}
	if err != nil {
		r.Error = err.Error()
		return p.printResult(r, "", err)
	}
	return p.printResult(r, fmt.Sprintf("ticket %d accepted, digest %.12s", t.Number, t.Digest()), nil)
}

// waitResult is the JSON output of "ticket wait".
type waitResult struct {
	Number   uint64          `json:"number"`
	Accepted bool            `json:"accepted"`
	Active   bool            `json:"force"`
	Domains  []string        `json:"domains"`
	Lagging  []ticket.Status `json:"lagging"`
	Error    string          `json:"error,omitempty"`
}

// printWait writes the outcome of waiting for ticket n.
func (p printer) printWait(n uint64, h ticket.Head, err error) error {
	r := waitResult{Number: n, Accepted: h.Number >= n, Active: err == nil, Domains: h.Domains, Lagging: []ticket.Status{}}
	var lagErr *ticket.LagError
	if errors.As(err, &lagErr) {
		r.Lagging = append(r.Lagging, lagErr.LaggingStatuses...)
	}
	if err != nil {
		r.Error = err.Error()
		return p.printResult(r, "", err)
	}
	return p.printResult(r, fmt.Sprintf("ticket %d in force in %d failure domains", n, len(h.Domains)), nil)
}
