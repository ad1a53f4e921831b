package main

import (
	"context"
	"net/netip"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	qt "github.com/frankban/quicktest"

	"wisteriaweir/monitor"
)

// TestDumpExitCodes checks the exit codes of dump for valid and invalid command lines
// and for a process that has stopped.
func TestDumpExitCodes(t *testing.T) {
	c := qt.New(t)
	s := monitor.NewServer(monitor.Config{
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Metrics: metrics.NewSet(),
		Dump:    func(context.Context) any { return []int{1} },
		Log:     log.Log,
	})
	c.Assert(s.Start(), qt.IsNil)
	address := s.Addr().String()
	exit := func(args ...string) int {
		return run(context.Background(), append([]string{"wisteriaweir", "dump"}, args...))
	}
	c.Assert(exit(address), qt.Equals, exitOK)
	c.Assert(exit("--json", address), qt.Equals, exitOK)
	c.Assert(exit(), qt.Equals, exitUsage)
	c.Assert(exit("here"), qt.Equals, exitUsage)
	c.Assert(exit("--tls-cert", "cert.pem", address), qt.Equals, exitUsage)
	c.Assert(exit("--tls-cert", "missing", "--tls-key", "missing", "--tls-ca", "missing", address), qt.Equals, exitUsage)
	c.Assert(s.Close(), qt.IsNil)
	c.Assert(exit(address), qt.Equals, exitUnavailable)
}
