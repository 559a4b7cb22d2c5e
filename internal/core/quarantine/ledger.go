package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

const (
	// crashWeight is what a crash adds to the suspicion of a request that was in progress, and
	// sharedCrashWeight if it is uncertain which of several suspected ones was the cause.
	crashWeight       = 2
	sharedCrashWeight = 1
	// convictingSuspicion is the suspicion from which on a request is refused: two crashes, or
	// three of which two are shared. After the first crash, the request shares the suspicion
	// with all that ran beside it.
	convictingSuspicion = 2 * crashWeight

	// suspectMemory is how long a request that is suspected of one crash stays so.
	suspectMemory = 1 * time.Minute

	// clearedMemory is how long an answer to a suspected request counts in its favor: a page
	// that many callers ask for is in progress whenever a server ends.
	clearedMemory = 1 * time.Minute

	// maxRecords limits the requests of which a daemon keeps a record, and so the memory
	// that callers can make it take.
	maxRecords = 4096
)

// quarantineTimes are how long a request is refused from convictingSuspicion on, and after
// each further crash. The first is short: the request may have been in bad company twice.
var quarantineTimes = []time.Duration{30 * time.Second, 15 * time.Minute, 4 * time.Hour}

// Record is what is known of a request that was in progress when servers ended.
type Record struct {
	Fingerprint Fingerprint
	Suspicion   int           // sum of the weights of crashes, one after the other
	LastCrash   ident.Instant // may precede the start of the clock
}

// quarantineTime returns how long the request is refused after its last crash.
func (r Record) quarantineTime() time.Duration {
	if !r.Convicted() {
		return 0
	}
	return quarantineTimes[min((r.Suspicion-convictingSuspicion)/crashWeight, len(quarantineTimes)-1)]
}

// memory returns how long the record is kept after the last crash. A request that comes
// back after its quarantine is given another run, and the record has to show the result.
func (r Record) memory() time.Duration { return suspectMemory + 2*r.quarantineTime() }

// Outdated reports whether a record is too old to count.
func (r Record) Outdated(now ident.Instant) bool { return now.Sub(r.LastCrash) > r.memory() }

// Convicted reports whether a record alone is reason to refuse the request.
func (r Record) Convicted() bool { return r.Suspicion >= convictingSuspicion }

// Verdict says how a request may run.
type Verdict struct {
	Suspicion int           // if there is any, the request runs isolated
	Refused   time.Duration // the request must not run for this time; zero if it may
}

// Ledger keeps the records of suspected requests and decides how they may run. Evidence
// comes from the daemon itself and from others.
//
// A crash counts against a request only if its run began after the crashes before were
// known: servers that end at the same moment for another reason do not add up. A request
// that a server has run to its end is cleared, because one that ends servers never is.
//
// It is not safe for concurrent use.
type Ledger struct {
	records map[Fingerprint]Record
	cleared map[Fingerprint]ident.Instant // requests that were answered when they were suspected

	// stagger prolongs each quarantine by a part that differs by daemon, so that a request
	// that all daemons receive is tried by one of them first, and the others learn how that
	// went.
	stagger float64
}

// NewLedger returns an empty ledger of the daemon on a host.
func NewLedger(self ident.Host) *Ledger {
	f := FingerprintOf([]byte(self))
	return &Ledger{records: make(map[Fingerprint]Record), cleared: make(map[Fingerprint]ident.Instant), stagger: float64(binary.BigEndian.Uint32(f[:])) / (1 << 32)}
}

// Len returns the number of records. While there are none, no request needs a fingerprint.
func (l *Ledger) Len() int { return len(l.records) }

// Judge returns how a request may run.
func (l *Ledger) Judge(f Fingerprint, now ident.Instant) Verdict {
	r, ok := l.live(f, now)
	if !ok {
		return Verdict{}
	}
	quarantine := r.quarantineTime()
	quarantine += time.Duration(l.stagger * float64(quarantine) / 2)
	return Verdict{Suspicion: r.Suspicion, Refused: max(quarantine-now.Sub(r.LastCrash), 0)}
}

// live returns the record of a request unless it is too old to count.
func (l *Ledger) live(f Fingerprint, now ident.Instant) (Record, bool) {
	r, ok := l.records[f]
	return r, ok && !r.Outdated(now)
}

// RecordCrash records which requests were in progress when a server ended. It returns the
// records that other daemons must learn of. If one of them was suspected before, it alone is
// the cause; if several were, the crash counts less for each of them. They do not run beside
// one another on purpose, but some may have begun before they were suspected, and those lost
// shortly before the end may still have been worked on.
func (l *Ledger) RecordCrash(suspects []Suspect, now ident.Instant) []Record {
	var before []Suspect
	for _, s := range suspects {
		if _, known := l.live(s.Fingerprint, now); s.Suspicion > 0 || known {
			before = append(before, s)
		}
	}
	if len(before) > 0 {
		suspects = before
	}
	weight := crashWeight
	if slices.ContainsFunc(before, func(s Suspect) bool { return s.Fingerprint != before[0].Fingerprint }) {
		weight = sharedCrashWeight
	}
	var out []Record
	for _, s := range suspects {
		if s.Suspicion > 0 && l.useCredit(s.Fingerprint, now) {
			continue
		}
		if r := (Record{s.Fingerprint, s.Suspicion + weight, now}); l.Merge(r, now) {
			out = append(out, r)
		}
	}
	return out
}

// useCredit reports whether a request has been cleared lately, so that one more crash does not
// count against it, and takes that credit away.
func (l *Ledger) useCredit(f Fingerprint, now ident.Instant) bool {
	at, ok := l.cleared[f]
	delete(l.cleared, f)
	return ok && now.Sub(at) <= clearedMemory
}

// Merge adds a record from elsewhere. It reports whether it says more than what was known.
func (l *Ledger) Merge(r Record, now ident.Instant) bool {
	old, ok := l.live(r.Fingerprint, now)
	if r.Suspicion <= 0 || ok && old.Suspicion >= r.Suspicion {
		return false
	}
	r.LastCrash = min(r.LastCrash, now)
	if _, replaces := l.records[r.Fingerprint]; !replaces && len(l.records) >= maxRecords {
		l.makeRoom(now)
	}
	l.records[r.Fingerprint] = r
	return true
}

// makeRoom deletes the records that are too old to count, or else the one with the least
// suspicion, the oldest of these.
func (l *Ledger) makeRoom(now ident.Instant) {
	l.DeleteOld(now)
	if len(l.records) < maxRecords {
		return
	}
	var least Record
	for _, r := range l.records {
		if least.Suspicion == 0 || compareRecords(r, least) < 0 {
			least = r
		}
	}
	delete(l.records, least.Fingerprint)
}

func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Suspicion, b.Suspicion), cmp.Compare(a.LastCrash, b.LastCrash), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
}

// Clear forgets a request that a server has run to its end. It returns its record, if there
// was one.
func (l *Ledger) Clear(f Fingerprint, now ident.Instant) (Record, bool) {
	r, ok := l.records[f]
	if ok {
		delete(l.records, f)
		if len(l.cleared) >= maxRecords {
			l.DeleteOld(now)
		}
		if len(l.cleared) < maxRecords {
			l.cleared[f] = now
		}
	}
	return r, ok
}

// DeleteOld deletes what is too old to count, and returns the deleted records.
func (l *Ledger) DeleteOld(now ident.Instant) (deleted []Record) {
	for f, at := range l.cleared {
		if now.Sub(at) > clearedMemory {
			delete(l.cleared, f)
		}
	}
	for f, r := range l.records {
		if r.Outdated(now) {
			delete(l.records, f)
			deleted = append(deleted, r)
		}
	}
	return deleted
}

// Records returns the records that count, the most suspected first.
func (l *Ledger) Records(now ident.Instant) []Record {
	var out []Record
	for f := range l.records {
		if r, ok := l.live(f, now); ok {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return compareRecords(b, a) })
	return out
}
