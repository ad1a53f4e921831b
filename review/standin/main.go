// Command standin plays one case of the review: it starts entry hosts of the project as
// separate processes on loopback addresses, surrounds them with a store, servers, routers and
// clients of its own, writes what happened to record.txt, and checks one rule.
//
// # Usage
//
//	standin -case drain -dir review/1 -program target/wisteriaweir
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With the environment variable TROUBLE=0 the case runs without its disruption.
//
// The stand-ins speak the users' protocol and do nothing that it does not allow. All
// addresses are 127.B.x.y, where B is chosen at the start.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration is the longest time that a case may run. A case that takes longer could not run.
const maxDuration = 115 * time.Second

// cases holds the function of each case by name. It returns the number of violations.
var cases = map[string]func(*world) (int, error){}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of record.txt")
	program := flag.String("program", "target/wisteriaweir", "program of the entry hosts")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: unknown case %q\n", *name)
		return exitFailed
	}
	w, err := newWorld(*dir, *program, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		violations int
		err        error
	}
	done := make(chan outcome, 1)
	go func() {
		n, err := play(w)
		done <- outcome{n, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-interrupted:
		o.err = fmt.Errorf("interrupted")
	case <-time.After(maxDuration):
		o.err = fmt.Errorf("not finished after %v", maxDuration)
	}
	if o.err != nil {
		w.record("the case could not run: %v", o.err)
		fmt.Fprintln(os.Stderr, "standin:", o.err)
		return exitFailed
	}
	w.record("violations: %d", o.violations)
	fmt.Printf("violations: %d\n", o.violations)
	if o.violations > 0 {
		return exitBroken
	}
	return exitHeld
}
