package rollout

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"

	"wisteriaweir/deflate"
)

// maxContent is the largest content of a release, unpacked, in bytes.
const maxContent = 64 << 20

// Release is one numbered state with its sections. It is immutable and may be
// shared between goroutines. The zero Release is the one before the first.
type Release struct {
	Number uint64
	// Digest is the hex SHA-256 digest of the encoded state.
	Digest string

	content *content
}

// content is what a release holds.
type content struct {
	state    State
	sections []*section
	// sum is the digest over number, digest and sections.
	sum []byte

	packing sync.Once
	body    []byte
	err     error
}

// Snapshot is a release in the form in which it travels as a whole.
type Snapshot struct {
	Number uint64
	Digest string
	// Body is the compressed state.
	Body []byte
}

// ReleaseError reports a release that must not be applied.
type ReleaseError struct {
	Number uint64
	Reason string
}

func (e *ReleaseError) Error() string { return fmt.Sprintf("release %d: %s", e.Number, e.Reason) }

// SectionError reports a section that does not fit into its release.
type SectionError struct {
	Kind   uint8
	Name   string
	Reason string
}

func (e *SectionError) Error() string {
	return fmt.Sprintf("section %q of kind %d: %s", e.Name, e.Kind, e.Reason)
}

// Pack returns the release of a state. Equal states make equal releases on
// every balancer. The error is a *ReleaseError.
func Pack(s State) (Release, error) {
	return Release{}.Pack(s)
}

// Pack does what the function of this name does. The release shares with r the
// sections that they have in common, which costs less time.
func (r Release) Pack(s State) (Release, error) {
	encoded, err := json.Marshal(s)
	if err != nil {
		return Release{}, &ReleaseError{Number: s.Fleet.Number, Reason: err.Error()}
	}
	var base []*section
	if r.content != nil {
		base = r.content.sections
	}
	return newRelease(s, digest(encoded), nil, base)
}

func digest(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// newRelease cuts a state. Body is its compressed form, nil if not at hand.
func newRelease(s State, digest string, body []byte, base []*section) (Release, error) {
	sections, err := cut(s, base)
	if err != nil {
		return Release{}, &ReleaseError{Number: s.Fleet.Number, Reason: err.Error()}
	}
	return Release{Number: s.Fleet.Number, Digest: digest, content: &content{
		state:    s,
		sections: sections,
		sum:      sumSections(s.Fleet.Number, digest, sections),
		body:     body,
	}}, nil
}

// sumSections returns the digest of a release over its sections.
func sumSections(number uint64, digest string, sections []*section) []byte {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, number))
	h.Write([]byte(digest))
	for _, s := range sections {
		h.Write(s.sum[:])
	}
	return h.Sum(nil)
}

// Decode returns the release that w carries. The error is a *ReleaseError.
func (w Snapshot) Decode() (Release, error) {
	encoded, err := deflate.Unpack(w.Body, maxContent)
	if err != nil {
		return Release{}, &ReleaseError{Number: w.Number, Reason: err.Error()}
	}
	var s State
	if err := json.Unmarshal(encoded, &s); err != nil {
		return Release{}, &ReleaseError{Number: w.Number, Reason: err.Error()}
	}
	if s.Fleet.Number != w.Number || digest(encoded) != w.Digest {
		return Release{}, &ReleaseError{Number: w.Number, Reason: "it holds another state"}
	}
	if err := s.check(); err != nil {
		return Release{}, err
	}
	if s.Config.Services != nil {
		s.Config = s.Config.WithServices(s.Config.Services)
	}
	return newRelease(s, w.Digest, w.Body, nil)
}

// State returns the state of the release.
func (r Release) State() State {
	if r.content == nil {
		return State{}
	}
	return r.content.state
}

// Sections returns the number of sections of the release.
func (r Release) Sections() int {
	if r.content == nil {
		return 0
	}
	return len(r.content.sections)
}

// withoutState returns r with its sections alone, which is what DeltaFrom needs of a
// former release.
func (r Release) withoutState() Release {
	r.content = &content{sections: r.content.sections, sum: r.content.sum}
	return r
}

// Snapshot returns the release as it travels as a whole. It is compressed when it
// is first asked for. The error is a *ReleaseError.
func (r Release) Snapshot() (Snapshot, error) {
	c := r.content
	if c == nil {
		return Snapshot{}, &ReleaseError{Reason: "there is none"}
	}
	c.packing.Do(func() {
		if c.body == nil {
			c.body, c.err = r.pack()
		}
	})
	return Snapshot{Number: r.Number, Digest: r.Digest, Body: c.body}, c.err
}

func (r Release) pack() ([]byte, error) {
	encoded, err := json.Marshal(r.content.state)
	if err != nil {
		return nil, &ReleaseError{Number: r.Number, Reason: err.Error()}
	}
	if digest(encoded) != r.Digest {
		return nil, &ReleaseError{Number: r.Number, Reason: "its state is encoded in another way"}
	}
	return deflate.Pack(encoded)
}
