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

// TestMetricsDocumented guards against metrics of a host that are missing in
// docs/OPERATIONS.md.
func TestMetricsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	set := metrics.NewSet()
	c := newCounters(set)
	c.countStoreCall(platform.StoreCall{Op: "list", Kind: "config", Status: 200})
	c.openingSeconds.Update(1)
	c.requestSeconds.Update(1)
	c.waitSeconds.Update(1)
	newInvalidElements(set, nil, nil)
	h := &Host{metrics: set, counters: c, cfg: Config{DroppedLogLines: func() int64 { return 0 }}}
	h.registerGauges()
	var b bytes.Buffer
	for _, name := range set.ListMetricNames() {
		b.WriteString(name + "\n")
	}
	found := metricName.FindAllStringSubmatch(b.String(), -1)
	qt.Assert(t, len(found) > 20, qt.IsTrue)
	for _, m := range found {
		qt.Check(t, bytes.Contains(page, []byte("`"+m[1])), qt.IsTrue, qt.Commentf("%s is not documented", m[1]))
	}
}
