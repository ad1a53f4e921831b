package fleet

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/flow"
)

// Shares are the parts of the new flows of a service that its targets take.
type Shares struct {
	Service string `json:"service"`
	// Targets are sorted by name. One that is not listed takes what its weight
	// says.
	Targets []Share `json:"targets"`
}

// Share is the part of one target.
type Share struct {
	Target string `json:"target"`
	// Ratio is the part that a weight of 1 takes, in 1/flow.ShareUnit.
	Ratio int `json:"ratio"`
}

// Ratio returns the part of a target that a weight of 1 takes, in
// 1/flow.ShareUnit.
func (s Shares) Ratio(target string) int {
	i, ok := slices.BinarySearchFunc(s.Targets, target, func(x Share, name string) int {
		return strings.Compare(x.Target, name)
	})
	if !ok {
		return flow.ShareUnit
	}
	return s.Targets[i].Ratio
}

// SharesOf returns the shares of a service.
func (f Fleet) SharesOf(name string) Shares {
	i, ok := slices.BinarySearchFunc(f.Shares, name, compareServices)
	if !ok {
		return Shares{Service: name}
	}
	return f.Shares[i]
}

// ShareDeciders tells which failure domain's lease holder decides on the shares of
// each service. It is immutable.
type ShareDeciders struct {
	domains []string
}

// ShareDeciders returns the deciders of f: the failure domains that have an active
// balancer.
func (f Fleet) ShareDeciders() ShareDeciders {
	var d ShareDeciders
	seen := make(map[string]bool)
	for _, m := range f.Members {
		if m.State == StateActive && !seen[m.Domain] {
			seen[m.Domain] = true
			d.domains = append(d.domains, m.Domain)
		}
	}
	return d
}

// DomainFor returns the failure domain that decides on a service, the first by
// rendezvous hashing. It is empty when no domain has an active balancer.
func (d ShareDeciders) DomainFor(service string) string {
	var best string
	var most uint64
	for _, domain := range d.domains {
		score := xxhash.Sum64String(domain + "/" + service)
		if best == "" || score > most {
			best, most = domain, score
		}
	}
	return best
}

// withShares returns f with the proposed shares of the services that the
// proposer's domain decides on. The other proposals are left out.
func (f Fleet) withShares(p Proposal) Fleet {
	deciders := f.ShareDeciders()
	for _, s := range p.Shares {
		if deciders.DomainFor(s.Service) != p.Domain {
			continue
		}
		f.Shares = slices.Clone(f.Shares)
		i, known := slices.BinarySearchFunc(f.Shares, s.Service, compareServices)
		switch {
		case len(s.Targets) == 0 && known:
			f.Shares = slices.Delete(f.Shares, i, i+1)
		case len(s.Targets) == 0:
		case known:
			f.Shares[i] = s
		default:
			f.Shares = slices.Insert(f.Shares, i, s)
		}
	}
	return f
}

func compareServices(s Shares, name string) int {
	return strings.Compare(s.Service, name)
}
