package setting

import (
	"net/netip"
	"strings"
	"time"
)

// envPrefix starts the name of each environment variable.
const envPrefix = "WISTERIAWEIR_"

// Setting describes one setting.
type Setting struct {
	// Flag is the name of the flag without dashes.
	Flag string
	// EnvVar is the name of the environment variable.
	EnvVar string
	// Unit is the unit or the kind of the value, such as "bytes" or "IP:port".
	Unit string
	// Default is the value of a setting that is not set; empty if it has no
	// default.
	Default string
	// Allowed describes the allowed values.
	Allowed string
	// Usage describes what the setting does.
	Usage string

	// apply stores a value in b, and returns false if the value is not allowed.
	apply func(b *Balancer, value string) bool
}

// usageText returns the help text of the flag.
func (s Setting) usageText() string {
	return s.Usage + " (" + s.Unit + "; " + s.Allowed + ")"
}

// envVar returns the name of the environment variable of a flag.
func envVar(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Settings returns all settings, in the order of docs/SETTINGS.md.
func Settings() []Setting {
	var all []Setting
	all = append(all, identitySettings()...)
	all = append(all, fileSettings()...)
	all = append(all, limitSettings()...)
	return append(all, timeSettings()...)
}

// identitySettings returns the settings of the name, the domain and the
// addresses.
func identitySettings() []Setting {
	return []Setting{
		requiredName("name", "name of the process, unique among the balancers", func(b *Balancer) *string { return &b.Name }),
		requiredName("domain", "failure domain in which the process runs", func(b *Balancer) *string { return &b.Domain }),
		listenAddress("entry-address", "UDP address to which the fabric delivers datagrams", "127.0.0.1:7000",
			func(b *Balancer) *netip.AddrPort { return &b.Addresses.Entry }),
		dialAddress("fabric-address", "UDP address to which replies to callers are sent", "127.0.0.1:7100",
			func(b *Balancer) *netip.AddrPort { return &b.Addresses.Fabric }),
		dialAddress("control-address", "TCP address for other balancers (gRPC)", "127.0.0.1:7001",
			func(b *Balancer) *netip.AddrPort { return &b.Addresses.Control }),
		dialAddress("hop-address", "UDP address for datagrams forwarded by another balancer", "127.0.0.1:7002",
			func(b *Balancer) *netip.AddrPort { return &b.Addresses.Hop }),
		listenAddress("monitor-address", "TCP address of metrics, health, readiness and dump (HTTP)", "127.0.0.1:7003",
			func(b *Balancer) *netip.AddrPort { return &b.Addresses.Monitor }),
		platformURL("platform-url", "base URL of the platform's object API", "http://127.0.0.1:7200"),
		seeds("seeds", "control addresses of peers to contact before the platform's list is read"),
	}
}

// fileSettings returns the settings of files, TLS and the log.
func fileSettings() []Setting {
	return []Setting{
		file("tls-cert", "certificate of the control connections", func(b *Balancer) *string { return &b.TLS.CertFile }),
		file("tls-key", "private key of the control connections", func(b *Balancer) *string { return &b.TLS.KeyFile }),
		file("tls-ca", "CA certificates that verify peers and operators", func(b *Balancer) *string { return &b.TLS.CAFile }),
		choice("monitor-tls", "endpoints of --monitor-address that require mutual TLS when TLS files are set", MonitorDump, []string{MonitorDump, MonitorAll},
			func(b *Balancer) *string { return &b.MonitorTLS }),
		file("hop-key", "shared key that authenticates hop datagrams", func(b *Balancer) *string { return &b.HopKeyFile }),
		choice("log-level", "lowest level that is logged", "info", []string{"debug", "info", "warn", "error"},
			func(b *Balancer) *string { return &b.Log.Level }),
		choice("log-format", "format of the log", "text", []string{"text", "json"},
			func(b *Balancer) *string { return &b.Log.Format }),
	}
}

// limitSettings returns the settings of Limits.
func limitSettings() []Setting {
	return []Setting{
		count("shards", "shards", "flow shards, each owned by one worker at a time", 8, 1, 256,
			func(b *Balancer) *int { return &b.Limits.Shards }),
		count("shard-queue", "datagrams", "maximum number of datagrams queued for one shard", 1024, 16, 65536,
			func(b *Balancer) *int { return &b.Limits.ShardQueue }),
		count("flows-per-shard", "flows", "maximum number of flows in one shard", 131072, 64, 4194304,
			func(b *Balancer) *int { return &b.Limits.FlowsPerShard }),
		count("flows-per-caller", "flows", "maximum number of open flows from one caller address", 4096, 1, 1048576,
			func(b *Balancer) *int { return &b.Limits.FlowsPerCaller }),
		count("queued-per-service", "requests", "maximum number of requests queued for one service", 1024, 1, 65536,
			func(b *Balancer) *int { return &b.Limits.QueuedPerService }),
		count("queued-per-caller", "requests", "maximum number of requests queued for one caller address", 64, 1, 65536,
			func(b *Balancer) *int { return &b.Limits.QueuedPerCaller }),
		count("dedupe-entries", "requests", "maximum number of request keys stored to recognize duplicates", 262144, 1024, 4194304,
			func(b *Balancer) *int { return &b.Limits.DedupeEntries }),
		count("control-bytes", "bytes/s", "bandwidth budget of control traffic", 8192, 1024, 1048576,
			func(b *Balancer) *int { return &b.Limits.ControlBytes }),
		count("datagram-size", "bytes", "largest accepted datagram, without PROXY header", 1472, 512, 65000,
			func(b *Balancer) *int { return &b.Limits.Datagram }),
	}
}

// timeSettings returns the settings of Times.
func timeSettings() []Setting {
	return []Setting{
		duration("request-deadline", "deadline of a request that specifies none", 2*time.Second, 10*time.Millisecond, 5*time.Minute,
			func(b *Balancer) *time.Duration { return &b.Times.RequestDeadline }),
		duration("request-deadline-max", "longest deadline that a caller may specify", 30*time.Second, 10*time.Millisecond, 5*time.Minute,
			func(b *Balancer) *time.Duration { return &b.Times.RequestDeadlineMax }),
		duration("repeat-window", "how long a duplicate of a request is recognized", time.Minute, time.Second, 10*time.Minute,
			func(b *Balancer) *time.Duration { return &b.Times.RepeatWindow }),
		duration("pause-bound", "longest pause of the process after which it may still forward requests claimed before", 2*time.Second, 100*time.Millisecond, time.Minute,
			func(b *Balancer) *time.Duration { return &b.Times.PauseBound }),
		duration("skew-bound", "largest drift assumed between two clocks over one lease term", 500*time.Millisecond, time.Millisecond, 10*time.Second,
			func(b *Balancer) *time.Duration { return &b.Times.SkewBound }),
		duration("flow-idle", "how long a flow without datagrams is kept", 5*time.Minute, time.Second, 24*time.Hour,
			func(b *Balancer) *time.Duration { return &b.Times.FlowIdle }),
		duration("flow-silence", "how long a flow may send without a reply before it is ended", 10*time.Second, time.Second, 10*time.Minute,
			func(b *Balancer) *time.Duration { return &b.Times.FlowSilence }),
		duration("drain-limit", "maximum duration of a graceful shutdown", 5*time.Minute, time.Second, 24*time.Hour,
			func(b *Balancer) *time.Duration { return &b.Times.DrainLimit }),
		duration("lease-term", "duration of the lease of a failure domain", 5*time.Second, time.Second, time.Minute,
			func(b *Balancer) *time.Duration { return &b.Times.LeaseTerm }),
		duration("heartbeat", "interval of heartbeats between balancers", 500*time.Millisecond, 50*time.Millisecond, 10*time.Second,
			func(b *Balancer) *time.Duration { return &b.Times.Heartbeat }),
		duration("platform-timeout", "timeout of one call to the object API", 2*time.Second, 50*time.Millisecond, time.Minute,
			func(b *Balancer) *time.Duration { return &b.Times.PlatformTimeout }),
		duration("watch-timeout", "how long one watch request to the object API waits for a change", 20*time.Second, 100*time.Millisecond, 5*time.Minute,
			func(b *Balancer) *time.Duration { return &b.Times.WatchTimeout }),
	}
}
