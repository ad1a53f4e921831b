package measure

import (
	"time"

	"wisteriaweir/lease"
	"wisteriaweir/member"
)

const (
	// platformDelay is the one-way delay between a balancer and the platform.
	platformDelay = 5 * time.Millisecond
	// watchTimeout is the time after which the platform ends a watch without a change.
	watchTimeout = 20 * time.Second
	// holderPollInterval is the time between two reads of the host list by a lease
	// holder.
	holderPollInterval = 5 * time.Second
	// memberPollInterval is the time between two reads of the host list by any
	// balancer.
	memberPollInterval = 5 * time.Minute
)

// configPlatform simulates the platform's objects and counts the calls by kind.
type configPlatform struct {
	*Timeline
	// headNumber is the number of the newest accepted configuration; watchers are
	// called when it changes.
	headNumber uint64
	watchers   []func()
	leases     map[string]*leaseObject
	reads      map[string]int
	writes     map[string]int
}

// leaseObject is the stored lease of one failure domain.
type leaseObject struct {
	version  uint64
	record   lease.Record
	watchers []func()
}

func newConfigPlatform(t *Timeline) *configPlatform {
	return &configPlatform{
		Timeline: t,
		leases:   make(map[string]*leaseObject),
		reads:    make(map[string]int),
		writes:   make(map[string]int),
	}
}

// lease returns the lease of a domain, which it creates at the first call.
func (p *configPlatform) lease(domain string) *leaseObject {
	if p.leases[domain] == nil {
		p.leases[domain] = &leaseObject{}
	}
	return p.leases[domain]
}

// acceptNext makes the next configuration the accepted one and returns its number.
func (p *configPlatform) acceptNext() uint64 {
	p.headNumber++
	p.watchers = notifyWatchers(p.watchers)
	return p.headNumber
}

// notifyWatchers calls all watchers and returns an empty list of them.
func notifyWatchers(watchers []func()) []func() {
	for _, w := range watchers {
		w()
	}
	return nil
}

// watch waits until ready reports true, then calls f with true, or with false if that
// takes watchTimeout.
func (p *configPlatform) watch(kind string, watchers *[]func(), ready func() bool, f func(bool)) {
	p.reads[kind]++
	answered := false
	answer := func(ok bool) {
		if answered {
			return
		}
		answered = true
		p.After(platformDelay, func() { f(ok) })
	}
	p.After(platformDelay, func() {
		if ready() {
			answer(true)
			return
		}
		*watchers = append(*watchers, func() { answer(true) })
		p.After(watchTimeout, func() { answer(false) })
	})
}

// call counts a call of a kind, runs act at the platform and passes its result to f at
// the caller; each direction takes platformDelay.
func (p *configPlatform) call(counts map[string]int, kind string, act func() lease.Event, f func(lease.Event)) {
	counts[kind]++
	p.After(platformDelay, func() {
		e := act()
		p.After(platformDelay, func() { f(e) })
	})
}

// write updates the lease if its version is still the expected one, and refuses
// otherwise.
func (o *leaseObject) write(w lease.Write) lease.Event {
	if w.Version != o.version {
		return lease.WriteConflict{Version: o.version, Record: o.record}
	}
	o.version++
	o.record = w.Record
	o.watchers = notifyWatchers(o.watchers)
	return lease.Written{Version: o.version}
}

// read returns the stored lease as the result of a read.
func (o *leaseObject) read() lease.Event {
	return lease.StateRead{Version: o.version, Record: o.record}
}

// liveHosts returns the hosts that are not dead, as the platform lists them.
func (f *configSimulation) liveHosts() []member.Host {
	var hosts []member.Host
	for _, h := range f.hosts {
		if !h.dead {
			hosts = append(hosts, member.Host{Member: h.Member})
		}
	}
	return hosts
}
