package measure_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/measure"
)

// TestTimelineRunsInOrder guards against a wrong order of functions with the same due
// time, also if one of them is added while the others run, and against functions that
// run after the end.
func TestTimelineRunsInOrder(t *testing.T) {
	c := qt.New(t)
	var tl measure.Timeline
	var got []string
	tl.After(2*time.Second, func() { got = append(got, "late") })
	tl.After(time.Second, func() {
		got = append(got, "first")
		tl.After(0, func() { got = append(got, "third") })
	})
	tl.After(time.Second, func() { got = append(got, "second") })
	tl.RunUntil(time.Second)
	c.Assert(got, qt.DeepEquals, []string{"first", "second", "third"})
	c.Assert(tl.Now(), qt.Equals, time.Second)
}

// TestTableFormats guards against changes of the three output formats, and against
// unknown formats that are not refused.
func TestTableFormats(t *testing.T) {
	c := qt.New(t)
	table := measure.NewTable("flows", "way", "imbalance")
	table.Add("generations", 1.03125)
	for format, want := range map[measure.Format]string{
		measure.FormatText: "\nflows\nway          imbalance\ngenerations  1.031\n",
		measure.FormatCSV:  "table,way,imbalance\nflows,generations,1.031\n",
		measure.FormatJSON: `{"title":"flows","columns":["way","imbalance"],"rows":[["generations","1.031"]]}` + "\n",
	} {
		var b bytes.Buffer
		c.Assert(table.Write(&b, format), qt.IsNil)
		c.Assert(b.String(), qt.Equals, want)
	}
	var want *measure.FormatError
	c.Assert(errors.As(table.Write(&bytes.Buffer{}, "xml"), &want), qt.IsTrue)
}
