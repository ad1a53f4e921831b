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

// SnapshotPath is the path of the object that holds a snapshot of a recent State, so
// that not every ticket has to be read. The snapshot does not affect the result: a
// service in it is used only if the head names the same ticket for it. It may be
// outdated or missing.
const SnapshotPath = "folded"

const (
	// minSnapshotTickets is the smallest number of tickets in the head for which the
	// snapshot is read, and written by Submit.
	minSnapshotTickets = 3
	// snapshotWriteTimeout is the time limit of the update of the snapshot.
	snapshotWriteTimeout = 2 * time.Second
	// maxSnapshotContent is the largest uncompressed content of a snapshot, in bytes.
	maxSnapshotContent = 64 << 20
)

// SnapshotError reports that the snapshot object ("folded") is invalid.
type SnapshotError struct {
	// Reason describes the error.
	Reason string
}

func (e *SnapshotError) Error() string { return "ticket: invalid folded object: " + e.Reason }

// snapshotContent is the uncompressed content of a snapshot.
type snapshotContent struct {
	// Number is the number of the head.
	Number uint64 `json:"number"`
	// Entries are the entries of the head, by the name of the service.
	Entries map[string]Entry `json:"entries"`
	// Services are the services of the configuration, one for each entry.
	Services []service.Service `json:"services"`
}

// EncodeSnapshot returns the value of the snapshot object: the SHA-256 digest of
// the content, followed by the compressed content.
func EncodeSnapshot(s State) ([]byte, error) {
	content, err := json.Marshal(snapshotContent{Number: s.Head.Number, Entries: s.Head.Services, Services: s.Config.Services})
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(content)
	body, err := deflate.Pack(content)
	return append(sum[:], body...), err
}

// DecodeSnapshot decodes the value of the snapshot object. The state that it returns
// lacks the digests and the failure domains of the head. The error is a
// *SnapshotError.
func DecodeSnapshot(value []byte) (State, error) {
	if len(value) < sha256.Size {
		return State{}, &SnapshotError{Reason: "it is too short to hold a digest"}
	}
	sum, body := value[:sha256.Size], value[sha256.Size:]
	content, err := deflate.Unpack(body, maxSnapshotContent)
	if err != nil {
		return State{}, &SnapshotError{Reason: err.Error()}
	}
	if have := sha256.Sum256(content); !bytes.Equal(have[:], sum) {
		return State{}, &SnapshotError{Reason: "its content does not match its digest"}
	}
	var decoded snapshotContent
	if err := json.Unmarshal(content, &decoded); err != nil {
		return State{}, &SnapshotError{Reason: err.Error()}
	}
	if len(decoded.Entries) != len(decoded.Services) {
		return State{}, &SnapshotError{Reason: fmt.Sprintf("it has %d services, but tickets of %d", len(decoded.Services), len(decoded.Entries))}
	}
	for _, s := range decoded.Services {
		if _, ok := decoded.Entries[s.Name]; !ok {
			return State{}, &SnapshotError{Reason: fmt.Sprintf("service %q has no ticket", s.Name)}
		}
	}
	return State{
		Head:   Head{Number: decoded.Number, Services: decoded.Entries},
		Config: service.Config{}.WithServices(decoded.Services).WithNumber(decoded.Number),
	}, nil
}

// loadSnapshot returns the state in the snapshot and the version of its object, 0 if
// there is none. If the object does not exist or is invalid, the state is empty, so
// that the caller reads all tickets.
func loadSnapshot(ctx context.Context, c Client) (State, uint64, error) {
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

// storeSnapshot replaces the snapshot object if it still has the given version. A
// failure is ignored, as the next Submit replaces the snapshot again.
func storeSnapshot(ctx context.Context, c Client, version uint64, s State) {
	value, err := EncodeSnapshot(s)
	if err != nil || len(value) > platform.MaxValueSize {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotWriteTimeout)
	defer cancel()
	_, _ = c.Put(ctx, SnapshotPath, version, value)
}
