package fleet

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/flow"
)

// Shares are the factors that adjust how many new flows the targets of a service
// receive.
type Shares struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Targets are the shares of the targets, sorted by name. A target that is not listed
	// receives new flows by its weight alone.
	Targets []Share `json:"targets"`
}

// Share is the factor of one target.
type Share struct {
	// Target is the name of the target.
	Target string `json:"target"`
	// Ratio is the factor by which the weight of the target is multiplied, in units
	// of 1/flow.ShareUnit.
	Ratio int `json:"ratio"`
}

// Ratio returns the factor by which the weight of a target is multiplied, in
// units of 1/flow.ShareUnit. It is flow.ShareUnit for a target that is not listed.
func (s Shares) Ratio(target string) int {
	i, ok := slices.BinarySearchFunc(s.Targets, target, func(x Share, name string) int {
		return strings.Compare(x.Target, name)
	})
	if !ok {
		return flow.ShareUnit
	}
	return s.Targets[i].Ratio
}

// SharesOf returns the shares of a service. They have no targets if the weights
// alone apply.
func (f Fleet) SharesOf(name string) Shares {
	i, ok := slices.BinarySearchFunc(f.Shares, name, compareServices)
	if !ok {
		return Shares{Service: name}
	}
	return f.Shares[i]
}

// ShareDeciders determines the failure domain whose lease holder decides on the
// shares of a service. It is immutable.
type ShareDeciders struct {
	// domains are the failure domains with an active balancer, each once.
	domains []string
}

// ShareDeciders returns the share deciders of f. Each service is assigned to one of
// the failure domains with an active balancer.
func (f Fleet) ShareDeciders() ShareDeciders {
	var d ShareDeciders
	listed := make(map[string]bool)
	for _, m := range f.Members {
		if m.State == StateActive && !listed[m.Domain] {
			listed[m.Domain] = true
			d.domains = append(d.domains, m.Domain)
		}
	}
	return d
}

// DomainFor returns the failure domain that decides on the shares of a service: the
// one with the highest score by rendezvous hashing. It returns an empty string if no
// domain has an active balancer.
func (d ShareDeciders) DomainFor(service string) string {
	var decider string
	var maxScore uint64
	for _, domain := range d.domains {
		score := xxhash.Sum64String(domain + "/" + service)
		if decider == "" || score > maxScore {
			decider, maxScore = domain, score
		}
	}
	return decider
}

// withShares returns f with the proposed shares of the services that the proposer's
// domain decides on. Shares without targets remove those of their service. Shares of
// other services are ignored.
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
