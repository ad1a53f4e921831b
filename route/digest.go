package route

import (
	"math"

	"wisteriaweir/digest"
)

// Digest returns a hash of the whole content of the table. Equal tables have equal
// digests on all hosts, in whatever order their routes were added. It is never 0.
func (t Table) Digest() uint64 {
	d := digest.New()
	d.Number(t.number)
	d.Duration(t.idleTimeout)
	sum := d.Sum()
	for _, r := range t.routes {
		sum += r.digest()
	}
	for service, w := range t.warmups {
		sum += w.digest(service)
	}
	return max(sum, 1)
}

// digest returns a hash of all fields of the route.
func (r Route) digest() uint64 {
	d := digest.New()
	d.Text(r.Name)
	d.Number(uint64(r.Address.IP))
	d.Number(uint64(r.Address.Port))
	d.Text(string(r.Kind))
	d.Duration(r.LatencyObjective)
	d.Duration(r.Timeout)
	d.Number(uint64(max(r.Priority, 0)))
	for _, s := range r.WeightedServices {
		d.Text(s.Service)
		d.Number(uint64(max(s.Weight, 0)))
	}
	return d.Sum()
}

// digest returns a hash of the warm-up of a service.
func (w Warmup) digest(service string) uint64 {
	d := digest.New()
	d.Text(service)
	d.Duration(w.Duration)
	d.Number(math.Float64bits(w.Rate))
	return d.Sum()
}
