package ticket

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"wisteriaweir/deflate"
	"wisteriaweir/platform"
	"wisteriaweir/service"
)

// SnapshotPath is the path of the object that holds a recent State, so that not
// every ticket has to be read. It decides nothing: what it holds counts only
// where the head names the same ticket, and it may lag or be missing.
const SnapshotPath = "folded"

const (
	// foldedLeast is the number of tickets from which on the folded object is
	// read and written.
	foldedLeast = 3
	// foldedTime bounds the update of the folded object.
	foldedTime = 2 * time.Second
	// maxFolded is the largest folded object, unpacked, in bytes.
	maxFolded = 64 << 20
)

// SnapshotError says that the content of the folded object is wrong.
type SnapshotError struct {
	Reason string
}

func (e *SnapshotError) Error() string { return "ticket: wrong folded object: " + e.Reason }

// folded is the content of the folded object.
type folded struct {
	Number   uint64            `json:"number"`
	Entries  map[string]Entry  `json:"entries"`
	Services []service.Service `json:"services"`
}

// EncodeSnapshot returns the value of the folded object: the SHA-256 of the
// content, and the content compressed.
func EncodeSnapshot(s State) ([]byte, error) {
	content, err := json.Marshal(folded{Number: s.Head.Number, Entries: s.Head.Services, Services: s.Config.Services})
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(content)
	body, err := deflate.Pack(content)
	return append(sum[:], body...), err
}

// DecodeSnapshot decodes the value of the folded object. The error is a
// SnapshotError.
func DecodeSnapshot(value []byte) (State, error) {
	if len(value) < sha256.Size {
		return State{}, &SnapshotError{Reason: "too short"}
	}
	sum, body := value[:sha256.Size], value[sha256.Size:]
	content, err := deflate.Unpack(body, maxFolded)
	if err != nil {
		return State{}, &SnapshotError{Reason: err.Error()}
	}
	if have := sha256.Sum256(content); !bytes.Equal(have[:], sum) {
		return State{}, &SnapshotError{Reason: "its digest differs"}
	}
	var f folded
	if err := json.Unmarshal(content, &f); err != nil {
		return State{}, &SnapshotError{Reason: err.Error()}
	}
	if len(f.Entries) != len(f.Services) {
		return State{}, &SnapshotError{Reason: fmt.Sprintf("%d services, %d tickets", len(f.Services), len(f.Entries))}
	}
	for _, s := range f.Services {
		if _, ok := f.Entries[s.Name]; !ok {
			return State{}, &SnapshotError{Reason: fmt.Sprintf("service %q has no ticket", s.Name)}
		}
	}
	return State{
		Head:   Head{Number: f.Number, Services: f.Entries},
		Config: service.Config{}.WithServices(f.Services).WithNumber(f.Number),
	}, nil
}

// loadFolded reads the folded object and its version. One that does not exist
// or holds rubbish is an empty state: the tickets make up for it.
func loadFolded(ctx context.Context, c Client) (State, uint64, error) {
	o, err := c.Get(ctx, SnapshotPath)
	if errors.As(err, new(*platform.NotFoundError)) {
		return State{}, 0, nil
	}
	if err != nil {
		return State{}, 0, err
	}
	s, err := DecodeSnapshot(o.Value)
	if err != nil {
		return State{}, o.Version, nil
	}
	return s, o.Version, nil
}

// storeFolded replaces the folded object at the given version. If that fails,
// the next submit makes up for it.
func storeFolded(ctx context.Context, c Client, version uint64, s State) {
	value, err := EncodeSnapshot(s)
	if err != nil || len(value) > platform.MaxValueSize {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, foldedTime)
	defer cancel()
	_, _ = c.Put(ctx, SnapshotPath, version, value)
}
