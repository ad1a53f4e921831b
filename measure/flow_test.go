package measure_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/measure"
)

// TestFlows prints the tables of Flows. It is skipped unless MEASURE is set.
func TestFlows(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to print the tables")
	}
	c := qt.New(t)
	tables, err := measure.Flows(1)
	c.Assert(err, qt.IsNil)
	for _, table := range tables {
		c.Assert(table.Write(os.Stdout, measure.FormatText), qt.IsNil)
	}
}
