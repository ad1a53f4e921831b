// Package measure runs the decision code of a balancer in virtual time against
// simulated targets, callers and platforms, and returns the results as tables.
//
// # Usage
//
//	t := measure.NewTable("flows at 70 %", "strategy", "broken", "imbalance")
//	t.Add("pins", 0, 1.03)
//	err := t.Write(os.Stdout, measure.FormatText)
//
// Functions such as Configs, Flows, Requests and Targets return the tables of one
// subject. Their runs are seeded: the same seed gives the same figures on every
// machine, except for processor times.
package measure

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is the output format of a table.
type Format string

// Output formats of Table.Write.
const (
	// FormatText prints the title and a table with aligned columns.
	FormatText Format = "text"
	// FormatCSV prints a line with the column titles and one line for each row. The
	// first column has the title "table" and contains the title of the table.
	FormatCSV Format = "csv"
	// FormatJSON prints one JSON object with title, columns and rows.
	FormatJSON Format = "json"
)

// FormatError reports an output format that does not exist.
type FormatError struct {
	// Format is the unknown format.
	Format Format
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("format %q: use text, csv or json", string(e.Format))
}

// Table is one table of results. The JSON format writes its fields under their tags.
type Table struct {
	// Title is the title of the table.
	Title string `json:"title"`
	// Columns holds the titles of the columns.
	Columns []string `json:"columns"`
	// Rows holds the cells of each row, in the order of Columns.
	Rows [][]string `json:"rows"`
}

// NewTable returns an empty table.
func NewTable(title string, columns ...string) *Table {
	return &Table{Title: title, Columns: columns}
}

// Add appends a row. A float64 is printed with up to four significant digits, any
// other value by fmt.Sprint.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = cell(c)
	}
	t.Rows = append(t.Rows, row)
}

// cell returns the text of a cell.
func cell(c any) string {
	switch v := c.(type) {
	case float64:
		return fmt.Sprintf("%.4g", v)
	default:
		return fmt.Sprint(v)
	}
}

// Write writes the table to w: as text with aligned columns, as CSV with the title in
// the first column, or as one JSON object. It returns a *FormatError for an unknown
// format.
func (t *Table) Write(w io.Writer, f Format) error {
	switch f {
	case FormatText:
		return t.writeText(w)
	case FormatCSV:
		return t.writeCSV(w)
	case FormatJSON:
		return json.NewEncoder(w).Encode(t)
	default:
		return &FormatError{Format: f}
	}
}

func (t *Table) writeText(w io.Writer) error {
	fmt.Fprintf(w, "\n%s\n", t.Title)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.Columns, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

func (t *Table) writeCSV(w io.Writer) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(append([]string{"table"}, t.Columns...)); err != nil {
		return err
	}
	for _, row := range t.Rows {
		if err := cw.Write(append([]string{t.Title}, row...)); err != nil {
			return err
		}
	}
	cw.Flush()
	return cw.Error()
}
