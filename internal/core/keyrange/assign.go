package keyrange

import (
	"cmp"
	"slices"
)

// maxDividedTable bounds the rows of a table in which spans are divided among all receivers,
// if these are not so many that they need more. The record of a table is bounded in bytes, and
// the time to plan with it grows with its rows.
const maxDividedTable = 512

// assign assigns spans to the ready candidates that have the fewest keys in relation to their
// slots. Keys that are busy at the same time lie close together, so that it divides each span
// among all of them, unless that makes too many rows for the table or for one owner.
func (a *Agent) assign(t Table, spans []Span, cs []Candidate) Table {
	receivers, most := 0, 0
	for _, c := range withoutLimited(cs) {
		if c.Ready && c.Alive {
			receivers++
			most = max(most, a.rowCount(c.Owner))
		}
	}
	maxRows := max(maxDividedTable, 2*receivers)
	if most+len(spans) > maxRowsPerOwner || len(t.Rows)+receivers*len(spans) > maxRows {
		return a.distribute(t, spans, (int(MaxKey)+1)/maxRows, cs)
	}
	for _, s := range spans {
		t = a.distribute(t, []Span{s}, 1, cs)
	}
	return t
}

// deficit is a number of keys that an owner has too few.
type deficit struct {
	owner Owner
	keys  int
}

// deficits returns the ready candidates that have less than their share of the keys, once some
// keys more have an owner, and the sum of their deficits. Shares are in proportion to slots.
func (t Table) deficits(more int, cs []Candidate) (ds []deficit, total int) {
	counts := t.keyCounts()
	slots, keys := 0, more
	for _, c := range cs {
		if c.Ready && c.Alive {
			slots += c.Slots
			keys += counts[c.Owner.Member.Host]
		}
	}
	for _, c := range cs {
		if !c.Ready || !c.Alive || slots == 0 {
			continue
		}
		if want := keys*c.Slots/slots - counts[c.Owner.Member.Host]; want > 0 {
			ds = append(ds, deficit{c.Owner, want})
			total += want
		}
	}
	return ds, total
}

// distribute divides spans among the candidates with a deficit, in proportion to it, in pieces
// of at least some keys. Each candidate gets neighbouring keys, as far as the spans allow.
func (a *Agent) distribute(t Table, spans []Span, piece int, cs []Candidate) Table {
	spans = slices.SortedFunc(slices.Values(spans), func(x, y Span) int { return cmp.Compare(x.From, y.From) })
	keys := 0
	for _, s := range spans {
		keys += s.Len()
	}
	ds, total := t.deficits(keys, withoutLimited(cs))
	if len(ds) == 0 {
		return t
	}
	before, assigned, wanted := 0, 0, 0 // keys in earlier spans; keys assigned; deficits met
	for _, s := range spans {
		for from := int(s.From); from <= int(s.To); {
			end := keys // of the keys for the next owner, counted over all spans
			if len(ds) > 1 {
				end = keys * (wanted + ds[0].keys) / total
			}
			if assigned >= end {
				wanted += ds[0].keys
				ds = ds[1:]
				continue
			}
			to := max(int(s.From)+end-before-1, from+piece-1)
			if to+piece > int(s.To) {
				to = int(s.To)
			}
			t = t.withRow(Row{Span: Span{Key(from), Key(to)}, Owner: ds[0].owner, Fence: fenceAt(a.nextOffset)})
			assigned += to - from + 1
			from = to + 1
		}
		before += s.Len()
	}
	return t
}
