package request_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/request"
	"wisteriaweir/service"
)

// TestSessions guards against changes of the messages and decisions in typical
// sessions. Each file of testdata/sessions contains commands, a line of dashes, and
// what the balancers and targets then do. With UPDATE_SESSIONS=1 the second part is
// written again.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := qt.New(t)
			b, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			commands, want, ok := strings.Cut(string(b), "---\n")
			c.Assert(ok, qt.IsTrue)
			got := runSession(c, commands)
			if os.Getenv("UPDATE_SESSIONS") != "" {
				c.Assert(os.WriteFile(file, []byte(commands+"---\n"+got), 0o600), qt.IsNil)
				return
			}
			c.Assert(got, qt.Equals, want)
		})
	}
}

// session is a network that runs commands, one per line:
//
//	balancer NAME DOMAIN
//	TIME ask BALANCER NUMBER get|post
//	TIME kill|view|cut BALANCER
//
// The command view sends the balancer a view of the balancers that it can reach,
// and cut partitions the failure domain of the balancer.
type session struct {
	*network
	c   *qt.C
	out strings.Builder
}

func runSession(c *qt.C, commands string) string {
	domains := []string{"d1", "d2", "d3"}
	cfg := service.Config{}.WithNumber(1).WithService(newService(deskName, domains, 3, 1))
	s := &session{network: newNetwork(1, len(domains), cfg), c: c}
	s.onEffect = s.printEffect
	lines := strings.Split(strings.TrimSpace(commands), "\n")
	for _, line := range lines {
		if f := strings.Fields(line); f[0] == "balancer" {
			s.start(f[1], f[2], 1)
		}
	}
	s.eventToAll(request.ViewChanged{Members: s.live(0)})
	s.eventToAll(request.ClaimHoldersChanged{Set: request.ClaimHolderSet{Number: 1, Members: s.live(0)}})
	for _, line := range lines {
		s.scheduleCommand(strings.Fields(line))
	}
	s.RunUntil(10 * time.Second)
	return s.out.String()
}

func (s *session) scheduleCommand(f []string) {
	if f[0] == "balancer" {
		return
	}
	at, err := time.ParseDuration(f[0])
	s.c.Assert(err, qt.IsNil)
	s.After(at, func() {
		fmt.Fprintf(&s.out, "%7.1fms %s\n", float64(at.Microseconds())/1000, strings.Join(f[1:], " "))
		s.command(f[1], f[2:])
	})
}

func (s *session) command(name string, args []string) {
	var n *node
	for _, o := range s.nodes {
		if o.member.Name == args[0] {
			n = o
		}
	}
	switch name {
	case "ask":
		var i int
		_, err := fmt.Sscan(args[1], &i)
		s.c.Assert(err, qt.IsNil)
		r := request.Request{Key: newKey(i), Service: deskName, Repeatable: args[2] == "get", Remaining: time.Second}
		s.event(n, request.Received{Request: r})
	case "kill":
		s.kill(n)
	case "view":
		s.event(n, request.ViewChanged{Members: s.reachable(n)})
	case "cut":
		s.partitions[n.member.Domain]++
	default:
		s.c.Fatalf("no command %q", name)
	}
}

// reachable returns the live members in the same partition as n.
func (s *session) reachable(n *node) []request.Member {
	var members []request.Member
	for _, m := range s.live(0) {
		if s.partitions[m.Domain] == s.partitions[n.member.Domain] {
			members = append(members, m)
		}
	}
	return members
}

// printEffect writes an effect as one line, except for heartbeats, load reports,
// aborts, timers and Stopped.
func (s *session) printEffect(n *node, e request.Effect) {
	line := ""
	switch e := e.(type) {
	case request.Forward:
		line = fmt.Sprintf("forwards %s to %s", e.Request.Key.Token, e.Target.Name)
	case request.Reply:
		line = fmt.Sprintf("tells %s %s", e.Key.Token, outcomeText(e.Outcome))
	case request.Send:
		line = messageLine(e)
	case request.Abort, request.Wake, request.Stopped:
	}
	if line != "" {
		fmt.Fprintf(&s.out, "%7.1fms %s %s\n", float64(s.Now().Microseconds())/1000, n.member.Name, line)
	}
}

func messageLine(e request.Send) string {
	switch m := e.Message.(type) {
	case request.ClaimHolderHeartbeat, request.LoadReport:
		return ""
	case request.ClaimRequest:
		return fmt.Sprintf("asks %s for a claim", e.To.Name)
	case request.Vote:
		return fmt.Sprintf("votes to %s: %s", e.To.Name, []string{"granted", "denied", "unready"}[m.Decision])
	default:
		return fmt.Sprintf("sends %s to %s", strings.TrimPrefix(fmt.Sprintf("%T", m), "request."), e.To.Name)
	}
}

func outcomeText(o request.Outcome) string {
	return []string{"the answer", "not run", "busy", "outcome not known"}[o]
}
