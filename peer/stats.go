package peer

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// maxKinds is the largest number of kinds with counters of their own. Without this
// limit, another process could grow the set of metrics without end.
const maxKinds = 64

// otherKind is the kind under which all kinds beyond maxKinds are counted.
const otherKind Kind = "other"

// stats contains the counters of a transport.
type stats struct {
	set               *metrics.Set
	refused           *metrics.Counter
	connectFailures   *metrics.Counter
	keyReloads        *metrics.Counter
	keyReloadFailures *metrics.Counter

	// kindCount is the number of kinds, besides otherKind, with counters of their own.
	kindCount atomic.Int32
	// kinds maps a Kind to its *kindStats.
	kinds sync.Map
}

// kindStats contains the counters of one kind.
type kindStats struct {
	sentEnvelopes, sentBytes         *metrics.Counter
	receivedEnvelopes, receivedBytes *metrics.Counter
	dropped                          *metrics.Counter
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:               set,
		refused:           set.GetOrCreateCounter("wisteriaweir_peer_refused_total"),
		connectFailures:   set.GetOrCreateCounter("wisteriaweir_peer_connect_failures_total"),
		keyReloads:        set.GetOrCreateCounter("wisteriaweir_peer_key_reloads_total"),
		keyReloadFailures: set.GetOrCreateCounter("wisteriaweir_peer_key_reload_failures_total"),
	}
}

// statsOf returns the counters of kind k, or those of otherKind if there are counters
// for maxKinds kinds already.
func (s *stats) statsOf(k Kind) *kindStats {
	if v, ok := s.kinds.Load(k); ok {
		return v.(*kindStats)
	}
	if k != otherKind && s.kindCount.Add(1) > maxKinds {
		s.kindCount.Add(-1)
		return s.statsOf(otherKind)
	}
	counter := func(name string) *metrics.Counter {
		return s.set.GetOrCreateCounter(fmt.Sprintf("wisteriaweir_peer_%s_total{kind=%q}", name, string(k)))
	}
	v, _ := s.kinds.LoadOrStore(k, &kindStats{
		sentEnvelopes:     counter("sent_envelopes"),
		sentBytes:         counter("sent_bytes"),
		receivedEnvelopes: counter("received_envelopes"),
		receivedBytes:     counter("received_bytes"),
		dropped:           counter("dropped_envelopes"),
	})
	return v.(*kindStats)
}

func (s *stats) recordSent(k Kind, size int) {
	v := s.statsOf(k)
	v.sentEnvelopes.Inc()
	v.sentBytes.Add(size)
}

func (s *stats) recordReceived(k Kind, size int) {
	v := s.statsOf(k)
	v.receivedEnvelopes.Inc()
	v.receivedBytes.Add(size)
}

func (s *stats) recordDropped(k Kind) {
	s.statsOf(k).dropped.Inc()
}
