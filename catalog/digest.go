package catalog

import "wisteriaweir/digest"

// TargetsDigest returns a hash of the content of all targets. Catalogs with equal targets
// have equal digests on all hosts. The revisions of entries do not count. It is never 0.
func (c Catalog) TargetsDigest() uint64 {
	return max(c.targetsSum, 1)
}

// digest returns a hash of all fields of the target except its revision.
func (t Target) digest() uint64 {
	d := digest.New()
	d.Text(t.ID)
	d.Number(t.InstanceNumber)
	d.Text(t.Service)
	d.Text(t.Address.String())
	d.Text(t.Domain)
	d.Number(uint64(max(t.Slots, 1)))
	draining := uint64(0)
	if t.Draining {
		draining = 1
	}
	d.Number(draining)
	d.Duration(t.Warmup)
	d.Number(uint64(t.StartedUnixMilli))
	return d.Sum()
}

// digestOf returns the digest of a target, 0 if there is none with the given ID.
func digestOf(targets map[string]Target, id string) uint64 {
	t, ok := targets[id]
	if !ok {
		return 0
	}
	return t.digest()
}
