package reader_test

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/catalog"
	"wisteriaweir/reader"
)

// TestUpdateWithTooManyFragmentsIsRefused guards against an update of more fragments than
// decoders accept: it would be sent again and again, and be received by nobody.
func TestUpdateWithTooManyFragmentsIsRefused(t *testing.T) {
	c := qt.New(t)
	encode := func(bytes int) ([][]byte, error) {
		large := catalog.Target{ID: strings.Repeat("x", bytes), Address: self.Address}
		return reader.NewEncoder(self, 1).Encode(reader.Update{Position: at(1), HasAllTargets: true, Targets: []catalog.Target{large}})
	}
	datagrams, err := encode(4_500_000)
	c.Assert(err, qt.IsNil)
	d := reader.NewDecoder()
	for i, b := range datagrams {
		_, m, err := d.Decode(b)
		c.Assert(err, qt.IsNil)
		c.Assert(m != nil, qt.Equals, i == len(datagrams)-1)
	}
	datagrams, err = encode(4_510_000)
	c.Assert(len(datagrams), qt.Equals, 0)
	var size *reader.UpdateSizeError
	c.Assert(errors.As(err, &size), qt.IsTrue)
	c.Assert(*size, qt.Equals, reader.UpdateSizeError{Position: at(1), Fragments: 4101, MaxFragments: 4096})
}
