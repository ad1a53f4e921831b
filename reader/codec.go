package reader

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriaweir/catalog"
	"wisteriaweir/placement"
	"wisteriaweir/reader/readerpb"
	"wisteriaweir/route"
)

const (
	// partSize is the most content in one datagram, in bytes.
	partSize = 1100
	// MaxDatagramSize is the largest datagram between hosts, in bytes.
	MaxDatagramSize = 1400
	// maxParts bounds the datagrams of one content.
	maxParts = 4096
)

// MessageError says why a datagram is no note.
type MessageError struct {
	Reason string
}

func (e *MessageError) Error() string {
	return "reader: note: " + e.Reason
}

// Encoder turns notes into datagrams.
type Encoder struct {
	self Member
	next uint64
}

// NewEncoder returns an encoder for the notes of self. First is the number of
// its first content; it must differ between two lives of a host.
func NewEncoder(self Member, first uint64) *Encoder {
	return &Encoder{self: self, next: first}
}

// Encode returns the datagrams of a note.
func (e *Encoder) Encode(n Message) ([][]byte, error) {
	switch n := n.(type) {
	case Hello:
		return e.single(&readerpb.Note{Body: &readerpb.Note_Hello{Hello: &readerpb.Hello{}}})
	case Heartbeat:
		return e.single(&readerpb.Note{Body: &readerpb.Note_Beat{Beat: &readerpb.Beat{
			Routes: n.RoutesRevision, Targets: n.TargetsRevision, Reading: n.IsReading, AgeMs: milliseconds(n.StoreAge),
		}}})
	case UpdateRequest:
		return e.single(&readerpb.Note{Body: &readerpb.Note_Ask{Ask: &readerpb.Ask{Routes: n.RoutesRevision, Targets: n.TargetsRevision}}})
	case Load:
		l := &readerpb.Load{Dead: n.Dead}
		for stamp, tl := range n.Targets {
			l.Stamps = append(l.Stamps, stamp)
			l.Busy = append(l.Busy, uint32(tl.Busy))
			l.Queued = append(l.Queued, uint32(tl.Queued))
		}
		for stamp, d := range n.Failures {
			l.Failing = append(l.Failing, stamp)
			l.Good = append(l.Good, tenths(d.Succeeded))
			l.Failed = append(l.Failed, tenths(d.Failed))
		}
		return e.single(&readerpb.Note{Body: &readerpb.Note_Load{Load: l}})
	case Update:
		return e.parts(n)
	default:
		return nil, &MessageError{Reason: fmt.Sprintf("kind %T", n)}
	}
}

// single frames a note that fits one datagram.
func (e *Encoder) single(n *readerpb.Note) ([][]byte, error) {
	n.Host, n.Domain = e.self.Name, e.self.Domain
	n.Ip, n.Port = ipNumber(e.self.Address.Addr()), uint32(e.self.Address.Port())
	n.Strong = e.self.HasSpareCapacity
	b, err := proto.Marshal(n)
	if err != nil {
		return nil, err
	}
	return [][]byte{b}, nil
}

// parts cuts a content into datagrams.
func (e *Encoder) parts(n Update) ([][]byte, error) {
	content, err := proto.Marshal(contentMessage(n))
	if err != nil {
		return nil, err
	}
	e.next++
	count := (len(content) + partSize - 1) / partSize
	var datagrams [][]byte
	for i := range count {
		part := content[i*partSize : min((i+1)*partSize, len(content))]
		b, err := e.single(&readerpb.Note{Body: &readerpb.Note_Part{Part: &readerpb.Part{
			Id: e.next, Index: uint32(i), Count: uint32(count), Data: part,
		}}})
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, b...)
	}
	return datagrams, nil
}

// Decoder turns datagrams into notes. It joins the parts of a content; of each
// host just the newest unfinished content is kept.
type Decoder struct {
	joins map[string]*join
}

// join is a content of which parts are missing.
type join struct {
	id      uint64
	missing int
	parts   [][]byte
}

// NewDecoder returns a decoder.
func NewDecoder() *Decoder {
	return &Decoder{joins: map[string]*join{}}
}

// Decode returns the host that a datagram comes from and its note, nil while
// parts of a content are missing. The error is a *MessageError.
func (d *Decoder) Decode(b []byte) (Member, Message, error) {
	var m readerpb.Note
	if err := proto.Unmarshal(b, &m); err != nil {
		return Member{}, nil, &MessageError{Reason: err.Error()}
	}
	from := Member{Name: m.Host, Domain: m.Domain, Address: endpoint(m.Ip, m.Port), HasSpareCapacity: m.Strong}
	if from.Name == "" || m.Ip == 0 || m.Port == 0 || m.Port > 65535 {
		return Member{}, nil, &MessageError{Reason: "names no host"}
	}
	switch body := m.Body.(type) {
	case *readerpb.Note_Hello:
		return from, Hello{}, nil
	case *readerpb.Note_Beat:
		w := body.Beat
		return from, Heartbeat{RoutesRevision: w.Routes, TargetsRevision: w.Targets, IsReading: w.Reading, StoreAge: duration(w.AgeMs)}, nil
	case *readerpb.Note_Ask:
		return from, UpdateRequest{RoutesRevision: body.Ask.Routes, TargetsRevision: body.Ask.Targets}, nil
	case *readerpb.Note_Load:
		n, err := loadNote(body.Load)
		return from, n, err
	case *readerpb.Note_Part:
		n, err := d.join(from, body.Part)
		return from, n, err
	default:
		return from, nil, &MessageError{Reason: "of no known kind"}
	}
}

func loadNote(w *readerpb.Load) (Message, error) {
	if len(w.Stamps) != len(w.Busy) || len(w.Stamps) != len(w.Queued) ||
		len(w.Failing) != len(w.Good) || len(w.Failing) != len(w.Failed) {
		return nil, &MessageError{Reason: "load of unequal lists"}
	}
	l := placement.Load{Targets: make(map[uint32]placement.TargetLoad, len(w.Stamps)), Dead: w.Dead}
	for i, stamp := range w.Stamps {
		l.Targets[stamp] = placement.TargetLoad{Busy: int(w.Busy[i]), Queued: int(w.Queued[i])}
	}
	for i, stamp := range w.Failing {
		if l.Failures == nil {
			l.Failures = map[uint32]placement.OutcomeWeights{}
		}
		l.Failures[stamp] = placement.OutcomeWeights{Succeeded: float64(w.Good[i]) / perWeight, Failed: float64(w.Failed[i]) / perWeight}
	}
	return Load{Load: l}, nil
}

// join adds a part and returns the content once it is whole.
func (d *Decoder) join(from Member, p *readerpb.Part) (Message, error) {
	if p.Count == 0 || p.Count > maxParts || p.Index >= p.Count {
		return nil, &MessageError{Reason: fmt.Sprintf("part %d of %d", p.Index, p.Count)}
	}
	j := d.joins[from.Name]
	if j == nil || j.id != p.Id || len(j.parts) != int(p.Count) {
		if j != nil && p.Id < j.id {
			return nil, nil
		}
		j = &join{id: p.Id, missing: int(p.Count), parts: make([][]byte, p.Count)}
		d.joins[from.Name] = j
	}
	if j.parts[p.Index] == nil {
		j.parts[p.Index] = p.Data
		j.missing--
	}
	if j.missing > 0 {
		return nil, nil
	}
	delete(d.joins, from.Name)
	var content []byte
	for _, part := range j.parts {
		content = append(content, part...)
	}
	var m readerpb.Content
	if err := proto.Unmarshal(content, &m); err != nil {
		return nil, &MessageError{Reason: err.Error()}
	}
	return contentNote(&m), nil
}

func contentMessage(n Update) *readerpb.Content {
	m := &readerpb.Content{Revision: n.Revision, Full: n.HasAllTargets, From: n.BaseRevision}
	switch {
	case n.Routes != nil:
		m.Table = tableMessage(n.Routes.Number(), n.Routes.IdleTimeout(), n.Routes.Routes())
	case n.RouteChanges != nil:
		ch := n.RouteChanges
		m.Table = tableMessage(ch.Number, ch.IdleTimeout, ch.Updated)
		m.Table.Delta = true
		for _, a := range ch.Removed {
			m.Table.Removed = append(m.Table.Removed, &readerpb.Address{Ip: a.IP, Port: uint32(a.Port)})
		}
	}
	for _, t := range n.Targets {
		m.Targets = append(m.Targets, targetMessage(t))
	}
	for _, ch := range n.Changes {
		if ch.Removed {
			m.Removed = append(m.Removed, ch.Target.ID)
			continue
		}
		m.Targets = append(m.Targets, targetMessage(ch.Target))
	}
	return m
}

func contentNote(m *readerpb.Content) Update {
	n := Update{Revision: m.Revision, HasAllTargets: m.Full, BaseRevision: m.From}
	if m.Table != nil {
		return tableNote(n, m.Table)
	}
	for _, w := range m.Targets {
		t := target(w)
		if n.HasAllTargets {
			n.Targets = append(n.Targets, t)
			continue
		}
		n.Changes = append(n.Changes, catalog.Change{Target: t})
	}
	for _, id := range m.Removed {
		// A removal is newer than any entry that it follows.
		n.Changes = append(n.Changes, catalog.Change{Target: catalog.Target{ID: id, Revision: m.Revision}, Removed: true})
	}
	return n
}

func tableMessage(number uint64, idle time.Duration, routes []route.Route) *readerpb.Table {
	m := &readerpb.Table{Number: number, IdleMs: milliseconds(idle)}
	for _, r := range routes {
		w := &readerpb.Route{
			Name: r.Name, Ip: r.Address.IP, Port: uint32(r.Address.Port), Kind: string(r.Kind),
			ObjectiveMs: milliseconds(r.LatencyObjective), TimeoutMs: milliseconds(r.Timeout),
			Priority: uint32(max(r.Priority, 0)),
		}
		for _, s := range r.WeightedServices {
			w.Shares = append(w.Shares, &readerpb.Share{Service: s.Service, Weight: uint32(s.Weight)})
		}
		m.Routes = append(m.Routes, w)
	}
	return m
}

// tableNote adds a routing table, or changes of one, to n.
func tableNote(n Update, m *readerpb.Table) Update {
	routes := make([]route.Route, 0, len(m.Routes))
	for _, w := range m.Routes {
		r := route.Route{
			Name: w.Name, Address: route.Address{IP: w.Ip, Port: uint16(w.Port)}, Kind: route.Kind(w.Kind),
			LatencyObjective: duration(w.ObjectiveMs), Timeout: duration(w.TimeoutMs),
			Priority: int(w.Priority),
		}
		for _, s := range w.Shares {
			r.WeightedServices = append(r.WeightedServices, route.WeightedService{Service: s.Service, Weight: int(s.Weight)})
		}
		routes = append(routes, r)
	}
	if !m.Delta {
		t := route.NewTable(m.Number, duration(m.IdleMs), routes)
		n.Routes = &t
		return n
	}
	ch := &route.Changes{Number: m.Number, IdleTimeout: duration(m.IdleMs), Updated: routes}
	for _, a := range m.Removed {
		ch.Removed = append(ch.Removed, route.Address{IP: a.Ip, Port: uint16(a.Port)})
	}
	n.RouteChanges = ch
	return n
}

func targetMessage(t catalog.Target) *readerpb.Target {
	return &readerpb.Target{
		Id: t.ID, Number: t.InstanceNumber, Service: t.Service, Ip: ipNumber(t.Address.Addr()), Port: uint32(t.Address.Port()),
		Domain: t.Domain, Slots: uint32(t.Slots), Draining: t.Draining, WarmupMs: milliseconds(t.Warmup),
		Born: t.StartedUnixMilli, Revision: t.Revision,
	}
}

func target(m *readerpb.Target) catalog.Target {
	return catalog.Target{
		ID: m.Id, InstanceNumber: m.Number, Service: m.Service, Address: endpoint(m.Ip, m.Port), Domain: m.Domain,
		Slots: max(int(m.Slots), 1), Draining: m.Draining, Warmup: duration(m.WarmupMs), StartedUnixMilli: m.Born, Revision: m.Revision,
	}
}

func ipNumber(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func endpoint(ip, port uint32) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(port))
}

// perWeight is the number of units in which a weight of 1 is told.
const perWeight = 10

// tenths returns a weight in the units in which it is told.
func tenths(weight float64) uint32 {
	return uint32(math.Round(max(weight, 0) * perWeight))
}

func milliseconds(d time.Duration) uint32 {
	return uint32(max(d, 0) / time.Millisecond)
}

func duration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
