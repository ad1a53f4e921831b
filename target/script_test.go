package target_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/service"
	"wisteriaweir/target"
)

var update = flag.Bool("update", false, "rewrite the output in the scripts of testdata")

// TestScripts runs the files of testdata; runner.runCommand lists the commands. The
// indented lines are the output of the command before them.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) { runScript(t, name) })
	}
}

func runScript(t *testing.T, name string) {
	want, err := os.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	r := &runner{pool: target.NewPool(target.Config{Domain: "kel-a"})}
	r.aggregator = target.NewHealthAggregator(target.HealthAggregatorConfig{Domain: "kel-a", Fence: 1})
	for line := range strings.Lines(string(want)) {
		if strings.HasPrefix(line, "  ") {
			continue
		}
		r.out.WriteString(line)
		if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
			qt.Assert(t, r.runCommand(words[0], words[1:]), qt.IsNil, qt.Commentf("%s", line))
		}
	}
	if *update {
		qt.Assert(t, os.WriteFile(name, r.out.Bytes(), 0o644), qt.IsNil)
		return
	}
	qt.Assert(t, r.out.String(), qt.Equals, string(want))
}

// runner executes the commands of one script and collects the output.
type runner struct {
	pool       *target.Pool
	aggregator *target.HealthAggregator
	now        time.Duration
	table      target.Shares
	out        bytes.Buffer
}

func (r *runner) runCommand(command string, args []string) error {
	switch command {
	case "config": // NUMBER NAME:DOMAIN[:drain]...
		return r.config(args)
	case "report": // NAME healthy|unhealthy|draining LOAD AGE
		load, err := strconv.ParseFloat(args[2], 64)
		if err != nil {
			return err
		}
		age, err := time.ParseDuration(args[3])
		r.handle(target.ReportReceived{Target: args[0], Report: target.Report{
			Age: age, Healthy: args[1] != "unhealthy", Draining: args[1] == "draining", Load: load,
		}})
		return err
	case "health": // FENCE NUMBER DOMAIN [NAME=LEVEL|reach:DOMAIN=LEVEL]...
		return r.health(args)
	case "traffic": // DURATION NAME=OUTCOME..., one attempt for each NAME=OUTCOME every 100ms
		// The outcomes are ok:LATENCY, shed:RETRY-AFTER, fail, flow-ok and flow-fail.
		return r.traffic(args)
	case "opinion": // MEMBER NAME=LEVEL...
		return r.opinion(args)
	case "dump": // NAME
		for _, d := range r.pool.Dump(r.now) {
			if d.Target == args[0] {
				line, err := json.Marshal(d)
				fmt.Fprintf(&r.out, "  %s\n", line)
				return err
			}
		}
		return nil
	case "shares": // prints NAME:STATE:LEVEL/SLOTS[+SLOT-IDLE-TIME] of each target
		r.print("own  ", r.pool.Shares())
		r.print("table", r.table)
		return nil
	default:
		return fmt.Errorf("unknown command %s", command)
	}
}

func (r *runner) config(args []string) error {
	n, err := strconv.ParseUint(args[0], 10, 64)
	s := service.Service{Name: "levy-desk"}
	for _, word := range args[1:] {
		part := strings.Split(word, ":")
		s = s.WithTarget(newTarget(part[0], part[1], len(part) > 2))
	}
	r.handle(target.ServiceConfigured{Number: n, Service: s})
	r.handleAggregator(target.ConfigChanged{Config: service.Config{}.WithNumber(n).WithService(s)})
	return err
}

func newTarget(name, domain string, drain bool) service.Target {
	return service.Target{
		Name: name, Address: netip.MustParseAddrPort("127.0.0.1:9000"), Domain: domain, Weight: 1, Slots: 2, Draining: drain,
	}
}

func (r *runner) health(args []string) error {
	fence, _ := strconv.ParseUint(args[0], 10, 64)
	number, err := strconv.ParseUint(args[1], 10, 64)
	h := target.Health{Domain: args[2], Fence: fence, Number: number}
	for _, word := range args[3:] {
		name, level, _ := strings.Cut(word, "=")
		n, err := strconv.Atoi(level)
		if err != nil {
			return err
		}
		if domain, ok := strings.CutPrefix(name, "reach:"); ok {
			h = h.WithReach(domain, target.Level(n))
			continue
		}
		h = h.WithLevel("levy-desk", name, target.Level(n))
	}
	r.handle(target.HealthUpdated{Health: h})
	return err
}

func (r *runner) traffic(args []string) error {
	d, err := time.ParseDuration(args[0])
	const step = 100 * time.Millisecond
	for end := r.now + d; r.now < end; {
		r.now += step
		for _, word := range args[1:] {
			name, outcome, _ := strings.Cut(word, "=")
			r.attempt(name, outcome)
		}
		r.handle(target.Tick{})
		r.handleAggregator(target.Tick{})
	}
	return err
}

func (r *runner) attempt(name, outcome string) {
	kind, value, _ := strings.Cut(outcome, ":")
	kind, flow := strings.CutPrefix(kind, "flow-")
	d, _ := time.ParseDuration(value)
	switch kind {
	case "ok":
		r.handle(target.Answered{Target: name, IsFlow: flow, Latency: d})
	case "shed":
		r.handle(target.Shed{Target: name, RetryAfter: d})
	default:
		r.handle(target.Failed{Target: name, IsFlow: flow})
	}
}

func (r *runner) opinion(args []string) error {
	o := target.OpinionsReplaced{Member: args[0]}
	for _, word := range args[1:] {
		name, level, _ := strings.Cut(word, "=")
		n, err := strconv.Atoi(level)
		if err != nil {
			return err
		}
		o.Opinions = append(o.Opinions, target.Opinion{Service: "levy-desk", Target: name, Level: target.Level(n)})
	}
	r.handleAggregator(o)
	return nil
}

func (r *runner) handle(e target.Event) {
	for _, f := range r.pool.Handle(r.now, e) {
		switch f := f.(type) {
		case target.StateChanged:
			fmt.Fprintf(&r.out, "  %5s %s: %s to %s (%s)\n", r.now, f.Target, f.From, f.To, f.Reason)
		case target.PublishTable:
			r.table = f.Shares
		}
	}
}

func (r *runner) handleAggregator(e target.HealthAggregatorEvent) {
	for _, f := range r.aggregator.Handle(r.now, e) {
		if p, ok := f.(target.PublishHealth); ok {
			fmt.Fprintf(&r.out, "  %5s agreed %d.%d:", r.now, p.Health.Fence, p.Health.Number)
			for _, rec := range p.Health.Records {
				fmt.Fprintf(&r.out, " %s=%d", rec.Target, rec.Level)
			}
			for _, reach := range p.Health.Reach {
				fmt.Fprintf(&r.out, " reach:%s=%d", reach.Domain, reach.Level)
			}
			r.out.WriteByte('\n')
		}
	}
}

func (r *runner) print(title string, s target.Shares) {
	fmt.Fprintf(&r.out, "  %s", title)
	for i := range s.Len() {
		e := s.At(i)
		fmt.Fprintf(&r.out, " %s:%s:%d/%d", e.Target.Name, e.State, e.Level, e.Slots())
		if e.SlotIdleTime > 0 {
			fmt.Fprintf(&r.out, "+%s", e.SlotIdleTime)
		}
	}
	r.out.WriteByte('\n')
}
