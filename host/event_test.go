package host

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"wisteriaweir/placement"
)

// TestEachFlowEventIsCounted guards against an event of placement without a counter, on
// which the process would end.
func TestEachFlowEventIsCounted(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../placement/event.go", nil, 0)
	qt.Assert(t, err, qt.IsNil)
	c, events := newCounters(metrics.NewSet()), 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typ, ok := spec.Type.(*ast.Ident); !ok || typ.Name != "FlowEvent" {
			return true
		}
		event, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		qt.Assert(t, err, qt.IsNil)
		c.countFlowEvent(placement.FlowNotice{Event: placement.FlowEvent(event)})
		events++
		return true
	})
	qt.Assert(t, events > 0, qt.IsTrue)
}
