package deflate_test

import (
	"bytes"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/deflate"
)

// TestRoundTripAndLimit checks that Unpack returns the packed content up to the limit,
// and an error for larger and for truncated content.
func TestRoundTripAndLimit(t *testing.T) {
	c := qt.New(t)
	content := bytes.Repeat([]byte("levy"), 1000)
	b, err := deflate.Pack(content)
	c.Assert(err, qt.IsNil)
	c.Assert(len(b) < len(content), qt.IsTrue)
	got, err := deflate.Unpack(b, int64(len(content)))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, content)
	_, err = deflate.Unpack(b, int64(len(content))-1)
	var limit *deflate.LimitError
	c.Assert(errors.As(err, &limit), qt.IsTrue)
	c.Check(limit.Limit, qt.Equals, int64(len(content))-1)
	_, err = deflate.Unpack(b[:len(b)-1], int64(len(content)))
	c.Check(err, qt.IsNotNil)
}

func FuzzUnpack(f *testing.F) {
	b, err := deflate.Pack([]byte("ledger"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		const limit = 1 << 16
		if content, err := deflate.Unpack(b, limit); err == nil && len(content) > limit {
			t.Fatalf("the content is %d bytes larger than the limit", len(content)-limit)
		}
	})
}
