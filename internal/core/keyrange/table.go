// Package keyrange decides which backend server of a sharded service holds which
// shard keys, and how long a daemon may renew what its server holds.
//
// The input is reads of the assignment table, heartbeats, outcomes of writes and
// messages of other daemons, each with its instant; the output is grants for the
// server and writes of the table. The invariant is that no two servers hold the same
// key at the same time, and that each new holder has a greater fencing token. The
// package performs no I/O. Instants must come from a clock that includes the time in
// which the machine was suspended.
//
// The assignment table of a service is one record in a keyed stream of the log
// service. A conditional append replaces it as a whole, and the offset of the append
// determines the fencing token of the rows that it moves. A daemon grants its server
// the rows that name it while its last read of the table is younger than
// Config.Lease, and only if that read shows no suspicion against the daemon. Rows
// move in two ways:
//
//   - Handoff: the owner gives rows up after its server has released them or can no
//     longer hold them, and names the next owner in the same append.
//   - Takeover: another daemon takes the rows of a silent owner. It appends a
//     suspicion, waits until every grant that the owner may have sent has expired,
//     and appends the new owners on the condition that nothing was appended in
//     between. An owner that is alive objects by appending a table without the
//     suspicion.
//
// Some hosts are witnesses, so that an owner survives outages of the store and yet a
// failed owner is replaced within seconds. With the support of a majority of the
// witnesses, an owner goes on without the store for Config.Lease, otherwise only for
// Config.UnsupportedLease. A takeover waits only for Config.UnsupportedLease once a
// majority has consented to the suspicion, that is, has stopped its support.
package keyrange

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// Key is a shard key.
type Key uint16

// MaxKey is the greatest shard key.
const MaxKey Key = 1<<16 - 1

// Span is a range of keys, both ends included.
type Span struct {
	From Key `codec:"f"`
	To   Key `codec:"t"`
}

// Len returns the number of keys.
func (s Span) Len() int { return int(s.To) - int(s.From) + 1 }

// Contains reports whether a key lies in the span.
func (s Span) Contains(k Key) bool { return s.From <= k && k <= s.To }

// Overlaps reports whether two spans share a key.
func (s Span) Overlaps(o Span) bool { return s.From <= o.To && o.From <= s.To }

// Covers reports whether o lies within s.
func (s Span) Covers(o Span) bool { return s.From <= o.From && o.To <= s.To }

// intersect returns the common part of two overlapping spans.
func (s Span) intersect(o Span) Span { return Span{max(s.From, o.From), min(s.To, o.To)} }

// subtract returns the parts of s that are not in o.
func (s Span) subtract(o Span) []Span {
	if !s.Overlaps(o) {
		return []Span{s}
	}
	var left []Span
	if s.From < o.From {
		left = append(left, Span{s.From, o.From - 1})
	}
	if o.To < s.To {
		left = append(left, Span{o.To + 1, s.To})
	}
	return left
}

// Owner is one instance of a backend server under one process of its daemon.
type Owner struct {
	Member   ident.Member    `codec:"m"`
	Instance roster.Instance `codec:"l"`
}

// Row assigns a range of keys to an owner. TransferToken is the token that the
// previous holder's server gave out for the next one; it may be empty.
type Row struct {
	Span
	Owner         Owner  `codec:"o"`
	Fence         uint64 `codec:"e"`
	TransferToken string `codec:"h,omitempty"`
}

// Suspicion states that a process appears to be gone. Fence is the fencing token
// of the append that added the suspicion; it distinguishes the suspicion from
// earlier ones.
type Suspicion struct {
	Member   ident.Member `codec:"m"`
	Reporter ident.Host   `codec:"b"`
	Fence    uint64       `codec:"a"`
}

// Table is the assignment table of one service. Its rows are sorted and do not
// overlap; keys without a row have no owner. A Table is never modified in place.
type Table struct {
	Rows     []Row       `codec:"r"`
	Suspects []Suspicion `codec:"s,omitempty"`

	// Witnesses are the hosts whose support lets an owner go on without the store.
	// They are set together with the first rows and never change, so that any two
	// majorities of them share a host.
	Witnesses []ident.Host `codec:"g,omitempty"`

	// Reopened is the offset of the record that took the table over from an earlier era
	// of the log. It is zero once all grants of that era have expired. See reopen.go.
	Reopened ident.Offset `codec:"e,omitempty"`
}

// Find returns the row that contains a key.
func (t Table) Find(k Key) (Row, bool) {
	i, ok := slices.BinarySearchFunc(t.Rows, k, func(r Row, k Key) int {
		switch {
		case r.To < k:
			return -1
		case r.From > k:
			return 1
		}
		return 0
	})
	if !ok {
		return Row{}, false
	}
	return t.Rows[i], true
}

// Valid reports whether the rows are sorted and do not overlap.
func (t Table) Valid() bool {
	for i, r := range t.Rows {
		if r.From > r.To || i > 0 && r.From <= t.Rows[i-1].To {
			return false
		}
	}
	return true
}

// Gaps returns the spans that have no owner.
func (t Table) Gaps() []Span {
	var gaps []Span
	next := 0
	for _, r := range t.Rows {
		if next < int(r.From) {
			gaps = append(gaps, Span{Key(next), r.From - 1})
		}
		next = int(r.To) + 1
	}
	if next <= int(MaxKey) {
		gaps = append(gaps, Span{Key(next), MaxKey})
	}
	return gaps
}

// KeyCount returns the number of keys that a host owns.
func (t Table) KeyCount(h ident.Host) int {
	n := 0
	for _, r := range t.Rows {
		if r.Owner.Member.Host == h {
			n += r.Len()
		}
	}
	return n
}

// keyCounts returns the number of keys that each host owns.
func (t Table) keyCounts() map[ident.Host]int {
	counts := make(map[ident.Host]int)
	for _, r := range t.Rows {
		counts[r.Owner.Member.Host] += r.Len()
	}
	return counts
}

// IsSuspected reports whether the table contains a suspicion against a process.
func (t Table) IsSuspected(m ident.Member) bool {
	return slices.ContainsFunc(t.Suspects, func(s Suspicion) bool { return s.Member == m })
}

// withRow returns the table with a row that replaces the assignment of its span.
// It joins neighbouring rows that differ only in their span.
func (t Table) withRow(n Row) Table {
	out := t.withoutSpan(n.Span)
	i := 0
	for i < len(out.Rows) && out.Rows[i].From < n.From {
		i++
	}
	out.Rows = slices.Insert(out.Rows, i, n)
	out.Rows = joinRows(out.Rows)
	return out
}

// withoutSpan returns the table with a span that has no owner.
func (t Table) withoutSpan(s Span) Table {
	out := Table{Suspects: slices.Clone(t.Suspects), Witnesses: t.Witnesses, Reopened: t.Reopened}
	for _, r := range t.Rows {
		for _, rest := range r.Span.subtract(s) {
			part := r
			part.Span = rest
			out.Rows = append(out.Rows, part)
		}
	}
	return out
}

// withoutSuspicions returns the table without the suspicions against a host.
func (t Table) withoutSuspicions(h ident.Host) Table {
	out := Table{Rows: slices.Clone(t.Rows), Witnesses: t.Witnesses, Reopened: t.Reopened}
	for _, s := range t.Suspects {
		if s.Member.Host != h {
			out.Suspects = append(out.Suspects, s)
		}
	}
	return out
}

func joinRows(rows []Row) []Row {
	var out []Row
	for _, r := range rows {
		if n := len(out); n > 0 && int(out[n-1].To)+1 == int(r.From) && sameExceptSpan(out[n-1], r) {
			out[n-1].To = r.To
			continue
		}
		out = append(out, r)
	}
	return out
}

func sameExceptSpan(a, b Row) bool {
	return a.Owner == b.Owner && a.Fence == b.Fence && a.TransferToken == b.TransferToken
}

// Receivers returns the hosts that received keys by the write at an offset.
func (t Table) Receivers(at ident.Offset) []ident.Host {
	var hosts []ident.Host
	for _, r := range t.Rows {
		if h := r.Owner.Member.Host; r.Fence == fenceAt(at) && !slices.Contains(hosts, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
