package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Health is the health in the record of a member. The members of its domain determine it,
// and all members exchange it. A larger value overrides a smaller one of the same
// incarnation.
type Health uint8

// The health values of a member.
const (
	// HealthLive is the health of a member that replies to heartbeats.
	HealthLive Health = iota
	// HealthSuspect is the health of a member that has missed replies and may still refute
	// the suspicion.
	HealthSuspect
	// HealthUnreachable is the health of a member that has not refuted a suspicion in
	// time.
	HealthUnreachable
)

// Record is the state of one member as all members exchange it.
type Record struct {
	Member
	// Incarnation is raised by the member itself to refute a suspicion.
	Incarnation uint64
	Health      Health
	// Leaving stays set for the rest of the process instance.
	Leaving bool
}

// recordOverhead is the size of an encoded record without its strings, in bytes.
const recordOverhead = 40

// size estimates the encoded size in bytes.
func (r Record) size() int {
	return len(r.Name) + len(r.Domain) + recordOverhead
}

// hash returns a hash of the fields that have to be equal at all members.
func (r Record) hash() uint64 {
	var b [96]byte
	buf := append(b[:0], r.Name...)
	buf = binary.BigEndian.AppendUint64(buf, r.Life)
	buf = binary.BigEndian.AppendUint64(buf, r.Incarnation)
	buf = append(buf, byte(r.Health), boolByte(r.Leaving))
	return xxhash.Sum64(buf)
}

// boolByte returns 1 for true and 0 for false.
func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// merge returns r with the newer parts of update, which is a record of the same name.
func (r Record) merge(update Record) Record {
	if update.Life != r.Life {
		if update.Life > r.Life {
			return update
		}
		return r
	}
	leaving := r.Leaving || update.Leaving
	if update.Incarnation > r.Incarnation || update.Incarnation == r.Incarnation && update.Health > r.Health {
		r = update
	}
	r.Leaving = leaving
	return r
}

// Heartbeat is the message between two members. The receiver of a heartbeat without IsReply
// replies with one that has IsReply set.
type Heartbeat struct {
	// IsReply is whether no reply is expected, as in a reply.
	IsReply bool
	// From is the sender's own record.
	From Record
	// Digest is equal for two members that have the same records.
	Digest uint64
	// ConfigNumber is the number of the configuration that the sender has.
	ConfigNumber uint64
	// ConfigDigest is the digest of that configuration.
	ConfigDigest string
	// ProbeRequest names a member that the receiver should probe on behalf of the
	// sender, because the sender gets no replies from that member. It is empty if no
	// probe is requested.
	ProbeRequest string
	// ProbeReached names a member from which the sender has received a heartbeat since
	// the receiver requested an indirect probe of it. It is empty if there is none.
	ProbeReached string
	// Records are updates, or a part of all the sender's records if the digests differ.
	Records []Record
}
