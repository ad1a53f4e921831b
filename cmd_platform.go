package main

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"wisteriaweir/platform"
	"wisteriaweir/setting"
)

// Defaults and limits of the flags of operators' commands.
const (
	// defaultPlatformURL is the address of the platform of a local run.
	defaultPlatformURL = "http://127.0.0.1:7200"
	// defaultCallTimeout is the default time for one attempt of a platform call.
	defaultCallTimeout = 2 * time.Second
	// defaultTotalTimeout is the default time for all attempts of a platform call.
	defaultTotalTimeout = 10 * time.Second
	// minTimeout is the minimum of every duration that flagChecker reads.
	minTimeout = 10 * time.Millisecond
	// maxCallTimeout is the maximum of --platform-timeout.
	maxCallTimeout = time.Minute
	// maxTotalTimeout is the maximum of --platform-limit.
	maxTotalTimeout = 10 * time.Minute
	// defaultWaitTimeout is the default of --timeout of "ticket wait".
	defaultWaitTimeout = 30 * time.Second
	// maxWaitTimeout is the maximum of --timeout of "ticket wait".
	maxWaitTimeout = 24 * time.Hour
)

// platformFlags returns the flags of commands that call the platform.
func platformFlags() []cli.Flag {
	return []cli.Flag{
		textFlag("platform-url", defaultPlatformURL, "base URL of the platform's object API"),
		textFlag("platform-timeout", defaultCallTimeout.String(), "timeout of one attempt of a platform call (duration)"),
		textFlag("platform-limit", defaultTotalTimeout.String(), "timeout of a platform call with all its attempts (duration)"),
	}
}

// timeoutFlag returns the flag that limits the time of a waiting command.
func timeoutFlag() cli.Flag {
	return textFlag("timeout", defaultWaitTimeout.String(), "how long to wait (duration)")
}

// jsonFlag returns the flag that selects JSON output.
func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON", Sources: cli.EnvVars(envVariable("json"))}
}

// textFlag returns a string flag, also for URLs and durations: they are parsed by
// flagChecker, which reports all mistakes at once.
func textFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: cli.EnvVars(envVariable(name))}
}

// envVariable returns the name of the environment variable of a flag.
func envVariable(flag string) string {
	return "WISTERIAWEIR_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// newClient checks the flags of cmd and returns a client of the platform. Its error
// lists every invalid flag.
func newClient(cmd *cli.Command) (*platform.Client, error) {
	c := flagChecker{cmd: cmd}
	cfg := platform.ClientConfig{
		URL:          c.url("platform-url"),
		Timeout:      c.duration("platform-timeout", maxCallTimeout),
		TotalTimeout: c.duration("platform-limit", maxTotalTimeout),
		Seed:         uint64(time.Now().UnixNano()),
	}
	if cmd.String("timeout") != "" {
		c.duration("timeout", maxWaitTimeout)
	}
	if len(c.mistakes) > 0 {
		return nil, &setting.Error{Mistakes: c.mistakes}
	}
	return platform.NewClient(cfg), nil
}

// flagChecker parses the flags of a command and collects the mistakes.
type flagChecker struct {
	cmd      *cli.Command
	mistakes []setting.Mistake
}

func (c *flagChecker) addMistake(flag, allowed string) {
	c.mistakes = append(c.mistakes, setting.Mistake{Flag: flag, Given: c.cmd.String(flag), Allowed: allowed})
}

// url returns the value of a URL flag without a slash at its end.
func (c *flagChecker) url(flag string) string {
	value := c.cmd.String(flag)
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" || u.RawQuery != "" || u.Fragment != "" {
		c.addMistake(flag, "an http or https URL with a host, without query and fragment")
	}
	return strings.TrimSuffix(value, "/")
}

// duration returns the value of a duration flag, which must be from minTimeout to
// maxValue.
func (c *flagChecker) duration(flag string, maxValue time.Duration) time.Duration {
	d, err := time.ParseDuration(c.cmd.String(flag))
	if err != nil || d < minTimeout || d > maxValue {
		c.addMistake(flag, fmt.Sprintf("a duration from %s to %s", minTimeout, maxValue))
	}
	return d
}
