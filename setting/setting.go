// Package setting defines the settings of a balancer process: their flags and
// environment variables, and the checks of their values at the start.
//
// # Usage
//
//	cmd := &cli.Command{
//		Name:  "balancer",
//		Flags: setting.Flags(),
//		Action: func(ctx context.Context, cmd *cli.Command) error {
//			cfg, err := setting.FromCommand(cmd)
//			if err != nil {
//				return err
//			}
//			return serve(ctx, cfg)
//		},
//	}
//
// All invalid settings are reported in one *Error. Each flag has an environment
// variable: --lease-term has WISTERIAWEIR_LEASE_TERM. docs/SETTINGS.md lists all
// settings.
package setting

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"
)

// Balancer holds the checked settings of one balancer process.
type Balancer struct {
	// Name is the name of the process, unique among the balancers.
	Name string
	// Domain is the failure domain in which the process runs.
	Domain string
	// Addresses are the addresses of the process, and the one to which it sends
	// replies.
	Addresses Addresses
	// Platform is the base URL of the object API.
	Platform *url.URL
	// Seeds are control addresses of peers to try before the platform's list is read.
	Seeds []netip.AddrPort
	// TLS holds the paths of the files for mutual TLS on the control
	// connections.
	TLS TLS
	// MonitorTLS is MonitorDump or MonitorAll. Without TLS files it is
	// MonitorDump, and the monitor address also serves the dump in plain text.
	MonitorTLS string
	// HopKeyFile is the path of the file with the shared key that authenticates
	// hop datagrams. It may be empty if the hop address is on loopback.
	HopKeyFile string
	// Log is the level and the format of the log.
	Log Log
	// Limits holds the limits of the process on its state and its traffic.
	Limits Limits
	// Times holds the terms, intervals and timeouts of the process.
	Times Times
}

// Addresses are the network addresses of a balancer.
type Addresses struct {
	// Entry is the UDP address to which the fabric delivers datagrams.
	Entry netip.AddrPort
	// Fabric is the UDP address to which replies to callers are sent.
	Fabric netip.AddrPort
	// Control is the TCP address of the gRPC server for other balancers.
	Control netip.AddrPort
	// Hop is the UDP address to which other balancers forward datagrams.
	Hop netip.AddrPort
	// Monitor is the TCP address of metrics, health, readiness and dump over HTTP.
	Monitor netip.AddrPort
}

const (
	// MonitorDump is the value of MonitorTLS with which the monitor address uses
	// plain text. With TLS files, it then refuses the dump, which only the
	// control address serves, over mutual TLS.
	MonitorDump = "dump"
	// MonitorAll is the value of MonitorTLS with which the monitor address
	// accepts mutual TLS connections only.
	MonitorAll = "all"
)

// TLS holds the paths of the files for mutual TLS between balancers. Either all
// three are set or, on loopback only, none.
type TLS struct {
	// CertFile is the path of the certificate.
	CertFile string
	// KeyFile is the path of the private key.
	KeyFile string
	// CAFile is the path of the certificates of the trusted authorities.
	CAFile string
}

// Enabled reports whether TLS files are set.
func (t TLS) Enabled() bool {
	return t.CertFile != ""
}

// Log is the level and the format of the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
}

// Limits holds the limits of a balancer on its state and its traffic.
type Limits struct {
	// Shards is the number of flow shards, each owned by one worker at a time.
	Shards int
	// ShardQueue is the largest number of datagrams queued for one shard.
	ShardQueue int
	// FlowsPerShard is the largest number of flows of one shard.
	FlowsPerShard int
	// FlowsPerCaller is the largest number of open flows of one caller address.
	FlowsPerCaller int
	// QueuedPerService is the largest number of requests queued for one
	// service.
	QueuedPerService int
	// QueuedPerCaller is the largest number of requests queued for one caller
	// address.
	QueuedPerCaller int
	// DedupeEntries is the largest number of request keys that are stored to
	// recognize duplicates.
	DedupeEntries int
	// ControlBytes is the budget of control traffic in bytes per second.
	ControlBytes int
	// Datagram is the largest accepted size of a datagram in bytes, without the
	// PROXY header.
	Datagram int
}

// Times holds the terms, intervals and timeouts of a balancer.
type Times struct {
	// RequestDeadline is the deadline of a request that specifies none.
	RequestDeadline time.Duration
	// RequestDeadlineMax is the longest deadline that a caller may specify.
	RequestDeadlineMax time.Duration
	// RepeatWindow is how long a duplicate of a request is recognized.
	RepeatWindow time.Duration
	// PauseBound is the longest pause of the process after which it may still
	// forward requests that it had claimed before.
	PauseBound time.Duration
	// SkewBound is the largest drift assumed between two clocks over one term.
	SkewBound time.Duration
	// FlowIdle is how long a flow without datagrams is retained.
	FlowIdle time.Duration
	// FlowSilence is how long a flow may send without a reply, while other
	// flows of its target get replies, before it is ended.
	FlowSilence time.Duration
	// DrainLimit is the time limit of a graceful shutdown.
	DrainLimit time.Duration
	// LeaseTerm is the term of the lease of a failure domain.
	LeaseTerm time.Duration
	// Heartbeat is the interval of heartbeats between balancers.
	Heartbeat time.Duration
	// PlatformTimeout is the time limit of one call of the object API other
	// than a watch.
	PlatformTimeout time.Duration
	// WatchTimeout is how long one watch of the object API waits for a change.
	WatchTimeout time.Duration
}

// Flags returns a flag for each setting. All of them are string flags, so that
// FromCommand can report all invalid values at once.
func Flags() []cli.Flag {
	var flags []cli.Flag
	for _, s := range Settings() {
		flags = append(flags, &cli.StringFlag{
			Name:        s.Flag,
			Usage:       s.usageText(),
			Value:       s.Default,
			DefaultText: s.Default,
			Sources:     cli.EnvVars(s.EnvVar),
		})
	}
	return flags
}

// FromCommand reads the settings from cmd, whose flags are Flags(). If settings
// are invalid, it returns an *Error that lists all of them.
func FromCommand(cmd *cli.Command) (Balancer, error) {
	return parse(cmd.String)
}

// parse reads each setting with lookup, which returns the value of a flag,
// empty if it is not set.
func parse(lookup func(flag string) string) (Balancer, error) {
	var b Balancer
	var mistakes []Mistake
	for _, s := range Settings() {
		value := lookup(s.Flag)
		if value == "" {
			value = s.Default
		}
		if !s.apply(&b, value) {
			mistakes = append(mistakes, Mistake{Flag: s.Flag, Given: value, Allowed: s.Allowed})
		}
	}
	mistakes = append(mistakes, combinationMistakes(b)...)
	if len(mistakes) > 0 {
		return Balancer{}, &Error{Mistakes: mistakes}
	}
	return b, nil
}
