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

// maxContent is the largest uncompressed content of a release, in bytes.
const maxContent = 64 << 20

// Release is one numbered state with its sections. It is immutable and safe for
// concurrent use. The zero Release means that there is none.
type Release struct {
	// Number is the number of the fleet state.
	Number uint64
	// Digest is the hex SHA-256 digest of the encoded state.
	Digest string

	content *content
}

// content is the content of a release. All copies of the release share it.
type content struct {
	state    State
	sections []*section
	// sectionsDigest is the SHA-256 digest over the number, the digest and the
	// sections of the release.
	sectionsDigest []byte

	// packOnce guards the computation of body and packErr in the first call of
	// Release.Snapshot.
	packOnce sync.Once
	// body is the compressed JSON encoding of the state, nil if not computed yet.
	body []byte
	// packErr is the error of that computation.
	packErr error
}

// Snapshot is a complete release in the form in which it is sent.
type Snapshot struct {
	// Number is the number of the release.
	Number uint64
	// Digest is the digest of the release.
	Digest string
	// Body is the compressed JSON encoding of the state.
	Body []byte
}

// ReleaseError reports an invalid release, which must not be applied.
type ReleaseError struct {
	// Number is the number of the release, 0 if there is none.
	Number uint64
	// Reason describes the error.
	Reason string
}

func (e *ReleaseError) Error() string { return fmt.Sprintf("release %d: %s", e.Number, e.Reason) }

// SectionError reports a section that is invalid or does not fit into its
// release.
type SectionError struct {
	// Kind is the kind of the section as it is sent, 0 if the error does not concern a
	// single section.
	Kind uint8
	// Name is the name of the service, member or failure domain of the section,
	// empty for kinds with a single section.
	Name string
	// Reason describes the error.
	Reason string
}

func (e *SectionError) Error() string {
	return fmt.Sprintf("section %q of kind %d: %s", e.Name, e.Kind, e.Reason)
}

// NewRelease returns the release of a state. Equal states result in equal releases on
// every balancer. The error is a *ReleaseError.
func NewRelease(s State) (Release, error) {
	return Release{}.Pack(s)
}

// Pack returns the release of a state, as the function NewRelease does. The release
// shares equal sections with r, which saves the time to encode them.
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

// digest returns the hex SHA-256 digest of an encoded state.
func digest(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// newRelease returns the release of a state. body is the compressed state, or nil
// if it is not known. Sections that are equal to one in base are shared with it.
func newRelease(s State, digest string, body []byte, base []*section) (Release, error) {
	sections, err := splitSections(s, base)
	if err != nil {
		return Release{}, &ReleaseError{Number: s.Fleet.Number, Reason: err.Error()}
	}
	return Release{Number: s.Fleet.Number, Digest: digest, content: &content{
		state:          s,
		sections:       sections,
		sectionsDigest: digestSections(s.Fleet.Number, digest, sections),
		body:           body,
	}}, nil
}

// digestSections returns the SHA-256 digest over the number, the digest and the
// sections of a release.
func digestSections(number uint64, digest string, sections []*section) []byte {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, number))
	h.Write([]byte(digest))
	for _, s := range sections {
		h.Write(s.digest[:])
	}
	return h.Sum(nil)
}

// Decode decodes the release in snap and checks its number and digest. The error is
// a *ReleaseError.
func (snap Snapshot) Decode() (Release, error) {
	encoded, err := deflate.Unpack(snap.Body, maxContent)
	if err != nil {
		return Release{}, &ReleaseError{Number: snap.Number, Reason: err.Error()}
	}
	var s State
	if err := json.Unmarshal(encoded, &s); err != nil {
		return Release{}, &ReleaseError{Number: snap.Number, Reason: err.Error()}
	}
	if s.Fleet.Number != snap.Number || digest(encoded) != snap.Digest {
		return Release{}, &ReleaseError{Number: snap.Number, Reason: "its number or digest does not match its state"}
	}
	if err := s.validate(); err != nil {
		return Release{}, err
	}
	if s.Config.Services != nil {
		// WithServices builds the address index, which is not part of the encoding.
		s.Config = s.Config.WithServices(s.Config.Services)
	}
	return newRelease(s, snap.Digest, snap.Body, nil)
}

// State returns the state of the release.
func (r Release) State() State {
	if r.content == nil {
		return State{}
	}
	return r.content.state
}

// SectionCount returns the number of sections of the release.
func (r Release) SectionCount() int {
	if r.content == nil {
		return 0
	}
	return len(r.content.sections)
}

// withoutState returns a copy of r without the state, which saves memory: DeltaFrom
// needs only the sections of a former release.
func (r Release) withoutState() Release {
	r.content = &content{sections: r.content.sections, sectionsDigest: r.content.sectionsDigest}
	return r
}

// Snapshot returns the complete release in the form in which it is sent. The first
// call compresses the state, unless r was decoded from a Snapshot. The error is a
// *ReleaseError if r is the zero Release or its state does not encode to its digest.
func (r Release) Snapshot() (Snapshot, error) {
	c := r.content
	if c == nil {
		return Snapshot{}, &ReleaseError{Reason: "there is no release yet"}
	}
	c.packOnce.Do(func() {
		if c.body == nil {
			c.body, c.packErr = r.packBody()
		}
	})
	return Snapshot{Number: r.Number, Digest: r.Digest, Body: c.body}, c.packErr
}

// packBody returns the compressed JSON encoding of the state.
func (r Release) packBody() ([]byte, error) {
	encoded, err := json.Marshal(r.content.state)
	if err != nil {
		return nil, &ReleaseError{Number: r.Number, Reason: err.Error()}
	}
	if digest(encoded) != r.Digest {
		return nil, &ReleaseError{Number: r.Number, Reason: "its state encodes to another digest"}
	}
	return deflate.Pack(encoded)
}
