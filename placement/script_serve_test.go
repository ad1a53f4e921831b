package placement_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// serveFlows sends one request on each of several flows, and prints how many flows each
// target got instead of each packet.
func (r *runner) serveFlows(args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	outcomes := map[string]string{}
	for _, a := range args[2:] {
		target, outcome, _ := strings.Cut(a, "=")
		outcomes[target] = outcome
	}
	got := map[string]int{}
	for range n {
		name := fmt.Sprint("s", len(r.byName))
		out := r.out
		r.out = bytes.Buffer{}
		if err := r.openFlow(name, args[1]); err != nil {
			return err
		}
		words := strings.Fields(r.out.String())
		if words[2] != "to" {
			return fmt.Errorf("flow not placed: %s", r.out.String())
		}
		id := words[3]
		r.out = out
		got[id]++
		if err := r.runRequest(r.byName[name], outcomes[id]); err != nil {
			return err
		}
	}
	var words []string
	for _, id := range slices.Sorted(maps.Keys(got)) {
		words = append(words, fmt.Sprintf("%s %d", id, got[id]))
	}
	r.printf("%d flows: %s", n, strings.Join(words, ", "))
	return nil
}

// runRequest sends one request on an opened flow and ends it by the given outcome. It
// prints only the changes of targets.
func (r *runner) runRequest(c *caller, outcome string) error {
	steps := [][2]string{{"answer"}, {"data", "100"}, {"got", "800"}, {"fin"}}
	switch outcome {
	case "error":
		steps[2][1] = "200"
	case "quit":
		steps = slices.Delete(steps, 2, 3)
	case "silence":
		steps = steps[:2]
	}
	out := r.out.Len()
	for _, s := range steps {
		if err := r.runCommand(s[0], []string{c.name, s[1]}); err != nil {
			return err
		}
	}
	if err := r.advance("30ms"); err != nil {
		return err
	}
	var filtered bytes.Buffer
	filtered.Write(r.out.Bytes()[:out])
	for line := range strings.Lines(string(r.out.Bytes()[out:])) {
		if strings.Contains(line, ": target") {
			filtered.WriteString(line)
		}
	}
	r.out = filtered
	return nil
}
