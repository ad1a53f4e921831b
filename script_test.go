package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"wisteriaweir/fake"
	"wisteriaweir/platform"
	"wisteriaweir/ticket"
)

var update = flag.Bool("update", false, "write what the scripts printed into their golden files")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"wisteriaweir": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: *update,
		Setup:         startPlatform,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"exits":  expectExitCode,
			"faults": setFaults,
			"member": setStatus,
			"race":   submitConcurrently,
			"store":  storeFile,
		},
	})
}

// startPlatform starts a fake platform for one script and sets its URL in the
// script's environment.
func startPlatform(env *testscript.Env) error {
	srv := httptest.NewServer(fake.NewPlatform(fake.PlatformConfig{Seed: 1}))
	env.Defer(srv.Close)
	env.Setenv("WISTERIAWEIR_PLATFORM_URL", srv.URL)
	env.Setenv("GORACE", "atexit_sleep_ms=0")
	return nil
}

// expectExitCode implements "exits CODE COMMAND...": it runs a command that must
// end with the exit code CODE.
func expectExitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	err = ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// submitConcurrently implements "race FILE FILE": it submits two tickets at the
// same time. One must be accepted and the other refused with exitConflict. Its
// stdout is that of the accepted submit, its stderr that of the refused one.
func submitConcurrently(ts *testscript.TestScript, _ bool, args []string) {
	var stdout, stderr [2]bytes.Buffer
	var codes [2]int
	var wg sync.WaitGroup
	for i, name := range args {
		cmd := exec.Command("wisteriaweir", "ticket", "submit", ts.MkAbs(name))
		cmd.Env = append(os.Environ(), "WISTERIAWEIR_PLATFORM_URL="+ts.Getenv("WISTERIAWEIR_PLATFORM_URL"))
		cmd.Stdout, cmd.Stderr = &stdout[i], &stderr[i]
		wg.Go(func() {
			_ = cmd.Run()
			codes[i] = cmd.ProcessState.ExitCode()
		})
	}
	wg.Wait()
	acceptedIndex := slices.Index(codes[:], exitOK)
	if slices.Sort(codes[:]); codes != [2]int{exitOK, exitConflict} {
		ts.Fatalf("exit codes %v, want %d and %d", codes, exitOK, exitConflict)
	}
	fmt.Fprint(ts.Stdout(), &stdout[acceptedIndex])
	fmt.Fprint(ts.Stderr(), &stderr[1-acceptedIndex])
}

// setFaults implements "faults JSON": it sets the faults of the fake platform.
func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	httpPut(ts, "/v1/faults", []byte(args[0]))
}

// setStatus implements "member DOMAIN NAME NUMBER VERSION": it writes the status of
// a failure domain with the one member NAME, on which configuration NUMBER is active.
// VERSION is the version of the object that it replaces, 0 if there is none.
func setStatus(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.ParseUint(args[2], 10, 64)
	ts.Check(err)
	s := ticket.Status{Domain: args[0], Number: n, Members: 1, Holder: args[1], Fence: 1}
	version, err := strconv.ParseUint(args[3], 10, 64)
	ts.Check(err)
	putObject(ts, ticket.StatusPath(args[0]), version, s.Encode())
}

// storeFile implements "store FILE PATH": it stores a file as a new object.
func storeFile(ts *testscript.TestScript, _ bool, args []string) {
	putObject(ts, args[1], 0, []byte(ts.ReadFile(args[0])))
}

func putObject(ts *testscript.TestScript, path string, version uint64, value []byte) {
	c := platform.NewClient(platform.ClientConfig{URL: ts.Getenv("WISTERIAWEIR_PLATFORM_URL")})
	_, err := c.Put(context.Background(), path, version, value)
	ts.Check(err)
}

func httpPut(ts *testscript.TestScript, path string, body []byte) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, ts.Getenv("WISTERIAWEIR_PLATFORM_URL")+path, bytes.NewReader(body))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("%s: status %d", path, resp.StatusCode)
	}
}

// TestExample checks that the example tickets are valid and fit into an object of
// the platform.
func TestExample(t *testing.T) {
	var files []ticket.File
	for _, name := range []string{"example/ticket-1.yaml", "example/ticket-2.yaml"} {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, ticket.File{Name: name, Data: data})
	}
	tickets, err := ticket.CheckFiles(files)
	if err != nil {
		t.Fatal(err)
	}
	for _, tk := range tickets {
		if n := len(tk.Encode()); n > platform.MaxValueSize || !strings.Contains(string(tk.Encode()), "levy-desk") {
			t.Fatalf("ticket %d is too large or does not name levy-desk: %d bytes", tk.Number, n)
		}
	}
}
