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

// Limits of the fields of a ticket.
const (
	// maxTextBytes is the largest length of the title and of the author, in bytes.
	maxTextBytes = 200
	// maxDomains is the largest number of failure domains.
	maxDomains = 64
	// maxWeight is the largest weight of a target.
	maxWeight = 1000
	// maxSlots is the largest number of slots of a target.
	maxSlots = 10000
)

// namePattern matches the names of services, targets and failure domains.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// check returns the mistakes of t that do not depend on the accepted
// state.
func (t Ticket) check() []Mistake {
	c := &checker{owners: make(map[netip.AddrPort]string)}
	if t.Number == 0 {
		c.add("number", "must be 1 or more")
	}
	c.checkText("title", t.Title)
	c.checkText("author", t.Author)
	c.checkNames("domains", t.Domains)
	if len(t.Domains) > maxDomains {
		c.add("domains", fmt.Sprintf("has %d failure domains, more than %d", len(t.Domains), maxDomains))
	}
	c.checkNames("remove", t.Remove)
	c.checkServices(t)
	if len(t.Domains)+len(t.Services)+len(t.Remove) == 0 {
		c.add("services", "the ticket touches nothing")
	}
	if n := len(t.Encode()); n > platform.MaxValueSize {
		c.add("services", fmt.Sprintf("the ticket takes %d bytes, more than %d", n, platform.MaxValueSize))
	}
	return c.mistakes
}

// checker collects the mistakes of one ticket.
type checker struct {
	mistakes []Mistake
	// owners holds, for each address, the service or target that owns it, as a text for
	// messages.
	owners map[netip.AddrPort]string
}

func (c *checker) add(field, reason string) {
	c.mistakes = append(c.mistakes, Mistake{Field: field, Reason: reason})
}

// checkText checks that s is one line of 1 to maxTextBytes bytes.
func (c *checker) checkText(field, s string) {
	switch {
	case s == "":
		c.add(field, "is empty")
	case len(s) > maxTextBytes:
		c.add(field, fmt.Sprintf("has %d bytes, more than %d", len(s), maxTextBytes))
	case slices.ContainsFunc([]rune(s), unicode.IsControl):
		c.add(field, "must be one line of text")
	}
}

// checkName checks that s matches namePattern.
func (c *checker) checkName(field, s string) {
	if !namePattern.MatchString(s) {
		c.add(field, fmt.Sprintf("must be 1 to 63 of a-z, 0-9, - and ., with a letter or digit at both ends, is %q", s))
	}
}

// checkNames checks a list of names, each of which must be valid and unique.
func (c *checker) checkNames(field string, names []string) {
	firstIndex := make(map[string]int)
	for i, s := range names {
		path := fmt.Sprintf("%s[%d]", field, i)
		c.checkName(path, s)
		c.checkUnique(path, field, s, i, firstIndex)
	}
}

// checkUnique checks that item i of a list is the first one with its name. The map
// firstIndex holds the index of the first item with each name, and receives that of a
// new name.
func (c *checker) checkUnique(field, list, name string, i int, firstIndex map[string]int) {
	if j, ok := firstIndex[name]; ok {
		c.add(field, fmt.Sprintf("%q is at %s[%d] already", name, list, j))
		return
	}
	firstIndex[name] = i
}

// checkRange checks that n is between 1 and limit.
func (c *checker) checkRange(field string, n, limit int) {
	if n < 1 || n > limit {
		c.add(field, fmt.Sprintf("must be 1 to %d, is %d", limit, n))
	}
}

func (c *checker) checkServices(t Ticket) {
	firstIndex, removed := make(map[string]int), make(map[string]bool)
	for _, name := range t.Remove {
		removed[name] = true
	}
	for i, s := range t.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkName(path+".name", s.Name)
		c.checkUnique(path+".name", "services", s.Name, i, firstIndex)
		if removed[s.Name] {
			c.add(path+".name", fmt.Sprintf("%q is under remove too", s.Name))
		}
		c.checkAddresses(path, s)
		c.checkPool(path, s, t.Domains)
	}
}

func (c *checker) checkAddresses(path string, s service.Service) {
	if len(s.Addresses) == 0 {
		c.add(path+".addresses", "needs one address or more")
	}
	for i, a := range s.Addresses {
		addressPath := fmt.Sprintf("%s.addresses[%d]", path, i)
		c.checkEndpoint(addressPath+".at", a.AddrPort, "service "+s.Name)
		if a.Mode != service.ModeRequest && a.Mode != service.ModeFlow {
			c.add(addressPath+".mode", fmt.Sprintf("must be request or flow, is %q", string(a.Mode)))
		}
	}
}

func (c *checker) checkPool(path string, s service.Service, domains []string) {
	if len(s.Pool) == 0 {
		c.add(path+".pool", "needs one target or more")
	}
	firstIndex := make(map[string]int)
	for i, t := range s.Pool {
		targetPath := fmt.Sprintf("%s.pool[%d]", path, i)
		c.checkName(targetPath+".name", t.Name)
		c.checkUnique(targetPath+".name", path+".pool", t.Name, i, firstIndex)
		c.checkEndpoint(targetPath+".at", t.Address, fmt.Sprintf("target %s of %s", t.Name, s.Name))
		c.checkDomain(targetPath+".domain", t.Domain, domains)
		c.checkRange(targetPath+".weight", t.Weight, maxWeight)
		c.checkRange(targetPath+".slots", t.Slots, maxSlots)
	}
}

// checkDomain checks that a failure domain has a valid name, and is one of those
// that the ticket declares, if it declares any.
func (c *checker) checkDomain(field, name string, domains []string) {
	c.checkName(field, name)
	if len(domains) > 0 && !slices.Contains(domains, name) {
		c.add(field, fmt.Sprintf("%q is not one of the failure domains %v", name, domains))
	}
}

// checkEndpoint checks that an address is valid, and that no other service or target
// of the ticket owns it. It records owner as its owner.
func (c *checker) checkEndpoint(field string, a netip.AddrPort, owner string) {
	if !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		c.add(field, fmt.Sprintf("must be IP:PORT of one host, is %q", a.String()))
		return
	}
	if other, ok := c.owners[a]; ok {
		c.add(field, fmt.Sprintf("%s is the address of %s already", a, other))
		return
	}
	c.owners[a] = owner
}
