package setting_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"

	"wisteriaweir/setting"
)

// TestScripts runs each file of testdata: lines "flags ..." with command-line
// arguments, lines "env NAME=VALUE" with environment variables, a line "--", and
// the output that describe must return.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) { runScript(t, name) })
	}
}

func runScript(t *testing.T, name string) {
	c := qt.New(t)
	data, err := os.ReadFile(name)
	c.Assert(err, qt.IsNil)
	script, want, _ := strings.Cut(string(data), "--\n")
	var args []string
	for line := range strings.Lines(script) {
		word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch word {
		case "flags":
			args = append(args, strings.Fields(rest)...)
		case "env":
			key, value, _ := strings.Cut(rest, "=")
			c.Setenv(key, value)
		}
	}
	b, err := read(args)
	c.Assert(describe(b, err), qt.Equals, want)
}

// read reads the settings from the arguments of a command and from the
// environment.
func read(args []string) (setting.Balancer, error) {
	var b setting.Balancer
	quiet := func(context.Context, *cli.Command, error) {}
	cmd := &cli.Command{Name: "balancer", ExitErrHandler: quiet, Flags: setting.Flags(), Action: func(_ context.Context, cmd *cli.Command) error {
		var err error
		b, err = setting.FromCommand(cmd)
		return err
	}}
	return b, cmd.Run(context.Background(), append([]string{"balancer"}, args...))
}

// describe returns the error as text or, without an error, "ok" and five of the
// settings.
func describe(b setting.Balancer, err error) string {
	if err == nil {
		return "ok " + strings.Join([]string{b.Name, b.Domain, b.Addresses.Hop.String(), b.Platform.String(), b.Times.LeaseTerm.String()}, " ") + "\n"
	}
	var mistakes *setting.Error
	if !errors.As(err, &mistakes) {
		return err.Error() + "\n"
	}
	return mistakes.Error() + "\n"
}

// TestPageListsEverySetting guards against settings that differ from the table
// in docs/SETTINGS.md, or that it lacks.
func TestPageListsEverySetting(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/SETTINGS.md")
	c.Assert(err, qt.IsNil)
	var want strings.Builder
	for _, s := range setting.Settings() {
		want.WriteString("| `--" + s.Flag + "` | `" + s.EnvVar + "` | " + s.Unit + " | " + s.Default + " | " + s.Allowed + " | " + s.Usage + " |\n")
	}
	_, rows, _ := strings.Cut(string(page), "|---|---|---|---|---|---|\n")
	c.Assert(rows, qt.Equals, want.String())
}
