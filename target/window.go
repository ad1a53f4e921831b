package target

import "time"

const (
	// windowBuckets is the number of buckets in the window of outcomes.
	windowBuckets = 10
	// bucketDuration is the time that one bucket covers.
	bucketDuration = time.Second
)

// outcomeWindow counts the outcomes of the last windowBuckets buckets.
type outcomeWindow struct {
	buckets [windowBuckets]bucket
	// head is the number of the newest bucket, counted from time 0.
	head int64
}

// bucket counts the outcomes of one bucketDuration.
type bucket struct {
	answered int
	failed   int
	shed     int
	// latencySamples counts the responses whose latency is known.
	latencySamples int
	// latencySum is the sum of the known latencies.
	latencySum time.Duration
}

// bucketAt returns the bucket of the time now, after clearing the expired ones.
func (w *outcomeWindow) bucketAt(now time.Duration) *bucket {
	n := int64(now / bucketDuration)
	if n-w.head >= windowBuckets {
		w.buckets = [windowBuckets]bucket{}
		w.head = n
	}
	for w.head < n {
		w.head++
		w.buckets[w.head%windowBuckets] = bucket{}
	}
	return &w.buckets[w.head%windowBuckets]
}

// total returns the sums over the window that ends at the time now.
func (w *outcomeWindow) total(now time.Duration) bucket {
	w.bucketAt(now)
	var s bucket
	for _, b := range w.buckets {
		s.answered += b.answered
		s.failed += b.failed
		s.shed += b.shed
		s.latencySamples += b.latencySamples
		s.latencySum += b.latencySum
	}
	return s
}

// failureRatio returns the fraction of the attempts that failed, and the number of
// attempts.
func (b bucket) failureRatio() (float64, int) {
	n := b.answered + b.failed
	if n == 0 {
		return 0, 0
	}
	return float64(b.failed) / float64(n), n
}

// meanLatency returns the mean latency of the responses, or 0 if none is known.
func (b bucket) meanLatency() time.Duration {
	if b.latencySamples == 0 {
		return 0
	}
	return b.latencySum / time.Duration(b.latencySamples)
}
