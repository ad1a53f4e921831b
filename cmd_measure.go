package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"wisteriaweir/measure"
)

// measurement is a named group of tables.
type measurement struct {
	name string
	run  func(seed uint64) ([]*measure.Table, error)
}

// measurements returns the groups in the order in which they are printed by
// default.
func measurements() []measurement {
	return []measurement{
		{name: "flows", run: measure.Flows},
		{name: "targets", run: measure.Targets},
		{name: "requests", run: measure.Requests},
		{name: "configs", run: measure.Configs},
		{name: "overload", run: measure.Overload},
		{name: "speed", run: measure.Speed},
	}
}

// measureCommand returns the command that prints the tables of the design notes.
func measureCommand() *cli.Command {
	return &cli.Command{
		Name:      "measure",
		Usage:     "simulate balancer decisions in virtual time and print the tables of the design notes",
		ArgsUsage: "[flows|targets|requests|configs|overload|speed]...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "format", Value: string(measure.FormatText), Usage: "text, csv or json"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the simulations"},
		},
		OnUsageError: handleUsageError,
		Action:       runMeasure,
	}
}

func runMeasure(_ context.Context, cmd *cli.Command) error {
	selected, err := selectMeasurements(cmd.Args().Slice())
	if err != nil {
		return err
	}
	format := measure.Format(cmd.String("format"))
	if err := measure.NewTable("").Write(io.Discard, format); err != nil {
		return newCommandError(err.Error())
	}
	for _, m := range selected {
		fmt.Fprintf(os.Stderr, "measuring %s\n", m.name)
		tables, err := m.run(cmd.Uint64("seed"))
		if err != nil {
			return err
		}
		for _, t := range tables {
			if err := t.Write(os.Stdout, format); err != nil {
				return err
			}
		}
	}
	return nil
}

// selectMeasurements returns the groups with the given names, in that order, or
// all groups if names is empty.
func selectMeasurements(names []string) ([]measurement, error) {
	if len(names) == 0 {
		return measurements(), nil
	}
	var selected []measurement
	for _, name := range names {
		found := false
		for _, m := range measurements() {
			if m.name == name {
				selected = append(selected, m)
				found = true
			}
		}
		if !found {
			return nil, newCommandError(fmt.Sprintf("measure: no group %q: use flows, targets, requests, configs, overload or speed", name))
		}
	}
	return selected, nil
}
