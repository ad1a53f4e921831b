package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/catalog"
	"wisteriaweir/route"
)

// TestSizesOfRemovedRoutesAreRemoved guards against memory that grows with each address
// that ever had a route.
func TestSizesOfRemovedRoutesAreRemoved(t *testing.T) {
	c := qt.New(t)
	kept, removed := route.Address{IP: 1, Port: 80}, route.Address{IP: 2, Port: 80}
	core := New(Config{})
	for number, addresses := range [][]route.Address{{kept, removed}, {kept}} {
		var routes []route.Route
		for _, a := range addresses {
			routes = append(routes, route.Route{Address: a})
		}
		core.SetCatalog(0, catalog.Catalog{}.WithRoutes(route.NewTable(uint64(number), time.Minute, routes), catalog.Position{Revision: uint64(number) + 1}))
		for _, a := range addresses {
			core.responseSizes[a] = core.responseSizes[a].withSample(100)
		}
	}
	c.Check(core.responseSizes, qt.HasLen, 1)
	c.Check(core.responseSizes[kept].count, qt.Equals, 2)
}
