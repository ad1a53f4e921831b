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

// dumpHeaderTimeout bounds the time in which a dump's request has to arrive.
const dumpHeaderTimeout = time.Second

// PlatformState is the whole state of a Platform.
type PlatformState struct {
	Objects []ObjectState  `json:"objects"`
	Hosts   []HostState    `json:"hosts"`
	Calls   map[string]int `json:"calls"`
	Faults  PlatformFaults `json:"faults"`
	// Lag is how long the list of hosts stays behind what was announced.
	Lag string `json:"lag"`
}

// ObjectState is one object. Value is the object's JSON, or a string if it is
// none.
type ObjectState struct {
	Path    string          `json:"path"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// HostState is one host as it was announced, and as the list shows it.
type HostState struct {
	Announced platform.Host `json:"announced"`
	Shown     platform.Host `json:"shown"`
}

// State returns the platform's whole state, sorted by path and name. Objects of
// other systems stand under their kind and name.
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
					Announced: memberOf(o.now), Shown: memberOf(o.shown(now, p.cfg.HostLag)),
				})
				continue
			}
			s.Objects = append(s.Objects, objectState(kind, o.now))
		}
	}
	return s
}

func objectState(kind string, o object) ObjectState {
	if own, ok := ownObject(kind, o); ok {
		return ObjectState{Path: own.Path, Version: own.Version, Value: valueJSON(own.Value)}
	}
	return ObjectState{Path: kind + "/" + o.Meta.Name, Version: o.Meta.Revision, Value: valueJSON(o.Spec)}
}

// memberOf returns the member that an object names, an empty one if it names
// none.
func memberOf(o object) platform.Host {
	var h platform.Host
	if json.Unmarshal(o.Spec, &h) != nil {
		return platform.Host{}
	}
	return h
}

func valueJSON(value []byte) json.RawMessage {
	if json.Valid(value) {
		return value
	}
	return encode(string(value))
}

func (p *Platform) getDump(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.State())
}

// FabricState is the whole state of a Fabric.
type FabricState struct {
	Uplink    netip.AddrPort   `json:"uplink"`
	Addresses []netip.AddrPort `json:"addresses"`
	Balancers []BalancerState  `json:"balancers"`
	// Copies is the share of the callers' datagrams that is sent twice.
	Copies float64 `json:"copies"`
	// FromCallers and ToCallers count datagrams of callers and replies to them, Dropped those
	// that had nowhere to go.
	FromCallers int64 `json:"up"`
	ToCallers   int64 `json:"down"`
	Dropped     int64 `json:"dropped"`
}

// BalancerState is one balancer as the fabric sees it.
type BalancerState struct {
	Entry    netip.AddrPort `json:"entry"`
	ReadyURL string         `json:"readyurl"`
	Ready    bool           `json:"ready"`
}

// State returns the fabric's whole state.
func (f *Fabric) State() FabricState {
	s := FabricState{
		Uplink:      f.cfg.Uplink,
		FromCallers: f.up.Load(),
		ToCallers:   f.down.Load(),
		Dropped:     f.dropped.Load(),
	}
	s.Addresses = slices.SortedFunc(maps.Keys(f.services), netip.AddrPort.Compare)
	for i, b := range f.cfg.Balancers {
		s.Balancers = append(s.Balancers, BalancerState{Entry: b.Entry, ReadyURL: b.ReadyURL, Ready: f.ready[i].Load()})
	}
	f.mu.Lock()
	s.Copies = f.copies
	f.mu.Unlock()
	return s
}

// CallerState is the whole state of a Caller.
type CallerState struct {
	Services []CallerService `json:"services"`
	// Rate is in requests a second to each service.
	Rate     float64 `json:"rate"`
	Duration string  `json:"duration"`
	Timeout  string  `json:"timeout"`
	Flows    int     `json:"flows"`
	// Result counts what became of the load so far. What only targets know is
	// added at the end.
	Result Result `json:"result"`
	// Outcomes is the final answer of each request that may not be repeated.
	Outcomes map[string]string `json:"outcomes"`
}

// State returns the caller's whole state.
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

// ServeDump answers GET /dump on address with what state returns, until ctx
// ends. It returns once it listens.
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
