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

// Bounds of the operators' settings.
const (
	urlDefault   = "http://127.0.0.1:7200"
	callDefault  = 2 * time.Second
	limitDefault = 10 * time.Second
	callLeast    = 10 * time.Millisecond
	callMost     = time.Minute
	limitMost    = 10 * time.Minute
	waitDefault  = 30 * time.Second
	waitMost     = 24 * time.Hour
)

// platformFlags returns the flags of commands that call the platform.
func platformFlags() []cli.Flag {
	return []cli.Flag{
		textFlag("platform-url", urlDefault, "base URL of the platform's object API"),
		textFlag("platform-timeout", callDefault.String(), "time for one try of a call (duration)"),
		textFlag("platform-limit", limitDefault.String(), "time for a call with all its tries (duration)"),
	}
}

// timeoutFlag returns the flag of commands that wait.
func timeoutFlag() cli.Flag {
	return textFlag("timeout", waitDefault.String(), "how long to wait (duration)")
}

// jsonFlag returns the flag of commands that print.
func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON", Sources: cli.EnvVars(variable("json"))}
}

// textFlag returns a flag that takes text, so that one check reports every
// mistake.
func textFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: cli.EnvVars(variable(name))}
}

// variable returns the environment variable of a flag.
func variable(flag string) string {
	return "WISTERIAWEIR_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// newClient checks the settings of cmd and returns a client of the platform.
func newClient(cmd *cli.Command) (*platform.Client, error) {
	c := checker{cmd: cmd}
	cfg := platform.Config{
		URL:          c.url("platform-url"),
		Timeout:      c.duration("platform-timeout", callMost),
		TotalTimeout: c.duration("platform-limit", limitMost),
		Seed:         uint64(time.Now().UnixNano()),
	}
	if cmd.String("timeout") != "" {
		c.duration("timeout", waitMost)
	}
	if len(c.mistakes) > 0 {
		return nil, &setting.Error{Mistakes: c.mistakes}
	}
	return platform.New(cfg), nil
}

// checker reads the settings of a command and gathers the mistakes.
type checker struct {
	cmd      *cli.Command
	mistakes []setting.Mistake
}

func (c *checker) add(flag, allowed string) {
	c.mistakes = append(c.mistakes, setting.Mistake{Flag: flag, Given: c.cmd.String(flag), Allowed: allowed})
}

func (c *checker) url(flag string) string {
	given := c.cmd.String(flag)
	u, err := url.Parse(given)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" || u.RawQuery != "" || u.Fragment != "" {
		c.add(flag, "an http or https URL with a host, without query and fragment")
	}
	return strings.TrimSuffix(given, "/")
}

func (c *checker) duration(flag string, most time.Duration) time.Duration {
	d, err := time.ParseDuration(c.cmd.String(flag))
	if err != nil || d < callLeast || d > most {
		c.add(flag, fmt.Sprintf("a duration from %s to %s", callLeast, most))
	}
	return d
}
