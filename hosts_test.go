package main

import (
	"bytes"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// hostsLine is the line of script/runhosts.
var hostsLine = regexp.MustCompile(`(?m)^requests=(\d+) answered=(\d+) refused=\d+ failed=(\d+) late=\d+ doubled=0 crossed=0 cut=0 forged=0 resets=\d+$`)

// TestHostsServeThroughRestarts runs script/runhosts: six hosts as processes of
// their own among stand-ins of the platform, one of them restarted and one
// killed under load.
func TestHostsServeThroughRestarts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	program, err := exec.LookPath("wisteriaweir")
	c.Assert(err, qt.IsNil)
	var out, complaints bytes.Buffer
	cmd := exec.Command("script/runhosts")
	cmd.Stdout, cmd.Stderr = &out, &complaints
	cmd.Env = append(os.Environ(), "WISTERIAWEIR_RUN_SECONDS=12", "WISTERIAWEIR_RUN_LOGS="+t.TempDir(),
		"WISTERIAWEIR_RUN_PROGRAM="+program, "WISTERIAWEIR_RUN_BLOCK="+strconv.Itoa(newBlock(qt.New(t))))
	c.Assert(cmd.Run(), qt.IsNil, qt.Commentf("%s\n%s", &out, &complaints))
	t.Log(out.String())
	m := hostsLine.FindStringSubmatch(out.String())
	c.Assert(m, qt.HasLen, 4, qt.Commentf("%s", &out))
	requests, err := strconv.Atoi(m[1])
	c.Assert(err, qt.IsNil)
	answered, err := strconv.Atoi(m[2])
	c.Assert(err, qt.IsNil)
	// The routers send to a killed host for up to a second; what it held is tried
	// again by its caller, or lost.
	c.Check(requests > 500, qt.IsTrue, qt.Commentf("%d requests", requests))
	c.Check(answered*100 >= requests*97, qt.IsTrue, qt.Commentf("%d of %d answered", answered, requests))
}
