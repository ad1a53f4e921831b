package fake

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"wisteriaweir/platform"
)

// dumpHeaderTimeout is the time limit for reading the headers of a request for a
// dump.
const dumpHeaderTimeout = time.Second

// PlatformState is the dump of a Platform.
type PlatformState struct {
	Objects []ObjectState  `json:"objects"`
	Hosts   []HostState    `json:"hosts"`
	Calls   map[string]int `json:"calls"`
	Faults  PlatformFaults `json:"faults"`
	// Lag is PlatformConfig.HostLag as a duration such as "1s": how long after a change
	// a stale list still returns the previous state of a host.
	Lag string `json:"lag"`
}

// ObjectState is one object. Value is its value, encoded as a JSON string if it is
// not JSON itself.
type ObjectState struct {
	Path    string          `json:"path"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// HostState is one host as it was last announced, and as a stale list returns it.
type HostState struct {
	Announced platform.Host `json:"announced"`
	Listed    platform.Host `json:"shown"`
}

// State returns the platform's state, sorted by kind and name. The path of an object
// that does not belong to this system is its kind and name, joined by a slash.
func (p *Platform) State() PlatformState {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PlatformState{
		Objects: []ObjectState{},
		Hosts:   []HostState{},
		Calls:   maps.Clone(p.calls),
		Faults:  p.faults,
		Lag:     p.cfg.HostLag.String(),
	}
	for _, kind := range slices.Sorted(maps.Keys(p.objects)) {
		for _, name := range slices.Sorted(maps.Keys(p.objects[kind])) {
			o := p.objects[kind][name]
			if kind == membersKind {
				s.Hosts = append(s.Hosts, HostState{
					Announced: decodeMember(o.current), Listed: decodeMember(o.listedState(now, p.cfg.HostLag)),
				})
				continue
			}
			s.Objects = append(s.Objects, objectState(kind, o.current))
		}
	}
	return s
}

func objectState(kind string, o object) ObjectState {
	if own, ok := decodeOwnObject(kind, o); ok {
		return ObjectState{Path: own.Path, Version: own.Version, Value: valueJSON(own.Value)}
	}
	return ObjectState{Path: kind + "/" + o.Meta.Name, Version: o.Meta.Revision, Value: valueJSON(o.Spec)}
}

// decodeMember returns the host in an object's spec, and the zero Host if the spec
// is not valid.
func decodeMember(o object) platform.Host {
	var h platform.Host
	if json.Unmarshal(o.Spec, &h) != nil {
		return platform.Host{}
	}
	return h
}

// valueJSON returns value if it is JSON, and value as a JSON string otherwise.
func valueJSON(value []byte) json.RawMessage {
	if json.Valid(value) {
		return value
	}
	return encodeJSON(string(value))
}

func (p *Platform) getDump(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.State())
}

// FabricState is the dump of a Fabric.
type FabricState struct {
	Uplink    netip.AddrPort   `json:"uplink"`
	Addresses []netip.AddrPort `json:"addresses"`
	Balancers []BalancerState  `json:"balancers"`
	// DuplicateRate is the fraction, from 0 to 1, of the callers' datagrams that are
	// sent twice.
	DuplicateRate float64 `json:"copies"`
	// FromCallers counts the datagrams received from callers.
	FromCallers int64 `json:"up"`
	// ToCallers counts the replies sent to callers.
	ToCallers int64 `json:"down"`
	// Dropped counts the datagrams without a destination: those of callers when no
	// balancer was ready, and replies that were malformed or of an unknown service
	// address.
	Dropped int64 `json:"dropped"`
}

// BalancerState is one balancer. Ready reports whether its last readiness probe
// succeeded; a balancer without ReadyURL is always ready.
type BalancerState struct {
	Entry    netip.AddrPort `json:"entry"`
	ReadyURL string         `json:"readyurl"`
	Ready    bool           `json:"ready"`
}

// State returns the fabric's state.
func (f *Fabric) State() FabricState {
	s := FabricState{
		Uplink:      f.cfg.Uplink,
		FromCallers: f.fromCallers.Load(),
		ToCallers:   f.toCallers.Load(),
		Dropped:     f.dropped.Load(),
	}
	s.Addresses = slices.SortedFunc(maps.Keys(f.serviceConns), netip.AddrPort.Compare)
	for i, b := range f.cfg.Balancers {
		s.Balancers = append(s.Balancers, BalancerState{Entry: b.Entry, ReadyURL: b.ReadyURL, Ready: f.ready[i].Load()})
	}
	f.mu.Lock()
	s.DuplicateRate = f.duplicateRate
	f.mu.Unlock()
	return s
}

// CallerState is the dump of a Caller.
type CallerState struct {
	Services []CallerService `json:"services"`
	// Rate is the mean number of requests per second to each service.
	Rate     float64 `json:"rate"`
	Duration string  `json:"duration"`
	Timeout  string  `json:"timeout"`
	Flows    int     `json:"flows"`
	// Result counts the outcomes so far. The counts that come from the targets are
	// added at the end of the run.
	Result Result `json:"result"`
	// Outcomes maps the ID of each finished request that may not be repeated to its
	// outcome.
	Outcomes map[string]string `json:"outcomes"`
}

// State returns the caller's state.
func (c *Caller) State() CallerState {
	s := CallerState{
		Services: c.cfg.Services,
		Rate:     c.cfg.Rate,
		Duration: c.cfg.Duration.String(),
		Timeout:  c.cfg.Timeout.String(),
		Flows:    c.cfg.Flows,
		Outcomes: make(map[string]string),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Result = c.result
	for id, o := range c.outcomes {
		s.Outcomes[id] = o.String()
	}
	return s
}

// ServeDump serves the result of state as JSON at GET /dump on address, until ctx
// ends. It returns as soon as it listens, with an error if it cannot.
func ServeDump(ctx context.Context, address netip.AddrPort, state func() any) error {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, state()) })
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: dumpHeaderTimeout}
	go func() { _ = srv.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	return nil
}
