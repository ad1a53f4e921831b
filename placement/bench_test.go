package placement_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/packet"
	"wisteriaweir/placement"
	"wisteriaweir/route"
)

// poolSizes are the numbers of targets of one service: that of a large deployment, and
// two sizes up to the required maximum.
var poolSizes = []int{150, 1000, 2333}

// catalogWithPool returns a catalog of one service with n targets.
func catalogWithPool(n int) catalog.Catalog {
	var targets []catalog.Target
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		targets = append(targets, catalog.Target{
			ID: fmt.Sprintf("i-%010x", i), InstanceNumber: uint64(i), Service: "desk", Slots: 2, Domain: "west-a", Address: address,
		})
	}
	routes := route.NewTable(1, time.Minute, []route.Route{{
		Address: route.Address{IP: serviceIP, Port: servicePort}, Kind: route.Safe, WeightedServices: []route.WeightedService{{Service: "desk", Weight: 1}},
	}})
	return catalog.Catalog{}.WithRoutes(routes, at(1)).WithTargets(targets, at(1))
}

// benchPerPoolSize runs a benchmark for each pool size.
func benchPerPoolSize(b *testing.B, run func(b *testing.B, cat catalog.Catalog)) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) { run(b, catalogWithPool(n)) })
	}
}

// BenchmarkNewFlow measures the choice of a target for a new flow.
func BenchmarkNewFlow(b *testing.B) {
	benchPerPoolSize(b, func(b *testing.B, cat catalog.Catalog) {
		c := placement.New(placement.Config{Domain: "west-a", Seed: 1, MaxFlows: b.N + 1})
		c.SetCatalog(0, cat)
		b.ResetTimer()
		for i := range b.N {
			f := packet.FlowKey{CallerIP: uint32(i >> 16), CallerPort: uint16(i), ServiceIP: serviceIP, ServicePort: servicePort}
			c.Handle(0, packet.Packet{Flow: f, Flags: packet.Syn}, nil)
		}
	})
}

// BenchmarkSetCatalog measures the update to a catalog without changes.
func BenchmarkSetCatalog(b *testing.B) {
	benchPerPoolSize(b, func(b *testing.B, cat catalog.Catalog) {
		c := placement.New(placement.Config{Domain: "west-a", Seed: 1, MaxFlows: 10})
		c.SetCatalog(0, cat)
		b.ResetTimer()
		for range b.N {
			c.SetCatalog(time.Millisecond, cat)
		}
	})
}

// BenchmarkLoad measures the computation of the load report for domain peers.
func BenchmarkLoad(b *testing.B) {
	benchPerPoolSize(b, func(b *testing.B, cat catalog.Catalog) {
		c := placement.New(placement.Config{Domain: "west-a", Seed: 1, MaxFlows: 1000})
		c.SetCatalog(0, cat)
		for i := range uint16(100) {
			f := packet.FlowKey{CallerPort: i, ServiceIP: serviceIP, ServicePort: servicePort}
			c.Handle(0, packet.Packet{Flow: f, Flags: packet.Syn}, nil)
		}
		b.ResetTimer()
		for range b.N {
			c.LoadReport(0)
		}
	})
}

// BenchmarkSetPeerLoad measures the processing of a domain peer's load report with 40
// targets, in turn from 24 peers.
func BenchmarkSetPeerLoad(b *testing.B) {
	benchPerPoolSize(b, func(b *testing.B, cat catalog.Catalog) {
		c := placement.New(placement.Config{Domain: "west-a", Seed: 1, MaxFlows: 10})
		c.SetCatalog(0, cat)
		l := placement.LoadReport{Targets: map[uint32]placement.TargetLoad{}}
		for i := range 40 {
			l.Targets[placement.StampOf(fmt.Sprintf("i-%010x", i))] = placement.TargetLoad{Busy: 1}
		}
		b.ResetTimer()
		for i := range b.N {
			c.SetPeerLoad(0, fmt.Sprint(i%24), l)
		}
	})
}

// BenchmarkOpenFlow measures the decision on a packet of an open flow, without system
// calls.
func BenchmarkOpenFlow(b *testing.B) {
	c := placement.New(placement.Config{Domain: "west-a", Seed: 1, MaxFlows: 100000})
	c.SetCatalog(0, catalogWithPool(150))
	const flows = 20000
	packets := make([]packet.Packet, flows)
	for i := range packets {
		f := packet.FlowKey{CallerIP: uint32(i / 1000), CallerPort: uint16(i % 1000), ServiceIP: serviceIP, ServicePort: servicePort}
		d := c.Handle(0, packet.Packet{Flow: f, Flags: packet.Syn}, nil).(placement.Forward)
		packets[i] = packet.Packet{Flow: f, Flags: packet.Ack, Stamp: d.To.Stamp, Seq: 1, AckSeq: 1}
		c.Handle(0, packets[i], nil)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		c.Handle(time.Millisecond, packets[i%flows], nil)
	}
}

// BenchmarkFlowMemory reports the heap memory per open flow.
func BenchmarkFlowMemory(b *testing.B) {
	for range b.N {
		c := placement.New(placement.Config{Domain: "west-a", Seed: 1, MaxFlows: 1 << 20})
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, 1}), 80)
		target := catalog.Target{ID: "i-1", InstanceNumber: 1, Service: "desk", Slots: 2, Domain: "west-a", Address: address}
		routes := route.NewTable(1, time.Minute, []route.Route{{
			Address: route.Address{IP: serviceIP, Port: servicePort}, Kind: route.Safe, WeightedServices: []route.WeightedService{{Service: "desk", Weight: 1}},
		}})
		c.SetCatalog(0, catalog.Catalog{}.WithRoutes(routes, at(1)).WithTargets([]catalog.Target{target}, at(1)))
		const flows = 200000
		before := heapBytes()
		for i := range flows {
			f := packet.FlowKey{CallerIP: uint32(i / 1000), CallerPort: uint16(i % 1000), ServiceIP: serviceIP, ServicePort: servicePort}
			c.Handle(0, packet.Packet{Flow: f, Flags: packet.Syn}, make([]byte, 32))
			c.Handle(0, packet.Packet{Flow: f, Flags: packet.Ack, Stamp: placement.StampOf("i-1"), Seq: 1, AckSeq: 1}, nil)
		}
		c.Tick(time.Second)
		b.ReportMetric(float64(heapBytes()-before)/flows, "B/flow")
		runtime.KeepAlive(c)
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
