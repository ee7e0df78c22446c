package measure

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// text formats the row's values and note as a table cell.
func (r *Row) text() string {
	if r == nil {
		return "-"
	}
	parts := make([]string, 0, len(r.Values))
	for _, v := range r.Values {
		parts = append(parts, strconv.FormatFloat(v, 'f', r.Digits, 64))
	}
	cell := strings.Join(parts, " / ")
	switch {
	case r.Note == "":
		return cell
	case cell == "":
		return "(" + r.Note + ")"
	}
	return cell + " (" + r.Note + ")"
}

// writeTable writes the rows of a scenario; a column that is nil shows "-".
func writeTable(w io.Writer, s *Scenario, own, naive, last *Column) error {
	fmt.Fprintf(w, "\n%s, seed %d, %v of load\n", s.Name, s.Seed, s.Length())
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\t%s\t%s\tlast recorded\n", DesignOwn, DesignNaive)
	for i := range own.Rows {
		row := &own.Rows[i]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", row.Name, row.text(), naive.row(row.Name).text(), last.row(row.Name).text())
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "table")
	}
	for _, example := range own.Examples {
		fmt.Fprintf(w, "  this design: %s\n", example)
	}
	return nil
}
