package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"wisteriaweir/ticket"
)

// printer prints the results of the operators' commands, as text or as JSON.
type printer struct {
	w    io.Writer
	json bool
}

func newPrinter(cmd *cli.Command) printer {
	return printer{w: cmd.Root().Writer, json: cmd.Bool("json")}
}

// print prints v as indented JSON.
func (p printer) print(v any) error {
	e := json.NewEncoder(p.w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// result prints v as JSON, or the line, and returns err with its exit code.
func (p printer) result(v any, line string, err error) error {
	if !p.json {
		if line != "" {
			fmt.Fprintln(p.w, line)
		}
		return withCode(err)
	}
	if printErr := p.print(v); printErr != nil {
		return printErr
	}
	return withCode(err)
}

// checkResult is the result of a check.
type checkResult struct {
	Files    int              `json:"files"`
	Mistakes []ticket.Mistake `json:"mistakes"`
}

// mistakeError says how many mistakes were printed.
type mistakeError struct {
	count int
}

func (e *mistakeError) Error() string {
	if e.count == 1 {
		return "1 mistake"
	}
	return fmt.Sprintf("%d mistakes", e.count)
}

// ExitCode returns the exit code of the program for this error.
func (e *mistakeError) ExitCode() int { return exitMistake }

// checked prints the mistakes of the given number of files.
func (p printer) checked(files int, wrong *ticket.CheckError) error {
	r := checkResult{Files: files, Mistakes: []ticket.Mistake{}}
	if wrong == nil {
		return p.result(r, "ok", nil)
	}
	r.Mistakes = append(r.Mistakes, wrong.Mistakes...)
	err := &mistakeError{count: len(r.Mistakes)}
	if p.json {
		return p.result(r, "", err)
	}
	for _, m := range r.Mistakes {
		fmt.Fprintln(p.w, m)
	}
	return err
}

// submitResult is the result of a submit.
type submitResult struct {
	Number   uint64  `json:"number"`
	Digest   string  `json:"digest"`
	Accepted bool    `json:"accepted"`
	Newest   uint64  `json:"newest,omitempty"`
	Next     uint64  `json:"next,omitempty"`
	Winner   *winner `json:"winner,omitempty"`
	Error    string  `json:"error,omitempty"`
}

// winner is the ticket that holds a number.
type winner struct {
	Title  string   `json:"title"`
	Author string   `json:"author"`
	Digest string   `json:"digest"`
	Shared []string `json:"shared"`
}

// submitted prints the outcome of a submit.
func (p printer) submitted(t ticket.Ticket, h ticket.Head, err error) error {
	r := submitResult{Number: t.Number, Digest: t.Digest(), Accepted: err == nil, Newest: h.Number}
	var taken *ticket.NumberTakenError
	if errors.As(err, &taken) {
		w := taken.Winner
		r.Winner = &winner{Title: w.Title, Author: w.Author, Digest: w.Digest(), Shared: taken.Shared}
	}
	var ahead *ticket.NumberError
	if errors.As(err, &ahead) {
		r.Next = ahead.Next
	}
	if err != nil {
		r.Error = err.Error()
		return p.result(r, "", err)
	}
	return p.result(r, fmt.Sprintf("ticket %d accepted, digest %.12s", t.Number, t.Digest()), nil)
}

// waitResult is the result of a wait.
type waitResult struct {
	Number   uint64          `json:"number"`
	Accepted bool            `json:"accepted"`
	Force    bool            `json:"force"`
	Domains  []string        `json:"domains"`
	Lagging  []ticket.Status `json:"lagging"`
	Error    string          `json:"error,omitempty"`
}

// waited prints the outcome of a wait.
func (p printer) waited(n uint64, h ticket.Head, err error) error {
	r := waitResult{Number: n, Accepted: h.Number >= n, Force: err == nil, Domains: h.Domains, Lagging: []ticket.Status{}}
	var lag *ticket.LagError
	if errors.As(err, &lag) {
		r.Lagging = append(r.Lagging, lag.Lagging...)
	}
	if err != nil {
		r.Error = err.Error()
		return p.result(r, "", err)
	}
	return p.result(r, fmt.Sprintf("ticket %d in force in %d failure domains", n, len(h.Domains)), nil)
}
