package placement_test

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/placement"
	"wisteriaweir/route"
	"wisteriaweir/warmup"
)

func (r *runner) setRoutes(args []string) error {
	var routes []route.Route
	for i, a := range args {
		name, rest, _ := strings.Cut(a, "=")
		words := strings.Split(rest, ":")
		if len(words) < 2 {
			return fmt.Errorf("malformed route %q", a)
		}
		service, kind, priority, objective := words[0], words[1], 0, time.Duration(0)
		switch {
		case len(words) > 2 && words[2] == "low":
			priority = 1
		case len(words) > 2:
			var err error
			if objective, err = time.ParseDuration(words[2]); err != nil {
				return err
			}
		}
		port := uint16(80 + i)
		r.ports[name] = port
		routes = append(routes, route.Route{
			Name: name, Address: route.Address{IP: 0xc6120001, Port: port}, Kind: route.Kind(kind),
			WeightedServices: []route.WeightedService{{Service: service, Weight: 1}}, Priority: priority, LatencyObjective: objective,
		})
	}
	r.revision++
	r.cat = r.cat.WithRoutes(route.NewTable(r.revision, 15*time.Second, routes).WithWarmups(r.warmups), r.position())
	r.core.SetCatalog(r.now, r.cat)
	return nil
}

func (r *runner) setBounds(args []string) error {
	cfg := r.config()
	if _, err := fmt.Sscan(strings.Join(args, " "), &cfg.Warmup.Overshoot, &cfg.Warmup.Slack); err != nil {
		return err
	}
	r.core = placement.New(cfg)
	return nil
}

func (r *runner) setLink(mbps string) error {
	cfg := r.config()
	var err error
	cfg.LinkMbps, err = strconv.ParseFloat(mbps, 64)
	r.core = placement.New(cfg)
	return err
}

func (r *runner) setWarmups(args []string) error {
	r.warmups = map[string]route.Warmup{}
	for _, a := range args {
		service, rest, _ := strings.Cut(a, "=")
		duration, rate, hasRate := strings.Cut(rest, "/")
		if !hasRate {
			rate = "0"
		}
		d, errD := time.ParseDuration(duration)
		n, errN := strconv.ParseFloat(rate, 64)
		if errD != nil || errN != nil {
			return fmt.Errorf("malformed warm-up %q", a)
		}
		r.warmups[service] = route.Warmup{Duration: d, Rate: n}
	}
	r.revision++
	table := r.cat.Routes()
	r.cat = r.cat.WithRoutes(route.NewTable(r.revision, table.IdleTimeout(), table.Routes()).WithWarmups(r.warmups), r.position())
	r.core.SetCatalog(r.now, r.cat)
	return nil
}

func (r *runner) setHosts(args []string) error {
	var hosts []warmup.Host
	for _, a := range args {
		name, domain, _ := strings.Cut(a, ":")
		hosts = append(hosts, warmup.Host{Name: name, Domain: domain})
	}
	r.core.SetHosts(r.now, hosts)
	return nil
}

func (r *runner) setTargets(args []string) error {
	r.revision++
	var targets []catalog.Target
	var invalid []catalog.InvalidEntry
	for i, a := range args {
		w := strings.Split(a, ":")
		if len(w) < 3 {
			return fmt.Errorf("malformed target %q", a)
		}
		if len(w) > 3 && w[3] == "invalid" {
			invalid = append(invalid, catalog.InvalidEntry{ID: w[0], Position: r.position()})
			continue
		}
		t := catalog.Target{
			ID: w[0], InstanceNumber: uint64(i + 1), Service: w[1], Domain: w[2], Slots: 2, Position: r.position(),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 9000),
		}
		if len(w) > 3 && w[3] == "drain" {
			t.Draining = true
		}
		if len(w) > 3 && w[3] == "large" {
			t.Slots = 6
		}
		if len(w) > 3 && w[3] == "unsized" {
			t.Slots = 0
		}
		if len(w) > 3 && w[3] == "warm" {
			t.Warmup = 2 * time.Second
		}
		targets = append(targets, t)
	}
	r.cat = r.cat.WithTargets(targets, r.position(), invalid...)
	r.core.SetCatalog(r.now, r.cat)
	return nil
}

func (r *runner) setPeerLoad(args []string) error {
	l := placement.LoadReport{
		Targets: map[uint32]placement.TargetLoad{}, Stalled: map[uint32]time.Duration{}, Responded: map[uint32]time.Duration{},
	}
	for _, a := range args[1:] {
		name, value, _ := strings.Cut(a, "=")
		if name == "dead" {
			l.Dead = append(l.Dead, placement.StampOf(value))
			continue
		}
		if name == "stalled" || name == "responded" {
			id, rest, _ := strings.Cut(value, "/")
			age, err := time.ParseDuration(rest)
			if err != nil {
				return err
			}
			ages := l.Responded
			if name == "stalled" {
				ages = l.Stalled
			}
			ages[placement.StampOf(id)] = age
			continue
		}
		if name == "doubt" {
			w := strings.Split(value, "/")
			succeeded, errS := strconv.ParseFloat(w[1], 64)
			failed, errF := strconv.ParseFloat(w[2], 64)
			if errS != nil || errF != nil {
				return fmt.Errorf("malformed failure report %q", a)
			}
			l.Failures = map[uint32]placement.OutcomeWeights{placement.StampOf(w[0]): {Succeeded: succeeded, Failed: failed}}
			continue
		}
		busy, queued, _ := strings.Cut(value, "/")
		b, errB := strconv.Atoi(busy)
		q, errQ := strconv.Atoi(queued)
		if errB != nil || errQ != nil {
			return fmt.Errorf("malformed load %q", a)
		}
		l.Targets[placement.StampOf(name)] = placement.TargetLoad{Busy: b, Queued: q}
	}
	r.core.SetPeerLoad(r.now, args[0], l)
	return nil
}

// addFound passes targets that another host has found to the core.
func (r *runner) addFound(args []string) error {
	var found []placement.FoundTarget
	for i, a := range args {
		w := strings.Split(a, ":")
		if len(w) < 3 {
			return fmt.Errorf("malformed target %q", a)
		}
		t := catalog.Target{
			ID: w[0], InstanceNumber: uint64(100 + i), Service: w[1], Domain: w[2], Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}), 9000),
		}
		found = append(found, placement.FoundTarget{Target: t, Dead: len(w) > 3 && w[3] == "dead"})
	}
	r.core.AddFound(r.now, found)
	return nil
}

// printReport prints the stalls and responses that the core reports to its domain peers.
func (r *runner) printReport() {
	urgent := r.core.HasUrgentReport()
	l := r.core.LoadReport(r.now)
	for _, t := range r.core.Targets() {
		if age, ok := l.Stalled[t.Stamp]; ok {
			r.printf("%s stalled since %s, urgent %t", t.ID, age, urgent)
		}
		if age, ok := l.Responded[t.Stamp]; ok {
			r.printf("%s responded %s ago, urgent %t", t.ID, age, urgent)
		}
	}
}

// position returns the store's current position.
func (r *runner) position() catalog.Position {
	return catalog.Position{Era: r.era, Revision: r.revision}
}

// restore makes the store come back from a copy with the given revision.
func (r *runner) restore(args []string) error {
	revision, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	r.era, r.revision = r.era+1, revision
	return nil
}

// at returns the position of a revision in the first era.
func at(revision uint64) catalog.Position {
	return catalog.Position{Revision: revision}
}
