// Package keyrange decides which backend server of a sharded service holds which
// shard keys, and for how long a daemon may renew what its server holds.
//
// The table of a service is one record of a keyed stream of the log service,
// replaced as a whole by a conditional append; its offset is the fencing token of
// the rows that it moves. A daemon grants its server the rows that name it while
// a read of the table is younger than Config.Lease, and only if no suspicion
// against it stands there. Rows move in two ways:
//
//   - The owner gives them up, after its server has released them or can no
//     longer hold them, and names the next owner in the same append.
//   - Somebody else takes them from a silent owner: it appends a suspicion, waits
//     until every grant that the owner may have sent has run out, and appends the
//     new owners on the condition that nothing was appended in between. An owner
//     that lives objects by appending a table without the suspicion.
//
// So that an owner outlives outages of the store and a lost one is followed within
// seconds, a few hosts are guards: with the support of a majority of them an owner
// goes on without the store for Config.Lease, else only for Config.Confirm; and a
// takeover waits only for Config.Confirm once a majority has consented, that is,
// has stopped its support.
//
// The package is pure: events with their instants in, commands out. Instants come
// from a clock that counts the time in which the machine was suspended.
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

// cut returns the common part of two spans that meet.
func (s Span) cut(o Span) Span { return Span{max(s.From, o.From), min(s.To, o.To)} }

// without returns what is left of s without o.
func (s Span) without(o Span) []Span {
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

// Owner is one life of a backend server under one process of its daemon.
type Owner struct {
	Member   ident.Member    `codec:"m"`
	Instance roster.Instance `codec:"l"`
}

// Row says who holds a range of keys. Handover is what the last holder's server
// gave out for the next one; it may be empty.
type Row struct {
	Span
	Owner         Owner  `codec:"o"`
	Fence         uint64 `codec:"e"`
	TransferToken string `codec:"h,omitempty"`
}

// Suspicion says that a process seems to be gone. At is the fencing token of the
// append that brought it, which tells it from earlier ones.
type Suspicion struct {
	Member   ident.Member `codec:"m"`
	Reporter ident.Host   `codec:"b"`
	Fence    uint64       `codec:"a"`
}

// Table is the assignment of the keys of one service. Its rows are in order and
// do not overlap; keys without a row have no owner. It is never changed in place.
type Table struct {
	Rows     []Row       `codec:"r"`
	Suspects []Suspicion `codec:"s,omitempty"`

	// Witnesses are the hosts whose support lets an owner go on without the store. They
	// are set with the first rows and never change, so that any two majorities of
	// them share a host.
	Witnesses []ident.Host `codec:"g,omitempty"`
}

// Find returns the row of a key.
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

// Valid reports whether the rows are in order and do not overlap.
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

// KeyCount counts the keys of a host.
func (t Table) KeyCount(h ident.Host) int {
	n := 0
	for _, r := range t.Rows {
		if r.Owner.Member.Host == h {
			n += r.Len()
		}
	}
	return n
}

// IsSuspected reports whether a suspicion against a process stands.
func (t Table) IsSuspected(m ident.Member) bool {
	return slices.ContainsFunc(t.Suspects, func(s Suspicion) bool { return s.Member == m })
}

// with returns the table with a row put over what it covers. Neighbouring rows
// that differ in nothing but their span are joined.
func (t Table) with(n Row) Table {
	out := t.without(n.Span)
	i := 0
	for i < len(out.Rows) && out.Rows[i].From < n.From {
		i++
	}
	out.Rows = slices.Insert(out.Rows, i, n)
	out.Rows = join(out.Rows)
	return out
}

// without returns the table with a span left without owner.
func (t Table) without(s Span) Table {
	out := Table{Suspects: slices.Clone(t.Suspects), Witnesses: t.Witnesses}
	for _, r := range t.Rows {
		for _, rest := range r.Span.without(s) {
			part := r
			part.Span = rest
			out.Rows = append(out.Rows, part)
		}
	}
	return out
}

// cleared returns the table without suspicions against a host.
func (t Table) cleared(h ident.Host) Table {
	out := Table{Rows: slices.Clone(t.Rows), Witnesses: t.Witnesses}
	for _, s := range t.Suspects {
		if s.Member.Host != h {
			out.Suspects = append(out.Suspects, s)
		}
	}
	return out
}

func join(rows []Row) []Row {
	var out []Row
	for _, r := range rows {
		if n := len(out); n > 0 && int(out[n-1].To)+1 == int(r.From) && sameGrant(out[n-1], r) {
			out[n-1].To = r.To
			continue
		}
		out = append(out, r)
	}
	return out
}

func sameGrant(a, b Row) bool {
	return a.Owner == b.Owner && a.Fence == b.Fence && a.TransferToken == b.TransferToken
}

// Receivers returns the hosts that were given keys by the write at an offset.
func (t Table) Receivers(at ident.Offset) []ident.Host {
	var hosts []ident.Host
	for _, r := range t.Rows {
		if h := r.Owner.Member.Host; r.Fence == fence(at) && !slices.Contains(hosts, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
