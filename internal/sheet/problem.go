package sheet

import (
	"fmt"
	"slices"
	"strings"
)

// maxProblems is the maximum number of problems listed for one sheet.
const maxProblems = 1000

// Problem is one reason why a sheet cannot be used.
type Problem struct {
	Row    int    `json:"row"`    // the header is row 1; zero for the sheet as a whole
	Column Column `json:"column"` // empty for the row as a whole
	Text   string `json:"text"`
	Hint   string `json:"hint,omitempty"`
}

// String formats the problem as "row 7, column slices: text (hint)".
func (p Problem) String() string {
	var b strings.Builder
	switch {
	case p.Row == 0:
		b.WriteString("sheet")
	case p.Column == "":
		fmt.Fprintf(&b, "row %d", p.Row)
	default:
		fmt.Fprintf(&b, "row %d, column %s", p.Row, p.Column)
	}
	b.WriteString(": " + p.Text)
	if p.Hint != "" {
		b.WriteString(" (" + p.Hint + ")")
	}
	return b.String()
}

// Problems lists the problems of a sheet in the order of the rows.
type Problems []Problem

// Error formats the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(row int, col Column, hint, format string, args ...any) {
	*p = append(*p, Problem{Row: row, Column: col, Hint: hint, Text: fmt.Sprintf(format, args...)})
}

// sortedAndLimited returns the problems sorted by row and column. If there are more
// than maxProblems, it drops the others and adds a last problem with their number.
func (p Problems) sortedAndLimited() Problems {
	slices.SortStableFunc(p, func(a, b Problem) int {
		if a.Row != b.Row {
			return a.Row - b.Row
		}
		return slices.Index(columns, a.Column) - slices.Index(columns, b.Column)
	})
	if len(p) <= maxProblems {
		return p
	}
	more := len(p) - maxProblems
	p = p[:maxProblems:maxProblems]
	p.add(0, "", "mend the ones above first", "%d more problems are not shown", more)
	return p
}
