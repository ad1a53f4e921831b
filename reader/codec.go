package reader

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
	"wisteriaweir/placement"
	"wisteriaweir/reader/readerpb"
)

const (
	// maxFragmentBytes is the largest size of one fragment of an update, in bytes.
	maxFragmentBytes = 1100
	// MaxDatagramSize is the largest datagram between hosts, in bytes.
	MaxDatagramSize = 1400
	// maxFragments is the largest number of fragments of one update that a decoder
	// accepts.
	maxFragments = 4096
)

// MessageError reports a datagram that is not a valid message, or a message that
// cannot be encoded.
type MessageError struct {
	// Reason describes the problem.
	Reason string
}

func (e *MessageError) Error() string {
	return "reader: invalid message: " + e.Reason
}

// Encoder encodes messages into datagrams. It is not safe for concurrent use.
type Encoder struct {
	self Member
	// lastID is the ID of the last update.
	lastID uint64
}

// NewEncoder returns an encoder for the messages of self. The IDs of its updates start
// after baseID, which must be larger than all IDs of earlier process instances of the
// host: a decoder combines fragments by the host and the ID, and ignores IDs lower than
// that of the update whose fragments it is collecting.
func NewEncoder(self Member, baseID uint64) *Encoder {
	return &Encoder{self: self, lastID: baseID}
}

// Encode returns the datagrams of a message: several for a large Update, otherwise one.
// The error is a *MessageError if the type of msg is not supported, an *UpdateSizeError if
// an update is too large, otherwise the error of the protobuf encoder.
func (e *Encoder) Encode(msg Message) ([][]byte, error) {
	switch m := msg.(type) {
	case Hello:
		return e.encodeSingle(&readerpb.Note{Body: &readerpb.Note_Hello{Hello: &readerpb.Hello{}}})
	case Heartbeat:
		return e.encodeSingle(&readerpb.Note{Body: &readerpb.Note_Beat{Beat: &readerpb.Beat{
			Routes: m.Routes.Revision, Targets: m.Targets.Revision, Evacuations: m.Evacuations.Revision,
			Number: m.RoutesNumber, Eras: erasToProto(m.Positions), Reading: m.IsReading, AgeMs: toMilliseconds(m.StoreAge),
			UptimeMs: toMilliseconds(m.Uptime),
		}}})
	case UpdateRequest:
		return e.encodeSingle(&readerpb.Note{Body: &readerpb.Note_Ask{Ask: &readerpb.Ask{
			Routes: m.Routes.Revision, Targets: m.Targets.Revision, Evacuations: m.Evacuations.Revision,
			Number: m.RoutesNumber, Eras: erasToProto(m.Positions),
		}}})
	case EvacuationUpdate:
		return e.encodeSingle(&readerpb.Note{Body: &readerpb.Note_Evacuated{Evacuated: &readerpb.Evacuated{
			Revision: m.Position.Revision, Era: m.Position.Era, Domains: m.Set.Domains(),
		}}})
	case Load:
		l := &readerpb.Load{Dead: m.Dead}
		for stamp, tl := range m.Targets {
			l.Stamps = append(l.Stamps, stamp)
			l.Busy = append(l.Busy, uint32(tl.Busy))
			l.Queued = append(l.Queued, uint32(tl.Queued))
		}
		for stamp, weights := range m.Failures {
			l.Failing = append(l.Failing, stamp)
			l.Good = append(l.Good, encodeWeight(weights.Succeeded))
			l.Failed = append(l.Failed, encodeWeight(weights.Failed))
		}
		for stamp, age := range m.Stalled {
			l.Stalled, l.StalledMs = append(l.Stalled, stamp), append(l.StalledMs, toMilliseconds(age))
		}
		for stamp, age := range m.Responded {
			l.Responded, l.RespondedMs = append(l.Responded, stamp), append(l.RespondedMs, toMilliseconds(age))
		}
		for name, s := range m.Services {
			l.Services = append(l.Services, &readerpb.ServiceLoad{
				Service: name, Domain: s.Domain, Level: float32(s.Level),
			})
		}
		return e.encodeSingle(&readerpb.Note{Body: &readerpb.Note_Load{Load: l}})
	case Lookup:
		return e.encodeSingle(&readerpb.Note{Body: &readerpb.Note_Lookup{Lookup: &readerpb.Lookup{Stamps: m.Stamps}}})
	case Found:
		return e.encodeSingle(&readerpb.Note{Body: &readerpb.Note_Found{Found: foundToProto(m)}})
	case Update:
		return e.encodeFragments(m)
	default:
		return nil, &MessageError{Reason: fmt.Sprintf("unsupported type %T", m)}
	}
}

// encodeSingle adds the sender to n and returns it as one datagram.
func (e *Encoder) encodeSingle(n *readerpb.Note) ([][]byte, error) {
	n.Host, n.Domain = e.self.Name, e.self.Domain
	n.Ip, n.Port = ipToUint32(e.self.Address.Addr()), uint32(e.self.Address.Port())
	n.Strong = e.self.HasSpareCapacity
	b, err := proto.Marshal(n)
	if err != nil {
		return nil, err
	}
	return [][]byte{b}, nil
}

// encodeFragments splits an update into fragments and returns their datagrams. The error
// is an *UpdateSizeError if there would be more than maxFragments, which no decoder
// accepts.
func (e *Encoder) encodeFragments(u Update) ([][]byte, error) {
	encoded, err := proto.Marshal(updateToProto(u))
	if err != nil {
		return nil, err
	}
	count := (len(encoded) + maxFragmentBytes - 1) / maxFragmentBytes
	if count > maxFragments {
		return nil, &UpdateSizeError{Position: u.Position, Fragments: count, MaxFragments: maxFragments}
	}
	e.lastID++
	var datagrams [][]byte
	for i := range count {
		fragment := encoded[i*maxFragmentBytes : min((i+1)*maxFragmentBytes, len(encoded))]
		b, err := e.encodeSingle(&readerpb.Note{Body: &readerpb.Note_Part{Part: &readerpb.Part{
			Id: e.lastID, Index: uint32(i), Count: uint32(count), Data: fragment,
		}}})
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, b...)
	}
	return datagrams, nil
}

// Decoder decodes datagrams into messages. It reassembles the fragments of updates,
// and holds only the newest incomplete update of each host. It is not safe for
// concurrent use.
type Decoder struct {
	// reassemblies are the incomplete updates by the name of the host.
	reassemblies map[string]*reassembly
	// invalid has an error for each element of the last message that was skipped.
	invalid []error
}

// Invalid returns a *MessageError for each element of the last message that is invalid and was
// skipped.
func (d *Decoder) Invalid() []error {
	return d.invalid
}

// reassembly is an update of which fragments are missing.
type reassembly struct {
	id uint64
	// missing is the number of fragments that have not been received.
	missing   int
	fragments [][]byte
}

// NewDecoder returns a decoder.
func NewDecoder() *Decoder {
	return &Decoder{reassemblies: map[string]*reassembly{}}
}

// Decode returns the host that sent a datagram and its message. The message is nil
// while fragments of an update are missing. Invalid elements of the message are skipped; see
// Invalid. The error is a *MessageError.
func (d *Decoder) Decode(b []byte) (Member, Message, error) {
	d.invalid = nil
	var m readerpb.Note
	if err := proto.Unmarshal(b, &m); err != nil {
		return Member{}, nil, &MessageError{Reason: err.Error()}
	}
	from := Member{Name: m.Host, Domain: m.Domain, Address: addrPortFromUint32(m.Ip, m.Port), HasSpareCapacity: m.Strong}
	if from.Name == "" || m.Ip == 0 || !isPort(m.Port) {
		return Member{}, nil, &MessageError{Reason: "missing or invalid host name, IP address or port"}
	}
	switch body := m.Body.(type) {
	case *readerpb.Note_Hello:
		// The host has started: it does not continue an update of its earlier process, and
		// its IDs may be lower if its clock was set back.
		delete(d.reassemblies, from.Name)
		return from, Hello{}, nil
	case *readerpb.Note_Beat:
		w := body.Beat
		return from, Heartbeat{Positions: positionsFromProto(w.Number, w.Routes, w.Targets, w.Evacuations, w.Eras), IsReading: w.Reading, StoreAge: fromMilliseconds(w.AgeMs), Uptime: fromMilliseconds(w.UptimeMs)}, nil
	case *readerpb.Note_Ask:
		w := body.Ask
		return from, UpdateRequest{Positions: positionsFromProto(w.Number, w.Routes, w.Targets, w.Evacuations, w.Eras)}, nil
	case *readerpb.Note_Evacuated:
		return from, EvacuationUpdate{
			Position: catalog.Position{Era: body.Evacuated.Era, Revision: body.Evacuated.Revision}, Set: evacuation.NewSet(body.Evacuated.Domains...),
		}, nil
	case *readerpb.Note_Load:
		msg, err := d.loadFromProto(body.Load)
		return from, msg, err
	case *readerpb.Note_Lookup:
		return from, Lookup{Stamps: body.Lookup.Stamps}, nil
	case *readerpb.Note_Found:
		found, invalid := foundFromProto(body.Found)
		d.invalid = invalid
		return from, found, nil
	case *readerpb.Note_Part:
		msg, err := d.addFragment(from, body.Part)
		return from, msg, err
	default:
		return from, nil, &MessageError{Reason: "unknown message type"}
	}
}

// loadFromProto returns the load report of a wire form. It skips services without a finite level.
func (d *Decoder) loadFromProto(w *readerpb.Load) (Message, error) {
	if len(w.Stamps) != len(w.Busy) || len(w.Stamps) != len(w.Queued) ||
		len(w.Failing) != len(w.Good) || len(w.Failing) != len(w.Failed) ||
		len(w.Stalled) != len(w.StalledMs) || len(w.Responded) != len(w.RespondedMs) {
		return nil, &MessageError{Reason: "lists of a load report differ in length"}
	}
	l := placement.LoadReport{
		Targets: make(map[uint32]placement.TargetLoad, len(w.Stamps)), Dead: w.Dead,
		Stalled: agesFromProto(w.Stalled, w.StalledMs), Responded: agesFromProto(w.Responded, w.RespondedMs),
	}
	for i, stamp := range w.Stamps {
		l.Targets[stamp] = placement.TargetLoad{Busy: int(w.Busy[i]), Queued: int(w.Queued[i])}
	}
	for i, stamp := range w.Failing {
		if l.Failures == nil {
			l.Failures = map[uint32]placement.OutcomeWeights{}
		}
		l.Failures[stamp] = placement.OutcomeWeights{Succeeded: float64(w.Good[i]) / weightUnits, Failed: float64(w.Failed[i]) / weightUnits}
	}
	for _, s := range w.Services {
		if level := float64(s.Level); !(level >= 0) || math.IsInf(level, 1) {
			d.invalid = append(d.invalid, &MessageError{Reason: fmt.Sprintf("level of service %.*q is %v", maxNameBytes, s.Service, level)})
			continue
		}
		if l.Services == nil {
			l.Services = map[string]placement.ServiceLoad{}
		}
		l.Services[s.Service] = placement.ServiceLoad{Domain: s.Domain, Level: float64(s.Level)}
	}
	return Load{LoadReport: l}, nil
}

// agesFromProto returns ages by stamp, nil if there are none. The lists have the same length.
func agesFromProto(stamps, ms []uint32) map[uint32]time.Duration {
	if len(stamps) == 0 {
		return nil
	}
	ages := make(map[uint32]time.Duration, len(stamps))
	for i, stamp := range stamps {
		ages[stamp] = fromMilliseconds(ms[i])
	}
	return ages
}

// addFragment adds a fragment and returns the update if it is complete, otherwise nil.
// A fragment of a newer update discards the fragments of the incomplete older one; a
// fragment of an older update is ignored.
func (d *Decoder) addFragment(from Member, p *readerpb.Part) (Message, error) {
	if p.Count == 0 || p.Count > maxFragments || p.Index >= p.Count {
		return nil, &MessageError{Reason: fmt.Sprintf("invalid fragment %d of %d", p.Index, p.Count)}
	}
	r := d.reassemblies[from.Name]
	if r == nil || r.id != p.Id || len(r.fragments) != int(p.Count) {
		if r != nil && p.Id < r.id {
			return nil, nil
		}
		r = &reassembly{id: p.Id, missing: int(p.Count), fragments: make([][]byte, p.Count)}
		d.reassemblies[from.Name] = r
	}
	if r.fragments[p.Index] == nil {
		r.fragments[p.Index] = p.Data
		r.missing--
	}
	if r.missing > 0 {
		return nil, nil
	}
	delete(d.reassemblies, from.Name)
	var encoded []byte
	for _, fragment := range r.fragments {
		encoded = append(encoded, fragment...)
	}
	var m readerpb.Content
	if err := proto.Unmarshal(encoded, &m); err != nil {
		return nil, &MessageError{Reason: err.Error()}
	}
	u, invalid := updateFromProto(&m)
	d.invalid = invalid
	return u, nil
}

// erasToProto returns the wire form of the eras of positions, nil if the store names none.
func erasToProto(p Positions) *readerpb.Eras {
	if p.Routes.Era == 0 && p.Targets.Era == 0 && p.Evacuations.Era == 0 {
		return nil
	}
	return &readerpb.Eras{Routes: p.Routes.Era, Targets: p.Targets.Era, Evacuations: p.Evacuations.Era}
}

// positionsFromProto returns the positions of a wire form.
func positionsFromProto(number, routes, targets, evacuations uint64, eras *readerpb.Eras) Positions {
	return Positions{
		RoutesNumber: number,
		Routes:       catalog.Position{Era: eras.GetRoutes(), Revision: routes},
		Targets:      catalog.Position{Era: eras.GetTargets(), Revision: targets},
		Evacuations:  catalog.Position{Era: eras.GetEvacuations(), Revision: evacuations},
	}
}

// finiteRate returns a rate, 0 if it is negative or no finite number.
func finiteRate(rate float64) float64 {
	if rate > 0 && !math.IsInf(rate, 1) {
		return rate
	}
	return 0
}

// ipToUint32 returns an IPv4 address as a big-endian number.
func ipToUint32(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

// addrPortFromUint32 returns the address of a big-endian IPv4 address and a port.
func addrPortFromUint32(ip, port uint32) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(port))
}

// weightUnits is the number of units that encode an outcome weight of 1.
const weightUnits = 10

// encodeWeight returns a weight in units of 1/weightUnits, rounded. Negative weights
// become 0.
func encodeWeight(weight float64) uint32 {
	return uint32(math.Round(max(weight, 0) * weightUnits))
}

// toMilliseconds returns d in milliseconds, rounded down. Negative durations become 0.
func toMilliseconds(d time.Duration) uint32 {
	return uint32(max(d, 0) / time.Millisecond)
}

func fromMilliseconds(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
