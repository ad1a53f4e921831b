package measure

import (
	"bytes"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTargetRun guards against figures that change unintentionally or differ between
// runs with the same seed. It compares those of one scenario and two strategies with a
// golden file.
func TestTargetRun(t *testing.T) {
	c := qt.New(t)
	table := NewTable("run", "scenario", "way", "requests", "lost", "failed", "imbalance", "p99 ms", "sent until", "on return")
	for _, s := range targetScenarios() {
		if s.name != "one answers errors at once, claims to be idle" {
			continue
		}
		for _, strategy := range []targetStrategy{strategyReportsAndOwnView, strategyReports} {
			r := newTargetRun(poolLevyDesk, s, strategy, 1)
			r.run()
			r.addTo(table)
		}
	}
	c.Assert(table.Rows, qt.HasLen, 2)
	compareGolden(c, table, "testdata/target_run.csv")
}

// TestAgreedTable guards against figures for agreed health that change unintentionally
// or differ between runs with the same seed.
func TestAgreedTable(t *testing.T) {
	compareGolden(qt.New(t), agreedTable(1), "testdata/target_agreed.csv")
}

func compareGolden(c *qt.C, table *Table, name string) {
	var got bytes.Buffer
	c.Assert(table.Write(&got, FormatCSV), qt.IsNil)
	want, err := os.ReadFile(name)
	c.Assert(err, qt.IsNil)
	c.Assert(got.String(), qt.Equals, string(want))
}
