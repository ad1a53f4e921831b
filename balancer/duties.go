package balancer

import (
	"encoding/json"
	"time"

	"wisteriaweir/fleet"
	"wisteriaweir/peer"
	"wisteriaweir/target"
	"wisteriaweir/target/targetpb"
)

// kindDuty marks envelopes that carry a duty report.
const kindDuty = "duty"

// duty is what a balancer reports to the lease holder of its failure domain,
// and a holder of claims to the other ones.
type duty struct {
	// Ready says that the sender holds what the others know, or, when leaving,
	// that it has nothing left to hand over.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving,omitempty"`
	// Fleet is the number of the state of the fleet that Ready is about.
	Fleet uint64 `json:"fleet,omitempty"`
	// Claims is the newest set of holders whose claims the sender holds.
	Claims uint64 `json:"claims,omitempty"`
	// Seen is an encoded target.OpinionReport of what the sender has seen of
	// targets for itself.
	Seen []byte `json:"seen,omitempty"`
	// Opinions are the same from a sender that sends no Seen.
	Opinions []target.Opinion `json:"opinions,omitempty"`

	// report is Seen decoded.
	report target.OpinionReport
}

func decodeDuty(payload []byte) (duty, error) {
	var d duty
	if err := json.Unmarshal(payload, &d); err != nil || len(d.Seen) == 0 {
		return d, err
	}
	var err error
	d.report, err = targetpb.UnmarshalReport(d.Seen)
	return d, err
}

// heardDuty is the last report of one life of a balancer.
type heardDuty struct {
	life uint64
	duty duty
	at   time.Duration
}

// joinedAt tells which life of a balancer joins, and the number of the first
// state of the fleet that says so.
type joinedAt struct {
	life   uint64
	number uint64
}

// duties sends and keeps duty reports. It belongs to the control goroutine.
type duties struct {
	c     *control
	next  time.Duration
	heard map[string]heardDuty
	// joined holds the members that are joining.
	joined map[string]joinedAt
	seen   *sightings
}

func newDuties(c *control) *duties {
	return &duties{c: c, heard: make(map[string]heardDuty), joined: make(map[string]joinedAt), seen: newSightings(c)}
}

// own returns this balancer's report.
func (d *duties) own() duty {
	c := d.c
	ready := c.gens.Status().Ready
	if c.leaving {
		ready = c.handedOver()
	}
	return duty{
		Ready:   ready,
		Fleet:   c.gens.Status().Newest,
		Leaving: c.leaving,
		Claims:  c.b.requests.claims.Load(),
	}
}

// tick sends the report when it is due: to the lease holder, and to the holders
// of claims if this balancer is one.
func (d *duties) tick() {
	now := d.c.b.now()
	if now < d.next {
		return
	}
	d.next = now + d.c.b.cfg.Setting.Times.Heartbeat
	report := d.own()
	own := d.c.lease.holder()
	d.send(own, d.seen.with(report, own))
	if !d.claimHolder(d.c.b.self.Name) {
		return
	}
	for _, h := range d.c.fleet.ClaimHolders.Members {
		if h.Name != own {
			d.send(h.Name, report)
		}
	}
}

func (d *duties) claimHolder(name string) bool {
	for _, h := range d.c.fleet.ClaimHolders.Members {
		if h.Name == name {
			return true
		}
	}
	return false
}

func (d *duties) send(name string, report duty) {
	to, ok := d.c.b.snapshot().members[name]
	if !ok || name == d.c.b.self.Name {
		return
	}
	payload, err := json.Marshal(report)
	if err != nil {
		d.c.b.log.WithError(err).Error("report cannot be encoded")
		return
	}
	// The next report makes up for one that is lost.
	d.c.b.tell(to, kindDuty, payload)
}

// take notes the report of another balancer.
func (d *duties) take(from peer.Sender, report duty) {
	if from.Life < d.heard[from.Name].life {
		return
	}
	d.heard[from.Name] = heardDuty{life: from.Life, duty: report, at: d.c.b.now()}
	if from.Domain == d.c.b.self.Domain {
		d.seen.take(from, report)
	}
}

// of returns the last report of a life of a balancer, and false if there is
// none.
func (d *duties) of(name string, life uint64) (duty, bool) {
	if name == d.c.b.self.Name {
		return d.own(), true
	}
	h, ok := d.heard[name]
	return h.duty, ok && h.life == life
}

// ready says whether a member that joins, or leaves, has said so since it does.
// A report from before speaks for its former part.
func (d *duties) ready(m fleet.Member) bool {
	said, ok := d.of(m.Name, m.Life)
	since := d.joined[m.Name]
	return ok && said.Ready && (m.State != fleet.StateJoining || said.Fleet >= since.number)
}

// adopted takes a newer state of the fleet and forgets the reports of balancers
// that are no longer in the fleet.
func (d *duties) adopted() {
	d.seen.adopted()
	d.noteJoined()
	for name := range d.heard {
		if _, ok := d.c.fleet.Member(name); !ok {
			delete(d.heard, name)
			d.seen.forget(name)
		}
	}
}

// noteJoined notes since when members have been joining.
func (d *duties) noteJoined() {
	joined := make(map[string]joinedAt)
	for _, m := range d.c.fleet.Members {
		if m.State != fleet.StateJoining {
			continue
		}
		since := joinedAt{life: m.Life, number: d.c.fleet.Number}
		if old, ok := d.joined[m.Name]; ok && old.life == m.Life {
			since = old
		}
		joined[m.Name] = since
	}
	d.joined = joined
}
