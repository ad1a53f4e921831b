package host

import (
	"bytes"
	"os"
	"regexp"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"wisteriaweir/platform"
)

var metricName = regexp.MustCompile(`(?m)^(wisteriaweir_[a-z_]+)`)

// TestMetricsDocumented holds docs/OPERATIONS.md to the metrics of a host.
func TestMetricsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	set := metrics.NewSet()
	c := newCounters(set)
	c.call(platform.StoreCall{Op: "list", Kind: "config", Status: 200})
	c.opening.Update(1)
	c.request.Update(1)
	c.wait.Update(1)
	h := &Host{metrics: set, count: c, cfg: Config{DroppedLogLines: func() int64 { return 0 }}}
	h.gauges()
	var b bytes.Buffer
	for _, name := range set.ListMetricNames() {
		b.WriteString(name + "\n")
	}
	found := metricName.FindAllStringSubmatch(b.String(), -1)
	qt.Assert(t, len(found) > 20, qt.IsTrue)
	for _, m := range found {
		qt.Check(t, bytes.Contains(page, []byte("`"+m[1])), qt.IsTrue, qt.Commentf("%s has no row", m[1]))
	}
}
