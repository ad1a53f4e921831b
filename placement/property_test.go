package placement_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
	"wisteriaweir/packet"
	"wisteriaweir/placement"
	"wisteriaweir/route"
)

// workload is a core with callers that send random packets, and the state that the
// checks need.
type workload struct {
	t    *rapid.T
	core *placement.Core
	now  time.Duration
	kind route.Kind
	// listed holds the listed targets by ID.
	listed map[string]catalog.Target
	// targetsByStamp holds the IDs of all targets that were ever listed, by stamp.
	targetsByStamp map[uint32]string
	// mayGetFlowsUntil holds, by ID, until when the targets of the service desk that were
	// removed together with most of the others may still get new flows.
	mayGetFlowsUntil map[string]time.Duration
	// evacuated holds the evacuated failure domains. The core counts as isolated if isolated
	// is set.
	evacuated evacuation.Set
	isolated  bool
	// openedStamps holds the stamp of the target that each flow was opened on.
	openedStamps map[packet.FlowKey]uint32
}

const (
	serviceIP   = 0xc6120001
	servicePort = 443
)

// TestStampedPacketsReachTheirTarget guards against data that is sent to another target
// than the one of its stamp, against resets of flows with requests that are not
// idempotent, and against new flows on a target that has been removed, belongs to
// another service or is evacuated. The exceptions: when most of a service's targets, of
// three or more, are removed in one step, they may get new flows for two more seconds;
// and an isolated host may use evacuated targets of its own failure domain.
func TestStampedPacketsReachTheirTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &workload{
			t: t, kind: rapid.SampledFrom([]route.Kind{route.Safe, route.Unsafe, route.Upload, route.Download}).Draw(t, "kind"), listed: map[string]catalog.Target{}, targetsByStamp: map[uint32]string{}, openedStamps: map[packet.FlowKey]uint32{}, mayGetFlowsUntil: map[string]time.Duration{},
			core: placement.New(placement.Config{Domain: "west-a", Seed: 3, MaxFlows: 40, TargetSpeed: rapid.Bool().Draw(t, "target speed")}),
		}
		w.setTargets(1)
		for i := range rapid.IntRange(20, 150).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				w.setTargets(i + 2)
			case 1, 2, 3:
				w.sendOpening()
			case 4:
				w.core.Tick(w.now)
			case 6:
				w.isolated = rapid.Bool().Draw(t, "isolated")
				w.core.SetIsolated(w.isolated)
			case 5:
				w.core.SetPeerLoad(w.now, "n", w.core.LoadReport(w.now))
			default:
				w.sendData()
			}
			w.checkEffects()
			w.checkLoad()
		}
	})
}

func (w *workload) setTargets(revision int) {
	var targets []catalog.Target
	previous := w.listed
	w.listed = map[string]catalog.Target{}
	for i := range 5 {
		if !rapid.Bool().Draw(w.t, "there") {
			continue
		}
		t := catalog.Target{
			ID: fmt.Sprintf("i-%d", i), InstanceNumber: uint64(i + 1), Service: rapid.SampledFrom([]string{"desk", "desk", "other"}).Draw(w.t, "service"),
			Slots: 2, Domain: rapid.SampledFrom([]string{"west-a", "west-b"}).Draw(w.t, "domain"), Draining: rapid.IntRange(0, 3).Draw(w.t, "drain") == 0, Position: at(uint64(revision)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}
		targets = append(targets, t)
		w.listed[t.ID] = t
		w.targetsByStamp[placement.StampOf(t.ID)] = t.ID
	}
	w.evacuated = evacuation.NewSet(rapid.SampledFrom([][]string{nil, nil, {"west-a"}, {"west-b"}, {"west-a", "west-b"}}).Draw(w.t, "evacuated")...)
	cat := catalog.Catalog{}.
		WithRoutes(route.NewTable(1, 10*time.Second, []route.Route{{
			Address: route.Address{IP: serviceIP, Port: servicePort}, Kind: w.kind, WeightedServices: []route.WeightedService{{Service: "desk", Weight: 1}},
		}}), at(1)).
		WithTargets(targets, at(uint64(revision))).
		WithEvacuations(w.evacuated, at(uint64(revision)))
	w.core.SetCatalog(w.now, cat)
	w.recordMassRemoval(previous)
}

// recordMassRemoval records the targets of the service desk that setTargets has just
// removed, if there were three or more that were not draining and more than half of
// them are removed.
func (w *workload) recordMassRemoval(previous map[string]catalog.Target) {
	var vanished []string
	present := 0
	for id, t := range previous {
		if t.Service != "desk" || t.Draining {
			continue
		}
		present++
		if _, ok := w.listed[id]; !ok {
			vanished = append(vanished, id)
		}
	}
	if present < 3 || 2*(present-len(vanished)) >= present {
		return
	}
	for _, id := range vanished {
		w.mayGetFlowsUntil[id] = w.now + 2*time.Second
	}
}

func (w *workload) drawFlow() packet.FlowKey {
	port := uint16(rapid.IntRange(1, 60).Draw(w.t, "port"))
	return packet.FlowKey{CallerIP: 0x64400001, CallerPort: port, ServiceIP: serviceIP, ServicePort: servicePort}
}

// sendOpening sends an opening packet, or a retransmission of one, and checks the
// decision.
func (w *workload) sendOpening() {
	f := w.drawFlow()
	p := packet.Packet{Flow: f, Flags: packet.Syn, Seq: 7, Retransmits: uint32(rapid.IntRange(0, 2).Draw(w.t, "copies"))}
	switch d := w.core.Handle(w.now, p, []byte{1}).(type) {
	case placement.Forward:
		w.checkOpen(d.To)
		w.openedStamps[f] = d.To.Stamp
	case placement.Reject:
	case placement.Drop:
		if d.Reason != placement.Retransmission || p.Retransmits == 0 {
			w.t.Fatalf("an opening packet is dropped, reason %d", d.Reason)
		}
	default:
		w.t.Fatalf("unexpected decision on an opening packet: %T", d)
	}
}

// checkOpen checks that a target may get a new flow.
func (w *workload) checkOpen(t *placement.Target) {
	if w.evacuated.Has(t.Domain) && (!w.isolated || t.Domain != "west-a") {
		w.t.Fatalf("a flow opens on %s in the evacuated failure domain %s", t.ID, t.Domain)
	}
	entry, ok := w.listed[t.ID]
	if !ok && w.now < w.mayGetFlowsUntil[t.ID] {
		return
	}
	if !ok || entry.Service != "desk" {
		w.t.Fatalf("a flow of desk opens on %s (listed: %v, service: %q)", t.ID, ok, entry.Service)
	}
}

// sendData sends data with the stamp of the flow or another one, and checks that it
// goes to the target of the stamp, if it is forwarded.
func (w *workload) sendData() {
	f := w.drawFlow()
	stamp, ok := w.openedStamps[f]
	if !ok || rapid.IntRange(0, 5).Draw(w.t, "other") == 0 {
		stamp = placement.StampOf(fmt.Sprintf("i-%d", rapid.IntRange(0, 6).Draw(w.t, "id")))
	}
	p := packet.Packet{
		Flow: f, Flags: packet.Ack, Stamp: stamp, Seq: uint32(rapid.IntRange(7, 30).Draw(w.t, "seq")),
		AckSeq: uint32(rapid.IntRange(0, 20).Draw(w.t, "acked")), Size: uint16(rapid.IntRange(0, 5).Draw(w.t, "size")),
	}
	if rapid.IntRange(0, 9).Draw(w.t, "fin") == 0 {
		p.Flags |= packet.Fin
	}
	switch d := w.core.Handle(w.now, p, []byte{2}).(type) {
	case placement.Forward:
		if d.To.Stamp != stamp {
			w.t.Fatalf("data with stamp %x goes to %s", stamp, d.To.ID)
		}
	case placement.Reject:
		w.checkReset()
	}
}

// checkEffects checks the opening packets and resets that the core sends on its own.
func (w *workload) checkEffects() {
	for _, e := range w.core.Effects() {
		switch e := e.(type) {
		case placement.Resend:
			if e.IsOpening {
				w.checkOpen(e.To)
			}
		case placement.Reset:
			w.checkReset()
		}
	}
}

// checkReset checks that the flows carry idempotent requests.
func (w *workload) checkReset() {
	if w.kind != route.Safe && w.kind != route.Download {
		w.t.Fatalf("a flow of %s requests is reset", w.kind)
	}
}

// checkLoad checks that no load is negative.
func (w *workload) checkLoad() {
	for stamp, l := range w.core.LoadReport(w.now).Targets {
		if l.Busy < 0 || l.Queued < 0 {
			w.t.Fatalf("negative load %+v of %s", l, w.targetsByStamp[stamp])
		}
	}
}

// TestStampCollision guards against packets that reach the wrong target because two
// targets have the same stamp: the one that started first owns the stamp, and the
// other one gets no flows.
func TestStampCollision(t *testing.T) {
	startedSecond, startedFirst := collidingIDs()
	c := placement.New(placement.Config{Domain: "west-a", Seed: 1, MaxFlows: 10})
	target := func(id string, startedUnixMilli int64) catalog.Target {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(startedUnixMilli)}), 80)
		return catalog.Target{ID: id, InstanceNumber: uint64(startedUnixMilli), Service: "desk", Slots: 2, Domain: "west-a", StartedUnixMilli: startedUnixMilli, Address: address}
	}
	routes := route.NewTable(1, time.Second, []route.Route{{
		Address: route.Address{IP: serviceIP, Port: servicePort}, Kind: route.Safe, WeightedServices: []route.WeightedService{{Service: "desk", Weight: 1}},
	}})
	c.SetCatalog(0, catalog.Catalog{}.WithRoutes(routes, at(1)).WithTargets([]catalog.Target{target(startedSecond, 2), target(startedFirst, 1)}, at(1)))
	for port := range uint16(8) {
		p := packet.Packet{Flow: packet.FlowKey{CallerIP: 1, CallerPort: port, ServiceIP: serviceIP, ServicePort: servicePort}, Flags: packet.Syn}
		d, ok := c.Handle(0, p, nil).(placement.Forward)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, d.To.ID, qt.Equals, startedFirst)
	}
}

// collidingIDs returns two target IDs with the same stamp.
func collidingIDs() (string, string) {
	seen := map[uint32]string{}
	for i := 0; ; i++ {
		id := fmt.Sprintf("i-%010x", i)
		if other, ok := seen[placement.StampOf(id)]; ok {
			return other, id
		}
		seen[placement.StampOf(id)] = id
	}
}
