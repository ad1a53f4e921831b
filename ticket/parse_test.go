package ticket_test

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"gopkg.in/yaml.v3"
	"pgregory.net/rapid"

	"wisteriaweir/platform"
	"wisteriaweir/ticket"
)

// TestPrintedTicketKeepsItsDigest guards against a digest that depends on the order
// of lists or on the encoding: it writes random tickets as YAML with shuffled
// lists and parses them, and decodes their stored form.
func TestPrintedTicketKeepsItsDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		want := drawTicket(rnd, 1, "Open: the \"levy\" desk #1")
		if (ticket.State{}).Check(want) != nil {
			t.Skip("the drawn ticket has mistakes")
		}
		shuffled := want
		shuffled.Services = append(shuffled.Services[:0:0], want.Services...)
		rnd.Shuffle(len(shuffled.Services), func(i, j int) {
			shuffled.Services[i], shuffled.Services[j] = shuffled.Services[j], shuffled.Services[i]
		})
		file, err := yaml.Marshal(shuffled)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ticket.Parse("ticket.yaml", file)
		if err != nil || got.Digest() != want.Digest() {
			t.Fatalf("%v\n%s", err, file)
		}
		stored, err := ticket.Decode(1, want.Encode())
		if err != nil || stored.Digest() != want.Digest() {
			t.Fatal(err)
		}
	})
}

// TestTooLargeFile guards against files that are larger than the largest value
// of the platform.
func TestTooLargeFile(t *testing.T) {
	_, err := ticket.Parse("ticket.yaml", []byte(firstTicket+strings.Repeat("#", platform.MaxValueSize)))
	qt.Assert(t, err, qt.ErrorMatches, "ticket: ticket.yaml: the file has 77[0-9]+ bytes, more than 778240")
}

// FuzzParse checks that Parse returns either a *ticket.CheckError with at least one
// mistake, or a ticket that keeps its digest when it is stored and decoded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(firstTicket))
	f.Add([]byte("number: 1\nnumber: 2\nservices: [{name: [}]"))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("? [x]\n: y"))
	f.Add([]byte("number: 1e400\ntitle: !!binary x\ndomains: {}\nservices: [[]]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tk, err := ticket.Parse("ticket.yaml", data)
		var wrong *ticket.CheckError
		if err != nil && (!errors.As(err, &wrong) || len(wrong.Mistakes) == 0 || wrong.Error() == "") {
			t.Fatalf("%T: %v", err, err)
		}
		if err != nil {
			return
		}
		again, err := ticket.Decode(tk.Number, tk.Encode())
		if err != nil || again.Digest() != tk.Digest() {
			t.Fatalf("%v: %s", err, tk.Encode())
		}
	})
}

// FuzzStored decodes arbitrary values as a head, a ticket and a status. It guards
// against panics, and against heads that change when they are encoded and decoded.
func FuzzStored(f *testing.F) {
	tk, _ := ticket.Parse("first.yaml", []byte(firstTicket))
	f.Add(tk.Encode())
	f.Add(ticket.Head{}.WithTicket(tk).Encode())
	f.Add(ticket.Status{Domain: "north", Members: 1}.Encode())
	f.Add([]byte(`{"number":1,"ticket":"a","digest":"b","services":{"x":{"number":1,"digest":"c"}}}`))
	f.Add([]byte(`{"number":-1}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		h, err := ticket.ParseHead(value)
		if err == nil && len(value) > 0 {
			again, err := ticket.ParseHead(h.Encode())
			if err != nil || again.Number != h.Number {
				t.Fatal(err)
			}
		}
		stored, _ := ticket.Decode(1, value)
		if cfg, err := ticket.BuildConfig(h, map[uint64]ticket.Ticket{1: stored}); err == nil && len(cfg.Services) != len(h.Services) {
			t.Fatalf("%d services of %d", len(cfg.Services), len(h.Services))
		}
		_, _ = ticket.ParseStatus("north", value)
	})
}
