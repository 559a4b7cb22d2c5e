package quarantine

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

const (
	// lostMemory is how long a run that ended without an answer stays under suspicion: the
	// server may end a moment after the connection or the caller is gone.
	lostMemory = 1 * time.Second
	// maxLost limits the number of such runs that are kept.
	maxLost = 256
)

// RunID identifies a run on the server beside the daemon.
type RunID uint64

// Outcome is how a run ended.
type Outcome uint8

// The outcomes of runs.
const (
	Answered     Outcome = iota // the server has run the request and lived on
	Lost                        // no complete answer arrived
	Inconclusive                // the server lives on, but may not have run the request
)

// Suspect is a run that was in progress when its server ended.
type Suspect struct {
	Fingerprint Fingerprint
	RequestID   string // for the log
	Suspicion   int    // when the run began
}

// Run describes a run that begins.
type Run struct {
	Fingerprint func() Fingerprint // costs time: it is called for runs that are lost, or whose server ends
	RequestID   string
	Suspicion   int
}

func (r *Run) suspect() Suspect {
	return Suspect{Fingerprint: r.Fingerprint(), RequestID: r.RequestID, Suspicion: r.Suspicion}
}

// Runs tracks the runs on the server beside the daemon, to tell which were in progress when
// the server ended. It is not safe for concurrent use.
type Runs struct {
	last    RunID
	running map[RunID]*Run
	lost    []lostRun // ordered by time
}

type lostRun struct {
	Suspect
	id RunID
	at ident.Instant
}

// NewRuns returns a Runs without runs.
func NewRuns() *Runs { return &Runs{running: make(map[RunID]*Run)} }

// Begin records the start of a run.
func (r *Runs) Begin(run Run) RunID {
	r.last++
	r.running[r.last] = &run
	return r.last
}

// End records the end of a run. It does nothing for a run that TakeSuspects has returned.
func (r *Runs) End(id RunID, o Outcome, now ident.Instant) {
	run, ok := r.running[id]
	if !ok {
		return
	}
	delete(r.running, id)
	r.dropOldLost(now)
	if o == Lost && len(r.lost) < maxLost {
		r.lost = append(r.lost, lostRun{Suspect: run.suspect(), id: id, at: now})
	}
}

// Open reports whether it is undecided whether a lost run ended its server: TakeSuspects has
// not returned it.
func (r *Runs) Open(id RunID) bool {
	if _, ok := r.running[id]; ok {
		return true
	}
	for i := range r.lost {
		if r.lost[i].id == id {
			return true
		}
	}
	return false
}

// TakeSuspects returns and forgets the runs of a server that has just ended: those in
// progress, and those lost shortly before.
func (r *Runs) TakeSuspects(now ident.Instant) []Suspect {
	r.dropOldLost(now)
	out := make([]Suspect, 0, len(r.running)+len(r.lost))
	for _, run := range r.running {
		out = append(out, run.suspect())
	}
	for i := range r.lost {
		out = append(out, r.lost[i].Suspect)
	}
	clear(r.running)
	r.lost = nil
	return out
}

func (r *Runs) dropOldLost(now ident.Instant) {
	old := 0
	for old < len(r.lost) && now.Sub(r.lost[old].at) > lostMemory {
		old++
	}
	r.lost = r.lost[old:]
}
