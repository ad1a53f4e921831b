package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Health is what the members of a domain found out about one of them. A larger
// value overrides a smaller one of the same incarnation.
type Health uint8

// The healths of a member.
const (
	HealthLive Health = iota
	HealthSuspect
	HealthUnreachable
)

// Record is what one balancer tells others about a member.
type Record struct {
	Member
	// Incarnation is raised by the member itself, to refute a suspicion.
	Incarnation uint64
	Health      Health
	// Leaving stays set for the rest of the life.
	Leaving bool
}

// recordOverhead is the size of an encoded record without its strings, in bytes.
const recordOverhead = 40

// size estimates the encoded size, in bytes.
func (r Record) size() int {
	return len(r.Name) + len(r.Domain) + recordOverhead
}

// hash identifies the content that all members have to agree on.
func (r Record) hash() uint64 {
	var b [96]byte
	buf := append(b[:0], r.Name...)
	buf = binary.BigEndian.AppendUint64(buf, r.Life)
	buf = binary.BigEndian.AppendUint64(buf, r.Incarnation)
	buf = append(buf, byte(r.Health), bit(r.Leaving))
	return xxhash.Sum64(buf)
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// merge returns r with what news adds to it, both of one name.
func (r Record) merge(news Record) Record {
	if news.Life != r.Life {
		if news.Life > r.Life {
			return news
		}
		return r
	}
	leaving := r.Leaving || news.Leaving
	if news.Incarnation > r.Incarnation || news.Incarnation == r.Incarnation && news.Health > r.Health {
		r = news
	}
	r.Leaving = leaving
	return r
}

// Heartbeat is the message between two members. Each one is answered by one
// with Reply set.
type Heartbeat struct {
	Reply bool
	// From is the sender's own record.
	From Record
	// Digest is equal for two members that know the same records.
	Digest uint64
	// Config and ConfigDigest name the configuration that the sender holds.
	Config       uint64
	ConfigDigest string
	// ProbeRequest names a member that the receiver should probe for the sender, who has
	// no replies from it.
	ProbeRequest string
	// ProbeReached names a member that answered the sender, which the receiver asked.
	ProbeReached string
	// Records are news, or part of everything if the digests differ.
	Records []Record
}
