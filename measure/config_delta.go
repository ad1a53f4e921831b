package measure

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"

	"wisteriaweir/rollout"
)

const (
	// dictionaryBytes is the size of the dictionary, the window of the compression.
	dictionaryBytes = 32 << 10
	// dictionaryBlockBytes is the length of new content that is compressed with one
	// dictionary.
	dictionaryBlockBytes = dictionaryBytes / 2
)

// deltaSizes are the numbers of members and targets in the table of release encodings.
var deltaSizes = [][2]int{{90, 500}, {450, 1000}, {1800, 2000}, {1800, 21000}}

// deltaTable compares three encodings of one change of a release: the whole release,
// compression with the previous content as the dictionary, and a delta of the changed
// sections.
func deltaTable(seed uint64) (*Table, error) {
	t := NewTable("one change of a release; times depend on the machine",
		"members", "targets", "change", "whole B", "dictionary B", "sections B", "whole us", "dictionary us", "sections us")
	for _, size := range deltaSizes {
		services := max(size[1]/targetsPerService, 1)
		s := releaseState(size[0], services, size[1]/services, seed)
		for _, x := range []struct {
			name   string
			change func(rollout.State) rollout.State
		}{{"restart", withMemberLeaving}, {"drained target", withTargetDrained}} {
			row, err := deltaRow(s, x.change)
			if err != nil {
				return nil, fmt.Errorf("%s of %v: %w", x.name, size, err)
			}
			t.Add(append([]any{size[0], size[1], x.name}, row...)...)
		}
	}
	return t, nil
}

// targetsPerService is the number of targets of each service in the table of release
// encodings.
const targetsPerService = 6

// deltaRow returns the bytes of each encoding and the microseconds that a receiver
// needs for it.
func deltaRow(s rollout.State, change func(rollout.State) rollout.State) ([]any, error) {
	wholeBytes, err := releaseSize(change(s))
	if err != nil {
		return nil, err
	}
	sectionsBytes, err := deltaSize(s, change)
	if err != nil {
		return nil, err
	}
	decodeMicros, err := decodeTime(change(s))
	if err != nil {
		return nil, err
	}
	applyMicros, err := applyDeltaTime(s, change)
	if err != nil {
		return nil, err
	}
	dictBytes, dictMicros, err := compressWithDictionary(s, change(s))
	if err != nil {
		return nil, err
	}
	return []any{wholeBytes, dictBytes, sectionsBytes, decodeMicros, dictMicros, applyMicros}, nil
}

// compressWithDictionary compresses the JSON of next in blocks, each with the part of
// the previous content around the same offset as its dictionary. It returns the bytes
// of all blocks and the microseconds to decompress them and to decode the result.
func compressWithDictionary(before, next rollout.State) (size, micros float64, err error) {
	old, err := json.Marshal(before)
	if err != nil {
		return 0, 0, err
	}
	content, err := json.Marshal(next)
	if err != nil {
		return 0, 0, err
	}
	var blocks [][]byte
	for at := 0; at < len(content); at += dictionaryBlockBytes {
		b, err := compressBlock(content[at:min(at+dictionaryBlockBytes, len(content))], dictionaryWindow(old, at))
		if err != nil {
			return 0, 0, err
		}
		size += float64(len(b))
		blocks = append(blocks, b)
	}
	micros, err = timeRuns(releaseRuns/4, func() error { return decompressBlocks(blocks, old, content) })
	return size, micros, err
}

// dictionaryWindow returns the part of the previous content around an offset of the
// new content.
func dictionaryWindow(old []byte, at int) []byte {
	from := min(max(at-dictionaryBlockBytes/2, 0), len(old))
	return old[from:min(from+dictionaryBytes, len(old))]
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

// decompressBlocks decompresses the blocks, compares the result with want and decodes
// it.
func decompressBlocks(blocks [][]byte, old, want []byte) error {
	var content []byte
	for i, b := range blocks {
		part, err := io.ReadAll(flate.NewReaderDict(bytes.NewReader(b), dictionaryWindow(old, i*dictionaryBlockBytes)))
		if err != nil {
			return err
		}
		content = append(content, part...)
	}
	if !bytes.Equal(content, want) {
		return fmt.Errorf("content decompressed with the dictionary differs from the original")
	}
	var s rollout.State
	return json.Unmarshal(content, &s)
}
