package main

import (
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"
)

// Patterns of docs/COMMANDS.md.
var (
	// commandHeading matches the heading of a command.
	commandHeading = regexp.MustCompile(`(?m)^###? (wisteriaweir .*)$`)
	// flagRow matches the table row of a flag and its environment variable.
	flagRow = regexp.MustCompile("(?m)^\\| `--([a-z0-9-]+)` \\| (.*?) \\|")
)

// TestCommandsDocumented checks that docs/COMMANDS.md lists exactly the commands,
// their flags and their environment variables.
func TestCommandsDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("docs/COMMANDS.md")
	c.Assert(err, qt.IsNil)
	documented := commandRows(string(page))
	walkCommands("wisteriaweir", commands(), func(path string, cmd *cli.Command) {
		c.Check(cmd.Usage, qt.Not(qt.Equals), "", qt.Commentf("usage of %s", path))
		c.Check(documented[path], qt.DeepEquals, flagVariables(cmd), qt.Commentf("%s", path))
		delete(documented, path)
	})
	c.Check(documented, qt.HasLen, 0, qt.Commentf("commands that do not exist"))
}

// commandRows returns the environment variable of each flag of each command that
// has a section in the page.
func commandRows(page string) map[string]map[string]string {
	out := make(map[string]map[string]string)
	headings := commandHeading.FindAllStringSubmatchIndex(page, -1)
	for i, h := range headings {
		end := len(page)
		if i+1 < len(headings) {
			end = headings[i+1][0]
		}
		rows := make(map[string]string)
		for _, row := range flagRow.FindAllStringSubmatch(page[h[1]:end], -1) {
			rows[row[1]] = strings.Trim(row[2], "`")
		}
		out[page[h[2]:h[3]]] = rows
	}
	return out
}

// walkCommands calls visit for each command of list and all their subcommands, with
// the full name of the command, such as "wisteriaweir ticket show".
func walkCommands(parent string, list []*cli.Command, visit func(path string, cmd *cli.Command)) {
	for _, cmd := range list {
		path := parent + " " + cmd.Name
		visit(path, cmd)
		walkCommands(path, cmd.Commands, visit)
	}
}

// flagVariables returns the environment variable of each flag of cmd, "none" for a
// flag without one.
func flagVariables(cmd *cli.Command) map[string]string {
	out := make(map[string]string)
	for _, f := range cmd.Flags {
		variable := "none"
		if d, ok := f.(cli.DocGenerationFlag); ok && len(d.GetEnvVars()) > 0 {
			variable = strings.Join(d.GetEnvVars(), ", ")
		}
		for _, name := range f.Names() {
			out[name] = variable
		}
	}
	return out
}
