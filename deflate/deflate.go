// Package deflate compresses the contents of messages and objects, and limits the size
// of what is decompressed.
//
// # Usage
//
//	b, err := deflate.Pack(content)
//	content, err := deflate.Unpack(b, 1<<20)
//
// The compressed form is that of RFC 1951. The result of Pack depends only on the
// content.
package deflate

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// LimitError reports a content that is larger than the limit given to Unpack.
type LimitError struct {
	// Limit is the limit in bytes.
	Limit int64
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("decompressed content is larger than %d bytes", e.Limit)
}

// writers is a pool of compressors. A new compressor allocates a megabyte, which takes
// longer than compressing a small content.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(err) // The level is valid.
	}
	return w
}}

// Pack returns content in compressed form.
func Pack(content []byte) ([]byte, error) {
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	err := w.Close()
	return out.Bytes(), err
}

// Unpack decompresses the result of Pack. The error is a *LimitError if the content is
// larger than limit, in bytes, and that of compress/flate if b is malformed.
func Unpack(b []byte, limit int64) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(b))
	content, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, &LimitError{Limit: limit}
	}
	return content, nil
}
