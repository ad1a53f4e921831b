package ticket

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// File is a ticket file.
type File struct {
	// Name is the name of the file. It is used only in mistakes.
	Name string
	// Data is the YAML content of the file.
	Data []byte
}

// LocateMistakes returns a copy of the mistakes with the name of the file and the
// line of each field added.
func LocateMistakes(name string, data []byte, mistakes []Mistake) []Mistake {
	r := newFileReader(name)
	r.parse(data)
	located := slices.Clone(mistakes)
	for i, m := range located {
		located[i].File, located[i].Line = name, r.line(m.Field)
	}
	return located
}

// CheckFiles parses ticket files, and checks each ticket against those among them
// whose numbers directly precede its own without a gap. If these do not start at 1,
// services and failure domains that only the missing tickets declare are unknown, and
// the ticket is not checked against them. The error is a *CheckError with every mistake
// of all files, in the order of the files.
func CheckFiles(files []File) ([]Ticket, error) {
	tickets := make([]Ticket, len(files))
	mistakes := make([][]Mistake, len(files))
	var parsed []int
	for i, f := range files {
		t, err := Parse(f.Name, f.Data)
		tickets[i], mistakes[i] = t, mistakesOf(err)
		if err == nil {
			parsed = append(parsed, i)
		}
	}
	slices.SortStableFunc(parsed, func(a, b int) int { return cmp.Compare(tickets[a].Number, tickets[b].Number) })
	s, lastFile := State{Partial: true}, ""
	for _, i := range parsed {
		f, t := files[i], tickets[i]
		if t.Number == s.Head.Number {
			m := Mistake{Field: "number", Reason: fmt.Sprintf("%d is the number of %s too", t.Number, lastFile)}
			mistakes[i] = LocateMistakes(f.Name, f.Data, []Mistake{m})
			continue
		}
		if t.Number != s.Head.Number+1 || t.Number == 1 {
			s = State{Partial: t.Number != 1}
		}
		mistakes[i] = LocateMistakes(f.Name, f.Data, mistakesOf(s.Check(t)))
		s, lastFile = s.WithTicket(t), f.Name
	}
	return tickets, checkError(slices.Concat(mistakes...))
}

// mistakesOf returns the mistakes in err, which is a *CheckError or nil.
func mistakesOf(err error) []Mistake {
	var checkErr *CheckError
	if !errors.As(err, &checkErr) {
		return nil
	}
	return checkErr.Mistakes
}
