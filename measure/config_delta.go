package measure

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"

	"wisteriaweir/rollout"
)

// Sizes of the compression with a dictionary.
const (
	// dictBytes is the window of the compression.
	dictBytes = 32 << 10
	// dictBlock is the part of the new content that one dictionary serves.
	dictBlock = dictBytes / 2
)

// deltaSizes are the members and targets of the table of ways.
var deltaSizes = [][2]int{{90, 500}, {450, 1000}, {1800, 2000}, {1800, 21000}}

// deltaTable compares the ways in which one change travels.
func deltaTable(seed uint64) (*Table, error) {
	t := NewTable("one change of a release; times depend on the machine",
		"members", "targets", "change", "whole B", "dictionary B", "sections B", "whole us", "dictionary us", "sections us")
	for _, size := range deltaSizes {
		services := max(size[1]/targetsOfService, 1)
		s := releaseState(size[0], services, size[1]/services, seed)
		for _, x := range []struct {
			name   string
			change func(rollout.State) rollout.State
		}{{"restart", restarted}, {"drained target", drained}} {
			row, err := deltaRow(s, x.change)
			if err != nil {
				return nil, fmt.Errorf("%s of %v: %w", x.name, size, err)
			}
			t.Add(append([]any{size[0], size[1], x.name}, row...)...)
		}
	}
	return t, nil
}

// targetsOfService is the size of a service in the table of ways.
const targetsOfService = 6

// deltaRow returns the bytes and the receiver's microseconds of each way.
func deltaRow(s rollout.State, change func(rollout.State) rollout.State) ([]any, error) {
	whole, err := releaseSize(change(s))
	if err != nil {
		return nil, err
	}
	sections, err := deltaSize(s, change)
	if err != nil {
		return nil, err
	}
	openMicros, err := openTime(change(s))
	if err != nil {
		return nil, err
	}
	takeMicros, err := takeTime(s, change)
	if err != nil {
		return nil, err
	}
	dict, dictMicros, err := dictionary(s, change(s))
	if err != nil {
		return nil, err
	}
	return []any{whole, dict, sections, openMicros, dictMicros, takeMicros}, nil
}

// dictionary returns the bytes of next compressed with the former content as
// the dictionary, block by block around the same place, and the microseconds to
// undo it and to decode the result.
func dictionary(before, next rollout.State) (size, spent float64, err error) {
	old, err := json.Marshal(before)
	if err != nil {
		return 0, 0, err
	}
	content, err := json.Marshal(next)
	if err != nil {
		return 0, 0, err
	}
	var blocks [][]byte
	for at := 0; at < len(content); at += dictBlock {
		b, err := compressBlock(content[at:min(at+dictBlock, len(content))], window(old, at))
		if err != nil {
			return 0, 0, err
		}
		size += float64(len(b))
		blocks = append(blocks, b)
	}
	spent, err = repeat(releaseRuns/4, func() error { return undoDictionary(blocks, old, content) })
	return size, spent, err
}

// window returns the part of the former content round a place of the new one.
func window(old []byte, at int) []byte {
	from := min(max(at-dictBlock/2, 0), len(old))
	return old[from:min(from+dictBytes, len(old))]
}

func compressBlock(b, dict []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriterDict(&out, flate.DefaultCompression, dict)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	err = w.Close()
	return out.Bytes(), err
}

func undoDictionary(blocks [][]byte, old, want []byte) error {
	var content []byte
	for i, b := range blocks {
		part, err := io.ReadAll(flate.NewReaderDict(bytes.NewReader(b), window(old, i*dictBlock)))
		if err != nil {
			return err
		}
		content = append(content, part...)
	}
	if !bytes.Equal(content, want) {
		return fmt.Errorf("dictionary gives another content")
	}
	var s rollout.State
	return json.Unmarshal(content, &s)
}
