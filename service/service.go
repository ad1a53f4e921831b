// Package service defines the configuration that operators declare: the services,
// their addresses, and the targets behind them.
//
// # Usage
//
// A Config is built from accepted tickets and is immutable:
//
//	cfg := service.Config{}.WithNumber(7).WithService(s)
//	s, addr, ok := cfg.Lookup(netip.MustParseAddrPort("127.0.1.1:5000"))
//
// The With methods copy what they change, so goroutines share a Config without a
// lock.
package service

import (
	"net/netip"
	"slices"
	"strings"
)

// Mode is how the datagrams of an address are balanced.
type Mode string

const (
	// ModeRequest is the mode of an address whose datagrams are CoAP requests. Each
	// request is balanced on its own.
	ModeRequest Mode = "request"
	// ModeFlow is the mode of an address whose datagrams belong to long-lived flows with
	// opaque content: feeds, streams and uploads.
	ModeFlow Mode = "flow"
)

// Address is one address at which callers reach a service.
type Address struct {
	AddrPort netip.AddrPort `json:"at" yaml:"at"`
	Mode     Mode           `json:"mode" yaml:"mode"`
}

// Target is one back end of a service, as declared by operators.
type Target struct {
	// Name is unique within the service.
	Name string `json:"name" yaml:"name"`
	// Address is the address to which balancers send datagrams.
	Address netip.AddrPort `json:"at" yaml:"at"`
	// Domain is the failure domain in which the target runs.
	Domain string `json:"domain" yaml:"domain"`
	// Weight is the target's relative share of new flows, compared with the weights of
	// the other targets of the pool.
	Weight int `json:"weight" yaml:"weight"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots" yaml:"slots"`
	// Draining reports whether the target is to be drained: it gets no new flows or requests
	// and keeps its open flows.
	Draining bool `json:"drain,omitempty" yaml:"drain,omitempty"`
}

// Service is a set of addresses and the pool of targets that serves them.
type Service struct {
	Name      string    `json:"name" yaml:"name"`
	Addresses []Address `json:"addresses" yaml:"addresses"`
	Pool      []Target  `json:"pool" yaml:"pool"`
}

// WithTarget returns a copy of s with t in place of the target of the same name, or
// with t added if there is none.
func (s Service) WithTarget(t Target) Service {
	pool := slices.Clone(s.Pool)
	i := slices.IndexFunc(pool, func(o Target) bool { return o.Name == t.Name })
	if i >= 0 {
		pool[i] = t
	} else {
		pool = append(pool, t)
	}
	s.Pool = pool
	return s
}

// WithoutTarget returns a copy of s without the target of the given name.
func (s Service) WithoutTarget(name string) Service {
	s.Pool = slices.DeleteFunc(slices.Clone(s.Pool), func(t Target) bool { return t.Name == name })
	return s
}

// Config is the complete accepted configuration of one version.
type Config struct {
	// Number is the version number. It grows by one with each accepted ticket.
	Number uint64 `json:"number"`
	// Digest is the hexadecimal digest of the content. It is equal on all balancers that
	// have the same version.
	Digest string `json:"digest"`
	// Services are sorted by name.
	Services []Service `json:"services"`

	// byAddress holds the position of each address in Services; WithServices builds it.
	byAddress map[netip.AddrPort]addressPosition
}

// addressPosition is the position of an address: an index into Config.Services, and
// one into the addresses of that service.
type addressPosition struct {
	service int
	address int
}

// WithNumber returns a copy of c with version number n.
func (c Config) WithNumber(n uint64) Config {
	c.Number = n
	return c
}

// WithDigest returns a copy of c with digest d.
func (c Config) WithDigest(d string) Config {
	c.Digest = d
	return c
}

// WithService returns a copy of c with s in place of the service of the same name, or
// with s added if there is none.
func (c Config) WithService(s Service) Config {
	services := slices.DeleteFunc(slices.Clone(c.Services), func(o Service) bool { return o.Name == s.Name })
	services = append(services, s)
	return c.WithServices(services)
}

// WithServices returns a copy of c whose services are exactly the given ones.
func (c Config) WithServices(services []Service) Config {
	c.Services = slices.Clone(services)
	slices.SortFunc(c.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	c.byAddress = make(map[netip.AddrPort]addressPosition)
	for i, s := range c.Services {
		for j, a := range s.Addresses {
			c.byAddress[a.AddrPort] = addressPosition{service: i, address: j}
		}
	}
	return c
}

// Lookup returns the service that an address belongs to, the entry of the address, and
// whether there is one. An address belongs to at most one service.
func (c Config) Lookup(address netip.AddrPort) (Service, Address, bool) {
	b, ok := c.byAddress[address]
	if !ok {
		return Service{}, Address{}, false
	}
	s := c.Services[b.service]
	return s, s.Addresses[b.address], true
}

// Service returns the service of the given name, and whether there is one.
func (c Config) Service(name string) (Service, bool) {
	i, ok := slices.BinarySearchFunc(c.Services, name, func(s Service, n string) int {
		return strings.Compare(s.Name, n)
	})
	if !ok {
		return Service{}, false
	}
	return c.Services[i], true
}
