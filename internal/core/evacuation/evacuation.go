// Package evacuation keeps track of the failure domains whose servers get no requests,
// because an operator has ordered it. The orders are records in the store; daemons that do
// not reach the store learn of them from others. The package performs no I/O: callers pass
// in what was read, with its offsets, and instants.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Bounds of what an order may state. One beyond them is a mistake.
const (
	MaxDomains = 256 // evacuated at once
	MaxName    = 100 // bytes of a domain's name
)

// State is the set of evacuated domains as of an offset of the operators' stream.
type State struct {
	At      ident.Offset          `codec:"o"` // the records before it count
	Domains []ident.FailureDomain `codec:"d"` // sorted
}

// Tracker keeps the newest known state. The zero value knows of no evacuation. It is not
// safe for concurrent use.
type Tracker struct {
	at      ident.Offset
	domains map[ident.FailureDomain]ident.Instant // since when the order counts
	changed bool
	toldAt  ident.Instant // when another daemon told of at; zero if the store did
	refused ident.Offset  // another daemon told of it, and the store does not reach it; zero if none
}

// Change tells which domains an input has added and taken away, sorted.
type Change struct {
	Began, Ended []ident.FailureDomain
}

// Empty reports whether nothing has changed.
func (c Change) Empty() bool { return len(c.Began) == 0 && len(c.Ended) == 0 }

// Read replaces the state by what the store holds before an offset. Of a store that came back
// from a copy, the records that were written after the copy are gone: what was evacuated
// before stays so until a record takes it back, also if another daemon told of it before this
// one read the store. since is when the orders that are new here
// were given at the earliest, and asked when the store was asked. If the store ends before an
// offset that another daemon had told of by then, that daemon is wrong.
func (t *Tracker) Read(domains []ident.FailureDomain, at ident.Offset, since, asked ident.Instant) Change {
	switch {
	case t.Contradicts(at, asked):
		t.refused, t.at = t.at, 0
	case at < t.at:
		return Change{}
	}
	if t.at != 0 && (at.Era() > t.at.Era() || at == t.at) {
		domains = slices.Concat(domains, t.Domains())
	}
	return t.reachStore(t.replace(domains, at, since))
}

// Contradicts reports whether an answer of the store that ends at an offset shows that another
// daemon has told of an offset that the store did not reach.
func (t *Tracker) Contradicts(end ident.Offset, asked ident.Instant) bool {
	return t.toldAt != 0 && asked > t.toldAt && end < t.at
}

// IsTold reports whether the present offset is another daemon's word, which the store has not
// confirmed.
func (t *Tracker) IsTold() bool { return t.toldAt != 0 }

// reachStore notes that the store has given the present offset, and returns a change unchanged.
func (t *Tracker) reachStore(c Change) Change {
	t.toldAt = 0
	if t.at >= t.refused {
		t.refused = 0
	}
	return c
}

// Record applies one record of the stream at an offset: the order to evacuate a domain, or to
// take it back.
func (t *Tracker) Record(d ident.FailureDomain, evacuate bool, at ident.Offset, since ident.Instant) Change {
	if at < t.at {
		return Change{}
	}
	domains := slices.DeleteFunc(t.Domains(), func(x ident.FailureDomain) bool { return x == d })
	if evacuate {
		domains = append(domains, d)
	}
	return t.reachStore(t.replace(domains, at+1, since))
}

// Advance states that the records before an offset concern no other domains.
func (t *Tracker) Advance(at ident.Offset) {
	if at >= t.at {
		t.at = at
		t.reachStore(Change{})
	}
}

// Merge applies the state of another daemon if it is newer. Of two states as of one offset,
// both read after the store came back from a copy, each may have kept what the other does not
// know. since tells from which instants on the other daemon counts the orders, one for each
// domain: the earlier one counts, as an answer of the store may have been held up.
func (t *Tracker) Merge(s State, since []ident.Instant, now ident.Instant) Change {
	if s.At < t.at || t.refused != 0 && s.At >= t.refused || !s.valid() || len(since) != len(s.Domains) {
		return Change{}
	}
	if s.At > t.at {
		t.toldAt = now
	}
	domains := s.Domains
	if s.At == t.at {
		domains = slices.Concat(domains, t.Domains())
	}
	c := t.replace(domains, s.At, now)
	for i, d := range s.Domains {
		if known, ok := t.domains[d]; ok {
			t.domains[d] = min(known, since[i])
		}
	}
	return c
}

// valid reports whether a state from another daemon is plausible.
func (s State) valid() bool {
	return len(s.Domains) <= MaxDomains && !slices.ContainsFunc(s.Domains, func(d ident.FailureDomain) bool { return d == "" || len(d) > MaxName })
}

func (t *Tracker) replace(domains []ident.FailureDomain, at ident.Offset, since ident.Instant) (c Change) {
	before := t.domains
	t.at, t.domains = at, make(map[ident.FailureDomain]ident.Instant, len(domains))
	for _, d := range domains {
		if len(t.domains) >= MaxDomains {
			break
		}
		known, ok := before[d]
		if !ok {
			known = since
		}
		if _, twice := t.domains[d]; !ok && !twice {
			c.Began = append(c.Began, d)
		}
		t.domains[d] = known
	}
	for d := range before {
		if _, ok := t.domains[d]; !ok {
			c.Ended = append(c.Ended, d)
		}
	}
	slices.Sort(c.Began)
	slices.Sort(c.Ended)
	t.changed = t.changed || !c.Empty()
	return c
}

// Domains returns the evacuated domains, sorted.
func (t *Tracker) Domains() []ident.FailureDomain { return slices.Sorted(maps.Keys(t.domains)) }

// State returns the state for other daemons, and whether they may need it: some domain is or
// was evacuated.
func (t *Tracker) State() (s State, ok bool) {
	return State{At: t.at, Domains: t.Domains()}, t.changed
}

// Since returns the instant from which on the order to evacuate a domain counts.
func (t *Tracker) Since(d ident.FailureDomain) (ident.Instant, bool) {
	since, ok := t.domains[d]
	return since, ok
}

// Parts of the time within which an evacuation must be in force, counted from when the daemon
// beside a server learned of the order. The other daemons choose the server no longer from the
// first moment on. What is left covers the time until the daemon learned of it, and that of a
// request to the server.
const (
	pooledPart = 0.2 // until then requests that are on their way run
	keyedPart  = 0.6 // until then those for keys run that the server still holds
)

// Refuses reports whether the daemon beside a server refuses a request, for a key or not, at
// an instant: the order counts since another, and must be in force within applyTime.
func Refuses(keyed bool, since, now ident.Instant, applyTime time.Duration) bool {
	part := pooledPart
	if keyed {
		part = keyedPart
	}
	return now.Sub(since) >= time.Duration(part*float64(applyTime))
}
