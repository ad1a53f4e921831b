package lease_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/lease"
)

var update = flag.Bool("update", false, "write the effects of the scripts into their files")

// TestScripts runs the scripts of testdata. A line TIME EVENT is passed to a lease; the
// indented lines after it are the effects.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := qt.New(t)
			data, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			got := runScript(c, string(data))
			if *update {
				c.Assert(os.WriteFile(file, []byte(got), 0o644), qt.IsNil)
				return
			}
			c.Assert(got, qt.Equals, string(data))
		})
	}
}

// runScript passes the events of a script to a lease. It returns the script with the effects
// that the lease returned.
func runScript(c *qt.C, script string) string {
	l := lease.New(lease.Config{Name: "b1", Life: 1, Term: 6 * time.Second, MaxClockSkew: 300 * time.Millisecond, Seed: 1})
	var out strings.Builder
	for line := range strings.Lines(script) {
		if strings.HasPrefix(line, "\t") {
			continue
		}
		out.WriteString(line)
		if strings.HasPrefix(line, "#") || strings.TrimSpace(line) == "" {
			continue
		}
		at, event, _ := strings.Cut(strings.TrimSpace(line), " ")
		now, err := time.ParseDuration(at)
		c.Assert(err, qt.IsNil)
		for _, e := range l.Handle(now, parseEvent(c, event)) {
			fmt.Fprintf(&out, "\t%s %+v\n", strings.TrimPrefix(fmt.Sprintf("%T", e), "lease."), e)
		}
	}
	return out.String()
}

// parseEvent parses an event and its arguments: NAME VERSION HOLDER LIFE FENCE RENEWAL. The
// holder - stands for none.
func parseEvent(c *qt.C, s string) lease.Event {
	var name string
	var version uint64
	r := lease.Record{Term: 6 * time.Second}
	_, _ = fmt.Sscan(s, &name, &version, &r.Holder, &r.Life, &r.Fence, &r.Renewal)
	r.Holder = strings.TrimPrefix(r.Holder, "-")
	switch name {
	case "contend":
		return lease.Contend{}
	case "withdraw":
		return lease.Withdraw{}
	case "leave":
		return lease.Leave{}
	case "tick":
		return lease.Tick{}
	case "seen":
		return lease.StateRead{Version: version, Record: r}
	case "unchanged":
		return lease.Unchanged{}
	case "failed":
		return lease.ReadFailed{}
	case "written":
		return lease.Written{Version: version}
	case "refused":
		return lease.WriteConflict{Version: version, Record: r}
	case "lost":
		return lease.WriteUnknown{}
	}
	c.Fatalf("unknown event %q", s)
	return nil
}
