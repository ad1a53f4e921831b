package placement_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
	"wisteriaweir/packet"
	"wisteriaweir/placement"
	"wisteriaweir/route"
)

// maxDataSize is the size of the data of a full packet, in bytes.
const maxDataSize = 1200

var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// TestScripts runs the files of testdata and compares the output with them. The lines
// that are not indented are commands, see runner.runCommand; the indented lines below
// each are the decisions and effects of the core and the changes of targets.
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
	r := newRunner()
	for line := range strings.Lines(string(want)) {
		if strings.HasPrefix(line, "  ") {
			continue
		}
		r.out.WriteString(line)
		if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
			qt.Assert(t, r.runCommand(words[0], words[1:]), qt.IsNil, qt.Commentf("%s", line))
			r.applyEffects()
		}
	}
	if *update {
		qt.Assert(t, os.WriteFile(name, r.out.Bytes(), 0o644), qt.IsNil)
		return
	}
	qt.Assert(t, r.out.String(), qt.Equals, string(want))
}

// caller is the caller's end of a flow.
type caller struct {
	name string
	flow packet.FlowKey
	// stamp is the stamp of the target that the opening packet was last sent to.
	stamp uint32
	// seq is the sequence number of the caller's next data.
	seq uint32
	// ackSeq is the sequence number up to which the caller has acknowledged the target's
	// stream.
	ackSeq     uint32
	lastPacket packet.Packet
}

// runner runs the commands of one script and collects the output.
type runner struct {
	core    *placement.Core
	now     time.Duration
	callers map[packet.FlowKey]*caller
	// byName holds the callers by name.
	byName map[string]*caller
	// ports holds the port of each route by its name.
	ports    map[string]uint16
	cat      catalog.Catalog
	revision uint64
	// era rises by one with each restore of the store.
	era uint64
	// warmups holds the warm-ups of services for the routing table.
	warmups map[string]route.Warmup
	// elsewhere is why the flow that was placed last is in another failure domain, printed
	// if showsElsewhere is set.
	elsewhere      string
	showsElsewhere bool
	out            bytes.Buffer
}

func newRunner() *runner {
	r := &runner{
		callers: map[packet.FlowKey]*caller{},
		byName:  map[string]*caller{},
		ports:   map[string]uint16{},
		now:     time.Second,
	}
	r.core = placement.New(r.config())
	return r
}

// config returns the configuration of the core without bounds on warm-ups.
func (r *runner) config() placement.Config {
	return placement.Config{
		Host: "self", Domain: "west-a", Seed: 1, MaxFlows: 50, Observe: r.observe, ObserveFlow: r.observeFlow,
	}
}

func (r *runner) observeFlow(n placement.FlowNotice) {
	r.elsewhere = ""
	if r.showsElsewhere && n.Elsewhere != placement.NotElsewhere {
		r.elsewhere = fmt.Sprintf(" elsewhere, reason %d", n.Elsewhere)
	}
	if n.Event == placement.PermitRefused {
		r.printf("%s: %s", n.Target.ID, n.Event)
	}
}

// printf adds a line with the time since the start of the script to the output.
func (r *runner) printf(format string, args ...any) {
	fmt.Fprintf(&r.out, "  %6s "+format+"\n", append([]any{(r.now - time.Second).Round(time.Millisecond)}, args...)...)
}

func (r *runner) observe(n placement.TargetNotice) {
	if n.Event != placement.TargetAdded {
		r.printf("%s: %s", n.Target.ID, n.Event)
	}
}

// runCommand runs one command:
//
//	routes NAME=SERVICE:KIND[:low|:OBJECTIVE] ...    sets the routing table; low means priority 1 instead of 0,
//	                OBJECTIVE is the latency objective
//	targets NAME:SERVICE:DOMAIN[:drain|:warm|:large|:unsized] ...    sets all targets; drain means draining, warm a
//	                warm-up of 2 s, large six slots instead of two, unsized none
//	bounds OVERSHOOT SLACK    starts a new core with these bounds on warm-ups; must be the first command
//	warmups SERVICE=DURATION[/RATE] ...    sets the warm-ups of services
//	hosts NAME:DOMAIN ...    the known hosts; this one is self
//	open C ROUTE    caller C opens a flow
//	copy C N        the opening packet, retransmitted for the Nth time
//	answer C        the first packet after the target's response to the opening packet
//	data C BYTES    a request
//	rest C BYTES    more data of a request that is longer than one packet
//	again C         the last packet once more
//	got C BYTES     acknowledges BYTES of a response
//	fin C           ends the flow
//	stray C STAMP   data with another stamp
//	others N NAME=BUSY/QUEUED ... [dead=NAME] [doubt=NAME/SUCCEEDED/FAILED] [stalled=NAME/AGE] [responded=NAME/AGE]
//	                the load and health report of host N
//	moved C NAME    the flow of C is from now on one that another host has opened on target NAME
//	lookups         prints the number of stamps that the core looks up
//	found NAME:SERVICE:DOMAIN[:dead] ...    another host has found these targets
//	report          prints the stalls and responses in this host's load report
//	serve N ROUTE NAME=OUTCOME ...    N flows of one request each, 30 ms apart; prints how many each target got.
//	                Requests on a named target end by error (a short response), quit (the caller ends the flow)
//	                or silence; others are answered
//	wait TIME       time passes in steps of 10 ms, with no unread packet
//	reasons         prints from now on why flows are placed in another failure domain
//	outage          the store is unavailable now
//	restore N       the store comes back from a copy with revision N; the next command that
//	                sets targets lists them from it
//	evacuate DOMAIN ...    sets the evacuated failure domains; none without an argument
//	isolated on|off    whether the host is isolated
//	busy TIME       time passes, with unread packets throughout
//	link MBPS       starts a new core on a host with this link speed; must be the first command
//	upload C N TIME    N full packets of caller C, TIME apart, with no unread packet in between
func (r *runner) runCommand(cmd string, args []string) error {
	switch cmd {
	case "routes":
		return r.setRoutes(args)
	case "targets":
		return r.setTargets(args)
	case "others":
		return r.setPeerLoad(args)
	case "bounds":
		return r.setBounds(args)
	case "warmups":
		return r.setWarmups(args)
	case "hosts":
		return r.setHosts(args)
	case "serve":
		return r.serveFlows(args)
	case "report":
		r.printReport()
		return nil
	case "lookups":
		r.printf("lookups: %d", len(r.core.TakeLookups()))
		return nil
	case "found":
		return r.addFound(args)
	case "wait":
		return r.advance(args[0])
	case "evacuate":
		r.revision++
		r.cat = r.cat.WithEvacuations(evacuation.NewSet(args...), r.position())
		r.core.SetCatalog(r.now, r.cat)
		return nil
	case "isolated":
		r.core.SetIsolated(args[0] == "on")
		return nil
	case "reasons":
		r.showsElsewhere = true
		return nil
	case "restore":
		return r.restore(args)
	case "outage":
		r.core.RecordOutage(r.now)
		return nil
	case "busy":
		d, err := time.ParseDuration(args[0])
		r.now += d
		return err
	case "link":
		return r.setLink(args[0])
	case "open":
		return r.openFlow(args[0], args[1])
	}
	c := r.byName[args[0]]
	if c == nil {
		return fmt.Errorf("unknown caller %q", args[0])
	}
	if cmd == "moved" {
		c.stamp = placement.StampOf(args[1])
		return nil
	}
	if cmd == "upload" {
		return r.upload(c, args[1], args[2])
	}
	n := 0
	if len(args) > 1 && args[1] != "" {
		var err error
		if n, err = strconv.Atoi(args[1]); err != nil {
			return err
		}
	}
	return r.sendPacket(cmd, c, uint32(n))
}

// sendPacket sends one packet of a caller. n is the numeric argument of the command, 0
// if it has none.
func (r *runner) sendPacket(cmd string, c *caller, n uint32) error {
	p := packet.Packet{Flow: c.flow, Flags: packet.Ack, Stamp: c.stamp, Seq: c.seq, AckSeq: c.ackSeq}
	switch cmd {
	case "copy":
		p = packet.Packet{Flow: c.flow, Flags: packet.Syn, Retransmits: n, Seq: 1000}
	case "answer":
		c.ackSeq++
		p.AckSeq = c.ackSeq
	case "data", "rest":
		p.Size = uint16(n)
		c.seq += n
	case "again":
		p = c.lastPacket
	case "got":
		c.ackSeq += n
		p.AckSeq = c.ackSeq
	case "fin":
		p.Flags |= packet.Fin
	case "stray":
		p.Stamp, p.Size = n, 10
	default:
		return fmt.Errorf("unknown command %q", cmd)
	}
	c.lastPacket = p
	r.handle(c, p)
	return nil
}

func (r *runner) openFlow(name, route string) error {
	port, ok := r.ports[route]
	if !ok {
		return fmt.Errorf("unknown route %q", route)
	}
	c := &caller{name: name, seq: 1001, flow: packet.FlowKey{
		CallerIP: 0x64400001, ServiceIP: 0xc6120001, CallerPort: uint16(1000 + len(r.byName)), ServicePort: port,
	}}
	r.byName[name], r.callers[c.flow] = c, c
	r.handle(c, packet.Packet{Flow: c.flow, Flags: packet.Syn, Seq: 1000})
	return nil
}

// handle passes one packet of a caller to the core and prints the decision.
func (r *runner) handle(c *caller, p packet.Packet) {
	switch d := r.core.Handle(r.now, p, []byte(c.name)).(type) {
	case placement.Forward:
		elsewhere := ""
		if p.IsOpening() {
			c.stamp, elsewhere = d.To.Stamp, r.elsewhere
		}
		r.printf("%s to %s%s", c.name, d.To.ID, elsewhere)
	case placement.Reject:
		r.printf("%s reset, reason %d", c.name, d.Reason)
	case placement.Drop:
		r.printf("%s dropped, reason %d", c.name, d.Reason)
	case placement.Queue:
		r.printf("%s waits", c.name)
	}
}

// applyEffects prints the effects of the core and applies them to the callers.
func (r *runner) applyEffects() {
	for _, e := range r.core.Effects() {
		switch e := e.(type) {
		case placement.Resend:
			c := r.byName[string(e.Datagram)]
			if e.IsOpening {
				c.stamp = e.To.Stamp
			}
			r.printf("%s sent to %s", c.name, e.To.ID)
		case placement.Reset:
			r.printf("%s reset, reason %d", r.callers[e.Flow].name, e.Reason)
		}
	}
}

// upload sends n packets of full size of a caller at the given interval, and prints only
// the changes of targets.
func (r *runner) upload(c *caller, n, interval string) error {
	count, err := strconv.Atoi(n)
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(interval)
	if err != nil {
		return err
	}
	for range count {
		p := packet.Packet{Flow: c.flow, Flags: packet.Ack, Stamp: c.stamp, Seq: c.seq, AckSeq: c.ackSeq, Size: maxDataSize}
		c.seq += maxDataSize
		r.core.Handle(r.now, p, make([]byte, maxDataSize))
		r.now += d
		r.core.Tick(r.now)
	}
	return nil
}

// advance lets time pass in steps of 10 ms and calls Tick after each.
func (r *runner) advance(duration string) error {
	d, err := time.ParseDuration(duration)
	if err != nil {
		return err
	}
	for end := r.now + d; r.now < end; {
		r.now += 10 * time.Millisecond
		r.core.Tick(r.now)
		r.applyEffects()
	}
	return nil
}
