package member_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/member"
)

// TestViewWithAndWithout checks Serving and Domains of views to which With has added entries and
// from which Without has removed one.
func TestViewWithAndWithout(t *testing.T) {
	c := qt.New(t)
	var v member.View
	for i, life := range []uint64{1, 2, 1} {
		m := member.Member{Name: fmt.Sprintf("m%d", i), Domain: "west", Life: life}
		v = v.With(member.Entry{Member: m, State: member.StateLive})
	}
	c.Assert(v.Without("m0").Serving("west"), qt.HasLen, 2)
	c.Assert(v.Domains(), qt.DeepEquals, []string{"west"})
}
