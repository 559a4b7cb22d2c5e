package keyrange

import (
	"cmp"
	"errors"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// ErrDiffMismatch means that a difference does not belong to the table.
var ErrDiffMismatch = errors.New("keyrange: the difference belongs to another table")

// TableDiff is the difference between two successive tables. A table has hundreds of rows
// of which a write changes a few.
type TableDiff struct {
	Removed   []Span       `codec:"d,omitempty"` // rows of the former table that the new one lacks
	Added     []Row        `codec:"a,omitempty"` // rows of the new table that the former one lacks
	Suspects  []Suspicion  `codec:"s,omitempty"` // of the new table
	Witnesses []ident.Host `codec:"g,omitempty"` // of the new table
	Reopened  ident.Offset `codec:"e,omitempty"` // of the new table
}

// Diff returns what turns the table into another one.
func (t Table) Diff(to Table) TableDiff {
	d := TableDiff{Suspects: to.Suspects, Witnesses: to.Witnesses, Reopened: to.Reopened}
	before := rowSet(t.Rows)
	after := rowSet(to.Rows)
	for _, r := range t.Rows {
		if !after[r] {
			d.Removed = append(d.Removed, r.Span)
		}
	}
	for _, r := range to.Rows {
		if !before[r] {
			d.Added = append(d.Added, r)
		}
	}
	return d
}

func rowSet(rows []Row) map[Row]bool {
	out := make(map[Row]bool, len(rows))
	for _, r := range rows {
		out[r] = true
	}
	return out
}

// Apply returns the table that a difference leads to. It returns ErrDiffMismatch if a
// removed row is missing or the result is not a valid table.
func (t Table) Apply(d TableDiff) (Table, error) {
	out := Table{Suspects: d.Suspects, Witnesses: d.Witnesses, Reopened: d.Reopened}
	removed := make(map[Span]bool, len(d.Removed))
	for _, s := range d.Removed {
		removed[s] = true
	}
	for _, r := range t.Rows {
		if removed[r.Span] {
			delete(removed, r.Span)
			continue
		}
		out.Rows = append(out.Rows, r)
	}
	out.Rows = append(out.Rows, d.Added...)
	slices.SortFunc(out.Rows, func(a, b Row) int { return cmp.Compare(a.From, b.From) })
	if len(removed) > 0 || !out.Valid() {
		return Table{}, ErrDiffMismatch
	}
	return out, nil
}
