package ticket

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"

	"gopkg.in/yaml.v3"

	"wisteriaweir/platform"
	"wisteriaweir/service"
)

// Parse reads a ticket from the content of a YAML file. The error is a
// CheckError with every mistake that the file shows on its own.
func Parse(file string, data []byte) (Ticket, error) {
	r := newReader(file)
	t := r.read(data)
	if !r.broken {
		for _, m := range t.check() {
			r.add(m.Field, m.Reason)
		}
	}
	slices.SortStableFunc(r.mistakes, func(a, b Mistake) int { return cmp.Compare(a.Line, b.Line) })
	return t, checkError(r.mistakes)
}

// reader turns YAML nodes into a ticket and gathers what is wrong with them.
type reader struct {
	file     string
	mistakes []Mistake
	// lines holds the line of each field that was seen.
	lines map[string]int
	// wrong holds the fields that have a mistake already.
	wrong map[string]bool
	// broken says that the file is no mapping at all.
	broken bool
}

func newReader(file string) *reader {
	return &reader{file: file, lines: make(map[string]int), wrong: make(map[string]bool)}
}

// add notes a mistake, one for each field, and none for what lies in a field
// that is wrong as a whole.
func (r *reader) add(field, reason string) {
	for f := field; f != ""; f = parent(f) {
		if r.wrong[f] {
			return
		}
	}
	r.wrong[field] = true
	r.mistakes = append(r.mistakes, Mistake{File: r.file, Line: r.line(field), Field: field, Reason: reason})
}

// line returns the line of a field, or of the nearest field round it.
func (r *reader) line(field string) int {
	for field != "" {
		if l, ok := r.lines[field]; ok {
			return l
		}
		field = parent(field)
	}
	return r.lines[""]
}

func (r *reader) fail(reason string) Ticket {
	r.broken = true
	r.add("", reason)
	return Ticket{}
}

func (r *reader) read(data []byte) Ticket {
	if len(data) > platform.MaxValueSize {
		return r.fail(fmt.Sprintf("the file has %d bytes, more than %d", len(data), platform.MaxValueSize))
	}
	d := yaml.NewDecoder(bytes.NewReader(data))
	var doc, next yaml.Node
	err := d.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return r.fail("the file is empty")
	}
	if err != nil {
		return r.fail(strings.TrimPrefix(err.Error(), "yaml: "))
	}
	if err := d.Decode(&next); !errors.Is(err, io.EOF) {
		return r.fail("the file holds more than one document")
	}
	return r.ticket(doc.Content[0])
}

// field is one field of a mapping.
type field struct {
	name     string
	optional bool
	read     func(n *yaml.Node, path string)
}

// fields reads a mapping that may hold just the given fields.
func (r *reader) fields(n *yaml.Node, path string, fields []field) {
	r.lines[path] = n.Line
	if n.Kind != yaml.MappingNode {
		r.add(path, "must be a mapping, is "+kind(n))
		r.broken = r.broken || path == ""
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		at := join(path, key.Value)
		f, ok := find(fields, key.Value)
		if ok && seen[key.Value] {
			r.add(at, fmt.Sprintf("is given again on line %d", key.Line))
			continue
		}
		r.lines[at] = key.Line
		if !ok {
			r.add(at, "no such field, allowed are "+names(fields))
			continue
		}
		seen[key.Value] = true
		f.read(value, at)
	}
	for _, f := range fields {
		if !f.optional && !seen[f.name] {
			r.add(join(path, f.name), "is missing")
		}
	}
}

func (r *reader) ticket(n *yaml.Node) Ticket {
	var t Ticket
	r.fields(n, "", []field{
		{"number", false, func(n *yaml.Node, at string) { r.scalar(n, at, "!!int", "a number", &t.Number) }},
		{"title", false, func(n *yaml.Node, at string) { r.scalar(n, at, "!!str", "a text", &t.Title) }},
		{"author", false, func(n *yaml.Node, at string) { r.scalar(n, at, "!!str", "a text", &t.Author) }},
		{"domains", true, func(n *yaml.Node, at string) { t.Domains = r.texts(n, at) }},
		{"services", true, func(n *yaml.Node, at string) {
			r.each(n, at, func(n *yaml.Node, at string) { t.Services = append(t.Services, r.service(n, at)) })
		}},
		{"remove", true, func(n *yaml.Node, at string) { t.Remove = r.texts(n, at) }},
	})
	return t
}

func (r *reader) service(n *yaml.Node, path string) service.Service {
	var s service.Service
	r.fields(n, path, []field{
		{"name", false, func(n *yaml.Node, at string) { r.scalar(n, at, "!!str", "a text", &s.Name) }},
		{"addresses", false, func(n *yaml.Node, at string) {
			r.each(n, at, func(n *yaml.Node, at string) { s.Addresses = append(s.Addresses, r.address(n, at)) })
		}},
		{"pool", false, func(n *yaml.Node, at string) {
			r.each(n, at, func(n *yaml.Node, at string) { s.Pool = append(s.Pool, r.target(n, at)) })
		}},
	})
	return s
}

func (r *reader) address(n *yaml.Node, path string) service.Address {
	var a service.Address
	r.fields(n, path, []field{
		{"at", false, func(n *yaml.Node, at string) { a.AddrPort = r.addrPort(n, at) }},
		{"mode", false, func(n *yaml.Node, at string) { r.scalar(n, at, "!!str", "request or flow", &a.Mode) }},
	})
	return a
}

func (r *reader) target(n *yaml.Node, path string) service.Target {
	var t service.Target
	r.fields(n, path, []field{
		{"name", false, func(n *yaml.Node, at string) { r.scalar(n, at, "!!str", "a text", &t.Name) }},
		{"at", false, func(n *yaml.Node, at string) { t.Address = r.addrPort(n, at) }},
		{"domain", false, func(n *yaml.Node, at string) { r.scalar(n, at, "!!str", "a text", &t.Domain) }},
		{"weight", false, func(n *yaml.Node, at string) { r.scalar(n, at, "!!int", "a number", &t.Weight) }},
		{"slots", false, func(n *yaml.Node, at string) { r.scalar(n, at, "!!int", "a number", &t.Slots) }},
		{"drain", true, func(n *yaml.Node, at string) { r.scalar(n, at, "!!bool", "true or false", &t.Drain) }},
	})
	return t
}

// scalar reads a scalar of the given YAML tag into the value behind v.
func (r *reader) scalar(n *yaml.Node, path, tag, want string, v any) {
	if n.Kind != yaml.ScalarNode || n.ShortTag() != tag || n.Decode(v) != nil {
		r.add(path, fmt.Sprintf("must be %s, is %s", want, kind(n)))
	}
}

func (r *reader) addrPort(n *yaml.Node, path string) netip.AddrPort {
	var s string
	r.scalar(n, path, "!!str", "IP:PORT", &s)
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		r.add(path, fmt.Sprintf("must be IP:PORT, is %q", s))
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (r *reader) texts(n *yaml.Node, path string) []string {
	var texts []string
	r.each(n, path, func(n *yaml.Node, at string) {
		var s string
		r.scalar(n, at, "!!str", "a text", &s)
		texts = append(texts, s)
	})
	return texts
}

// each reads the items of a list.
func (r *reader) each(n *yaml.Node, path string, read func(n *yaml.Node, path string)) {
	if n.Kind != yaml.SequenceNode {
		r.add(path, "must be a list, is "+kind(n))
		return
	}
	for i, item := range n.Content {
		at := fmt.Sprintf("%s[%d]", path, i)
		r.lines[at] = item.Line
		read(item, at)
	}
}

// parent returns the path of the field round a field.
func parent(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

func find(fields []field, name string) (field, bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

func names(fields []field) string {
	s := make([]string, 0, len(fields))
	for _, f := range fields {
		s = append(s, f.name)
	}
	return strings.Join(s, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// kind names what a node is, for a message.
func kind(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias, which tickets may not use"
	}
	if n.ShortTag() == "!!null" {
		return "empty"
	}
	return fmt.Sprintf("%q", n.Value)
}
