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
			"exits":  exits,
			"faults": setFaults,
			"member": setStatus,
			"race":   race,
			"store":  store,
		},
	})
}

// startPlatform gives each script a platform of its own.
func startPlatform(env *testscript.Env) error {
	srv := httptest.NewServer(fake.NewPlatform(fake.PlatformConfig{Seed: 1}))
	env.Defer(srv.Close)
	env.Setenv("WISTERIAWEIR_PLATFORM_URL", srv.URL)
	env.Setenv("GORACE", "atexit_sleep_ms=0")
	return nil
}

// exits runs a command that must end with a given exit code: exits CODE COMMAND...
func exits(ts *testscript.TestScript, _ bool, args []string) {
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

// race submits two tickets at one moment: race FILE FILE. One has to be accepted
// and the other refused; what the first prints and what the second complains of
// are the outputs of the command.
func race(ts *testscript.TestScript, _ bool, args []string) {
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
	won := slices.Index(codes[:], exitOK)
	if slices.Sort(codes[:]); codes != [2]int{exitOK, exitConflict} {
		ts.Fatalf("exit codes %v, want %d and %d", codes, exitOK, exitConflict)
	}
	fmt.Fprint(ts.Stdout(), &stdout[won])
	fmt.Fprint(ts.Stderr(), &stderr[1-won])
}

// setFaults sets the faults of the platform: faults JSON.
func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	put(ts, "/v1/faults", []byte(args[0]))
}

// setStatus writes the status of a failure domain with one member:
// member DOMAIN NAME NUMBER VERSION.
func setStatus(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.ParseUint(args[2], 10, 64)
	ts.Check(err)
	s := ticket.Status{Domain: args[0], Number: n, Members: 1, Holder: args[1], Fence: 1}
	version, err := strconv.ParseUint(args[3], 10, 64)
	ts.Check(err)
	putObject(ts, ticket.StatusPath(args[0]), version, s.Encode())
}

// store stores a file as an object that does not exist yet: store FILE PATH.
func store(ts *testscript.TestScript, _ bool, args []string) {
	putObject(ts, args[1], 0, []byte(ts.ReadFile(args[0])))
}

func putObject(ts *testscript.TestScript, path string, version uint64, value []byte) {
	c := platform.New(platform.Config{URL: ts.Getenv("WISTERIAWEIR_PLATFORM_URL")})
	_, err := c.Put(context.Background(), path, version, value)
	ts.Check(err)
}

func put(ts *testscript.TestScript, path string, body []byte) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, ts.Getenv("WISTERIAWEIR_PLATFORM_URL")+path, bytes.NewReader(body))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("%s: status %d", path, resp.StatusCode)
	}
}

// TestExample keeps the example tickets free of mistakes, and the largest
// value within what the platform holds.
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
			t.Fatalf("ticket %d has %d bytes", tk.Number, n)
		}
	}
}
