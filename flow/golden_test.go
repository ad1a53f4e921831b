package flow_test

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/measure"
)

var update = flag.Bool("update", false, "write the golden files again")

const goldenFile = "testdata/session.golden"

// TestSession checks that a simulated fleet with a fixed seed prints the same counts of
// broken flows, imbalance and control traffic as in the golden file, after each change
// of the script. A change of routing or of the exchange of pins changes these figures.
func TestSession(t *testing.T) {
	c := qt.New(t)
	got := runSession(c, "testdata/session.txt")
	if *update {
		c.Assert(os.WriteFile(goldenFile, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(goldenFile)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, string(want))
}

// runSession runs the changes of the script at path and returns a line for each.
func runSession(c *qt.C, path string) string {
	file, err := os.Open(path)
	c.Assert(err, qt.IsNil)
	defer file.Close()
	f := measure.NewFlowSimulation(measure.FlowSimulationConfig{
		Seed: 4, Strategy: measure.StrategyPins, Domains: 3, Balancers: 6, TargetsPerService: []int{8, 4}, FlowsPerTarget: 50,
		InterDomainDelay: 5 * time.Millisecond, IntraDomainDelay: time.Millisecond, MeanPacketInterval: 2 * time.Second,
		MeanFlowLifetime: 30 * time.Second, PermanentRatio: 0.5, MaxUpdateDelay: 2 * time.Second, LossRatio: 0.02, MaxJitter: 20 * time.Millisecond,
		RebalanceInterval: 10 * time.Second, MaxFlows: 2048,
	})
	var out strings.Builder
	for lines := bufio.NewScanner(file); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		at, err := time.ParseDuration(words[0])
		c.Assert(err, qt.IsNil)
		f.Run(at)
		applyChange(c, f, words[1], words[2:])
		mean, _ := f.ControlBytesPerSecond()
		fmt.Fprintf(&out, "%s %s: %+v imbalance %.3f, %.0f B/s\n", at, strings.Join(words[1:], " "), f.Count, f.Imbalance(), mean)
	}
	return out.String()
}

// applyChange makes a change of the given kind. The words are its arguments.
func applyChange(c *qt.C, f *measure.FlowSimulation, kind string, words []string) {
	n := func(i int) int {
		v, err := strconv.Atoi(words[i])
		c.Assert(err, qt.IsNil)
		return v
	}
	d := func(i int) time.Duration {
		v, err := time.ParseDuration(words[i])
		c.Assert(err, qt.IsNil)
		return v
	}
	switch kind {
	case "report":
	case "drain":
		f.Drain(n(0), n(1))
	case "add":
		f.AddTarget(n(0))
	case "join":
		f.Join()
	case "leave":
		f.ShutDownBalancer(n(0))
	case "die":
		f.CrashBalancer(n(0))
	case "kill":
		f.StopTarget(n(0), n(1))
	case "freeze":
		f.PauseBalancer(n(0), d(1))
	case "cut":
		f.PartitionDomain(n(0), d(1))
	default:
		c.Fatalf("unknown change %q", kind)
	}
}
