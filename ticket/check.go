package ticket

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"unicode"

	"wisteriaweir/platform"
	"wisteriaweir/service"
)

// Bounds of a ticket's fields.
const (
	maxText    = 200 // bytes
	maxDomains = 64
	maxWeight  = 1000
	maxSlots   = 10000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// check returns what is wrong with t on its own.
func (t Ticket) check() []Mistake {
	c := &checker{owners: make(map[netip.AddrPort]string)}
	if t.Number == 0 {
		c.add("number", "must be 1 or more")
	}
	c.text("title", t.Title)
	c.text("author", t.Author)
	c.names("domains", t.Domains)
	if len(t.Domains) > maxDomains {
		c.add("domains", fmt.Sprintf("has %d failure domains, more than %d", len(t.Domains), maxDomains))
	}
	c.names("remove", t.Remove)
	c.services(t)
	if len(t.Domains)+len(t.Services)+len(t.Remove) == 0 {
		c.add("services", "the ticket touches nothing")
	}
	if n := len(t.Encode()); n > platform.MaxValueSize {
		c.add("services", fmt.Sprintf("the ticket takes %d bytes, more than %d", n, platform.MaxValueSize))
	}
	return c.mistakes
}

// checker gathers the mistakes of one ticket.
type checker struct {
	mistakes []Mistake
	// owners names the service of each address, of callers' and of targets'.
	owners map[netip.AddrPort]string
}

func (c *checker) add(field, reason string) {
	c.mistakes = append(c.mistakes, Mistake{Field: field, Reason: reason})
}

func (c *checker) text(field, s string) {
	switch {
	case s == "":
		c.add(field, "is empty")
	case len(s) > maxText:
		c.add(field, fmt.Sprintf("has %d bytes, more than %d", len(s), maxText))
	case slices.ContainsFunc([]rune(s), unicode.IsControl):
		c.add(field, "must be one line of text")
	}
}

func (c *checker) name(field, s string) {
	if !namePattern.MatchString(s) {
		c.add(field, fmt.Sprintf("must be 1 to 63 of a-z, 0-9, - and ., with a letter or digit at both ends, is %q", s))
	}
}

// names checks a list of names that may not repeat.
func (c *checker) names(field string, names []string) {
	first := make(map[string]int)
	for i, s := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		c.name(at, s)
		c.once(at, field, s, i, first)
	}
}

// once checks that item i of a list is the first of its name, and notes it.
func (c *checker) once(field, list, name string, i int, first map[string]int) {
	if j, ok := first[name]; ok {
		c.add(field, fmt.Sprintf("%q is at %s[%d] already", name, list, j))
		return
	}
	first[name] = i
}

func (c *checker) number(field string, n, limit int) {
	if n < 1 || n > limit {
		c.add(field, fmt.Sprintf("must be 1 to %d, is %d", limit, n))
	}
}

func (c *checker) services(t Ticket) {
	first, removed := make(map[string]int), make(map[string]bool)
	for _, name := range t.Remove {
		removed[name] = true
	}
	for i, s := range t.Services {
		at := fmt.Sprintf("services[%d]", i)
		c.name(at+".name", s.Name)
		c.once(at+".name", "services", s.Name, i, first)
		if removed[s.Name] {
			c.add(at+".name", fmt.Sprintf("%q is under remove too", s.Name))
		}
		c.addresses(at, s)
		c.pool(at, s, t.Domains)
	}
}

func (c *checker) addresses(path string, s service.Service) {
	if len(s.Addresses) == 0 {
		c.add(path+".addresses", "needs one address or more")
	}
	for i, a := range s.Addresses {
		at := fmt.Sprintf("%s.addresses[%d]", path, i)
		c.endpoint(at+".at", a.AddrPort, "service "+s.Name)
		if a.Mode != service.ModeRequest && a.Mode != service.ModeFlow {
			c.add(at+".mode", fmt.Sprintf("must be request or flow, is %q", string(a.Mode)))
		}
	}
}

func (c *checker) pool(path string, s service.Service, domains []string) {
	if len(s.Pool) == 0 {
		c.add(path+".pool", "needs one target or more")
	}
	first := make(map[string]int)
	for i, t := range s.Pool {
		at := fmt.Sprintf("%s.pool[%d]", path, i)
		c.name(at+".name", t.Name)
		c.once(at+".name", path+".pool", t.Name, i, first)
		c.endpoint(at+".at", t.Address, fmt.Sprintf("target %s of %s", t.Name, s.Name))
		c.domain(at+".domain", t.Domain, domains)
		c.number(at+".weight", t.Weight, maxWeight)
		c.number(at+".slots", t.Slots, maxSlots)
	}
}

// domain checks a failure domain against those that the ticket declares.
func (c *checker) domain(field, name string, domains []string) {
	c.name(field, name)
	if len(domains) > 0 && !slices.Contains(domains, name) {
		c.add(field, fmt.Sprintf("%q is not one of the failure domains %v", name, domains))
	}
}

// endpoint checks an address and that nothing else in the ticket has it.
func (c *checker) endpoint(field string, a netip.AddrPort, owner string) {
	if !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		c.add(field, fmt.Sprintf("must be IP:PORT of one host, is %q", a.String()))
		return
	}
	if o, ok := c.owners[a]; ok {
		c.add(field, fmt.Sprintf("%s is the address of %s already", a, o))
		return
	}
	c.owners[a] = owner
}
