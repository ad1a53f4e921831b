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

// Parse parses and checks a ticket from the content of a YAML file. The name of the
// file is used in messages. The error is a *CheckError with every mistake
// that can be found without the accepted state.
func Parse(file string, data []byte) (Ticket, error) {
	r := newFileReader(file)
	t := r.parse(data)
	if !r.isUnreadable {
		for _, m := range t.check() {
			r.add(m.Field, m.Reason)
		}
	}
	slices.SortStableFunc(r.mistakes, func(a, b Mistake) int { return cmp.Compare(a.Line, b.Line) })
	return t, checkError(r.mistakes)
}

// fileReader converts YAML nodes to a ticket and collects mistakes.
type fileReader struct {
	file     string
	mistakes []Mistake
	// lines holds the line of each field in the file, by the path of the field.
	lines map[string]int
	// hasMistake holds the paths of the fields that have a mistake.
	hasMistake map[string]bool
	// isUnreadable reports whether the file is too large or is not one YAML mapping. The
	// fields of the ticket are not checked then.
	isUnreadable bool
}

func newFileReader(file string) *fileReader {
	return &fileReader{file: file, lines: make(map[string]int), hasMistake: make(map[string]bool)}
}

// add records a mistake, unless the field or a field that contains it already has
// one.
func (r *fileReader) add(field, reason string) {
	for f := field; f != ""; f = parentPath(f) {
		if r.hasMistake[f] {
			return
		}
	}
	r.hasMistake[field] = true
	r.mistakes = append(r.mistakes, Mistake{File: r.file, Line: r.line(field), Field: field, Reason: reason})
}

// line returns the line of a field, or of the innermost field that contains it if
// the field is not in the file.
func (r *fileReader) line(field string) int {
	for field != "" {
		if l, ok := r.lines[field]; ok {
			return l
		}
		field = parentPath(field)
	}
	return r.lines[""]
}

// fail records a mistake of the file as a whole, and returns an empty ticket.
func (r *fileReader) fail(reason string) Ticket {
	r.isUnreadable = true
	r.add("", reason)
	return Ticket{}
}

// parse decodes a file, which must hold one YAML document with a ticket.
func (r *fileReader) parse(data []byte) Ticket {
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
	return r.readTicket(doc.Content[0])
}

// field describes a field that a mapping may have.
type field struct {
	name string
	// optional reports whether the field may be missing.
	optional bool
	// read reads the value of the field, whose path in the file is given.
	read func(n *yaml.Node, path string)
}

// readMapping reads a mapping, which may have only the given fields and must have
// those that are not optional.
func (r *fileReader) readMapping(n *yaml.Node, path string, fields []field) {
	r.lines[path] = n.Line
	if n.Kind != yaml.MappingNode {
		r.add(path, "must be a mapping, is "+describeNode(n))
		r.isUnreadable = r.isUnreadable || path == ""
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		fieldPath := joinPath(path, key.Value)
		f, ok := findField(fields, key.Value)
		if ok && seen[key.Value] {
			r.add(fieldPath, fmt.Sprintf("is given again on line %d", key.Line))
			continue
		}
		r.lines[fieldPath] = key.Line
		if !ok {
			r.add(fieldPath, "no such field, allowed are "+fieldNames(fields))
			continue
		}
		seen[key.Value] = true
		f.read(value, fieldPath)
	}
	for _, f := range fields {
		if !f.optional && !seen[f.name] {
			r.add(joinPath(path, f.name), "is missing")
		}
	}
}

func (r *fileReader) readTicket(n *yaml.Node) Ticket {
	var t Ticket
	r.readMapping(n, "", []field{
		{"number", false, func(n *yaml.Node, fieldPath string) { r.readScalar(n, fieldPath, "!!int", "a number", &t.Number) }},
		{"title", false, func(n *yaml.Node, fieldPath string) { r.readScalar(n, fieldPath, "!!str", "a text", &t.Title) }},
		{"author", false, func(n *yaml.Node, fieldPath string) { r.readScalar(n, fieldPath, "!!str", "a text", &t.Author) }},
		{"domains", true, func(n *yaml.Node, fieldPath string) { t.Domains = r.readStrings(n, fieldPath) }},
		{"services", true, func(n *yaml.Node, fieldPath string) {
			r.readList(n, fieldPath, func(n *yaml.Node, fieldPath string) { t.Services = append(t.Services, r.readService(n, fieldPath)) })
		}},
		{"remove", true, func(n *yaml.Node, fieldPath string) { t.Remove = r.readStrings(n, fieldPath) }},
	})
	return t
}

func (r *fileReader) readService(n *yaml.Node, path string) service.Service {
	var s service.Service
	r.readMapping(n, path, []field{
		{"name", false, func(n *yaml.Node, fieldPath string) { r.readScalar(n, fieldPath, "!!str", "a text", &s.Name) }},
		{"addresses", false, func(n *yaml.Node, fieldPath string) {
			r.readList(n, fieldPath, func(n *yaml.Node, fieldPath string) { s.Addresses = append(s.Addresses, r.readAddress(n, fieldPath)) })
		}},
		{"pool", false, func(n *yaml.Node, fieldPath string) {
			r.readList(n, fieldPath, func(n *yaml.Node, fieldPath string) { s.Pool = append(s.Pool, r.readTarget(n, fieldPath)) })
		}},
	})
	return s
}

func (r *fileReader) readAddress(n *yaml.Node, path string) service.Address {
	var a service.Address
	r.readMapping(n, path, []field{
		{"at", false, func(n *yaml.Node, fieldPath string) { a.AddrPort = r.readAddrPort(n, fieldPath) }},
		{"mode", false, func(n *yaml.Node, fieldPath string) { r.readScalar(n, fieldPath, "!!str", "request or flow", &a.Mode) }},
	})
	return a
}

func (r *fileReader) readTarget(n *yaml.Node, path string) service.Target {
	var t service.Target
	r.readMapping(n, path, []field{
		{"name", false, func(n *yaml.Node, fieldPath string) { r.readScalar(n, fieldPath, "!!str", "a text", &t.Name) }},
		{"at", false, func(n *yaml.Node, fieldPath string) { t.Address = r.readAddrPort(n, fieldPath) }},
		{"domain", false, func(n *yaml.Node, fieldPath string) { r.readScalar(n, fieldPath, "!!str", "a text", &t.Domain) }},
		{"weight", false, func(n *yaml.Node, fieldPath string) { r.readScalar(n, fieldPath, "!!int", "a number", &t.Weight) }},
		{"slots", false, func(n *yaml.Node, fieldPath string) { r.readScalar(n, fieldPath, "!!int", "a number", &t.Slots) }},
		{"drain", true, func(n *yaml.Node, fieldPath string) {
			r.readScalar(n, fieldPath, "!!bool", "true or false", &t.Draining)
		}},
	})
	return t
}

// readScalar decodes a scalar with the given YAML tag into the value that v points
// to. The text want describes the expected value in messages.
func (r *fileReader) readScalar(n *yaml.Node, path, tag, want string, v any) {
	if n.Kind != yaml.ScalarNode || n.ShortTag() != tag || n.Decode(v) != nil {
		r.add(path, fmt.Sprintf("must be %s, is %s", want, describeNode(n)))
	}
}

// readAddrPort reads an address in the form IP:PORT. An IPv4 address in IPv6 notation
// is converted to IPv4.
func (r *fileReader) readAddrPort(n *yaml.Node, path string) netip.AddrPort {
	var s string
	r.readScalar(n, path, "!!str", "IP:PORT", &s)
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		r.add(path, fmt.Sprintf("must be IP:PORT, is %q", s))
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (r *fileReader) readStrings(n *yaml.Node, path string) []string {
	var texts []string
	r.readList(n, path, func(n *yaml.Node, fieldPath string) {
		var s string
		r.readScalar(n, fieldPath, "!!str", "a text", &s)
		texts = append(texts, s)
	})
	return texts
}

// readList calls read for each item of a list.
func (r *fileReader) readList(n *yaml.Node, path string, read func(n *yaml.Node, path string)) {
	if n.Kind != yaml.SequenceNode {
		r.add(path, "must be a list, is "+describeNode(n))
		return
	}
	for i, item := range n.Content {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		r.lines[itemPath] = item.Line
		read(item, itemPath)
	}
}

// parentPath returns the path of the field that contains the given one, or an empty
// string for a field of the ticket itself.
func parentPath(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

func findField(fields []field, name string) (field, bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

func fieldNames(fields []field) string {
	s := make([]string, 0, len(fields))
	for _, f := range fields {
		s = append(s, f.name)
	}
	return strings.Join(s, ", ")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// describeNode describes the type or the value of a node for a message.
func describeNode(n *yaml.Node) string {
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
