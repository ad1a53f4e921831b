package measure

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSmallFleetReachesItsTargets runs a fleet of 9 balancers twice with the same
// seed. It guards against figures that differ between runs and against missed
// objectives for the activation time, for the bytes of each host and for the calls at
// the platform.
func TestSmallFleetReachesItsTargets(t *testing.T) {
	c := qt.New(t)
	r, err := runConfigSimulation(9, 3, 1, fanOutTreeContent)
	c.Assert(err, qt.IsNil)
	second, err := runConfigSimulation(9, 3, 1, fanOutTreeContent)
	c.Assert(err, qt.IsNil)
	runs := []*configRun{r}
	c.Assert(activationTable(runs), qt.DeepEquals, activationTable([]*configRun{second}))
	for _, table := range []*Table{activationTable(runs), hostCostTable(runs), platformCallTable(runs)} {
		c.Assert(table.Rows, qt.HasLen, 1)
		c.Assert(table.Rows[0], qt.Contains, "reached", qt.Commentf("%s", table.Title))
	}
}
