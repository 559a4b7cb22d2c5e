// Package idempotency decides whether a request with an Idempotency-Key may run,
// and what a repeat of it receives. For each slice it keeps a history of requests
// and their answers, bounded in entries, bytes and time. Callers pass in the
// instants and the outcomes of the runs; no function blocks or reads a clock.
//
// A request runs at most once within the time to live, unless its daemon is lost
// with the history. When the memory limit is reached, the oldest stored answers are
// dropped first. While the daemon owns a slice, it keeps the entry of each run for
// the whole time to live: when the table has no free entry, it refuses new requests
// before they run.
package idempotency

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// ID identifies one idempotent request within a slice.
type ID struct {
	Key   ident.KeyHash `codec:"k"` // hash of the key by which the request is routed
	Token string        `codec:"t"` // value of the Idempotency-Key header
}

// Fingerprint is a hash of the parts of a request that must be the same in each
// request with the same ID.
type Fingerprint uint64

// Field is one header field of a stored answer.
type Field struct {
	Name  string `codec:"n"`
	Value string `codec:"v"`
}

// Answer is a complete answer that is stored for repeats.
type Answer struct {
	Status   int          `codec:"s"`
	Header   []Field      `codec:"h"`
	Body     []byte       `codec:"b"`
	ServedBy ident.Member `codec:"m"`
}

// size returns the bytes of the body and the header fields.
func (a *Answer) size() int64 {
	n := int64(len(a.Body))
	for _, f := range a.Header {
		n += int64(len(f.Name) + len(f.Value))
	}
	return n
}

// Config sets the limits of a Table.
type Config struct {
	TTL        time.Duration // how long an entry is kept after the end of its run
	MaxEntries int           // entries, including those of requests that are running
	MaxBytes   int64         // total size of all stored answers
	MaxAnswer  int64         // size of the largest answer that is stored
	MaxToken   int           // length in bytes of the longest Idempotency-Key; the table does not check it
}

// DefaultConfig returns limits for a daemon with a memory target of 32 MB.
func DefaultConfig() Config {
	return Config{
		TTL:        10 * time.Minute,
		MaxEntries: 20_000,
		MaxBytes:   4 << 20,
		MaxAnswer:  16 << 10,
		MaxToken:   255,
	}
}

// Verdict is the decision about a request with an Idempotency-Key.
type Verdict interface{ verdict() }

// FirstAttempt permits the request to run. After Table.Begin the caller must report
// the end of the run with Table.End.
type FirstAttempt struct{}

// InProgress means that the first run has not ended.
type InProgress struct{}

// AnswerStored contains the answer of the first run.
type AnswerStored struct{ Answer *Answer }

// AnswerLost means that the first run may have happened but its answer is not
// stored. Truth is the execution status of the first run.
type AnswerLost struct{ Truth errkind.Truth }

// KeyReused means that the ID was used for a request with another fingerprint.
type KeyReused struct{}

// TableFull means that the table has no free entry. The request must not run; an
// entry may become free after RetryAfter.
type TableFull struct{ RetryAfter time.Duration }

func (FirstAttempt) verdict() {}
func (InProgress) verdict()   {}
func (AnswerStored) verdict() {}
func (AnswerLost) verdict()   {}
func (KeyReused) verdict()    {}
func (TableFull) verdict()    {}

// entry is the state of one ID. Once running is false, truth and endedAt are set,
// and answer is set if the answer is stored.
type entry struct {
	fingerprint Fingerprint
	running     bool
	answer      *Answer
	truth       errkind.Truth
	endedAt     ident.Instant
}

// history contains the entries of one slice. It has an entry for every request
// that began at or after completeSince, on this daemon or on a former owner, and
// has not expired.
type history struct {
	entries       map[ID]*entry
	epoch         ident.Epoch
	completeSince ident.Instant
	imported      bool // the history came from the former owner, so the next epoch continues it
}

// finishedEntry is an entry whose run has ended.
type finishedEntry struct {
	slice ident.Slice
	id    ID
	entry *entry
}

// Table contains the histories of all slices of one daemon. It is not safe for
// concurrent use.
type Table struct {
	cfg         Config
	histories   map[ident.Slice]*history
	finished    []finishedEntry // in order of their ends, oldest first
	answered    []*entry        // in the order of storing; the answers of some may be dropped
	entryCount  int             // in all histories
	answerBytes int64           // total size of the stored answers
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, histories: make(map[ident.Slice]*history)}
}

// Attempt describes one arrival of an idempotent request.
type Attempt struct {
	Slice        ident.Slice
	Epoch        ident.Epoch // zero for a pooled service, whose history is never complete
	ID           ID
	Fingerprint  Fingerprint
	ClaimsRepeat bool // the caller declares that it has sent the request before
}

// Lookup returns the verdict for an ID that has an entry, and FirstAttempt for any
// other. It does not record the attempt.
func (t *Table) Lookup(now ident.Instant, a Attempt) Verdict {
	t.expireEntries(now)
	h := t.histories[a.Slice]
	if h == nil {
		return FirstAttempt{}
	}
	e := h.entries[a.ID]
	if e == nil {
		return FirstAttempt{}
	}
	return e.verdictFor(a.Fingerprint)
}

// Begin records the attempt and returns its verdict. The request may run only if
// the verdict is FirstAttempt.
func (t *Table) Begin(now ident.Instant, a Attempt) Verdict {
	t.expireEntries(now)
	h := t.history(now, a)
	if e := h.entries[a.ID]; e != nil {
		return e.verdictFor(a.Fingerprint)
	}
	if a.ClaimsRepeat && !t.isComplete(now, h) {
		return AnswerLost{Truth: errkind.Unknown}
	}
	if t.entryCount >= t.cfg.MaxEntries {
		return TableFull{RetryAfter: t.untilNextExpiry(now)}
	}
	h.entries[a.ID] = &entry{fingerprint: a.Fingerprint, running: true}
	t.entryCount++
	return FirstAttempt{}
}

// verdictFor returns the verdict for a repeat with the fingerprint f.
func (e *entry) verdictFor(f Fingerprint) Verdict {
	switch {
	case e.fingerprint != f:
		return KeyReused{}
	case e.running:
		return InProgress{}
	case e.answer != nil:
		return AnswerStored{Answer: e.answer}
	default:
		return AnswerLost{Truth: e.truth}
	}
}

// history returns the history of the attempt's slice. If the epoch has changed
// without an import, another daemon may have run requests in between, so the
// history counts as complete only from now on. Its entries stay valid.
func (t *Table) history(now ident.Instant, a Attempt) *history {
	h := t.histories[a.Slice]
	if h == nil {
		h = &history{entries: make(map[ID]*entry), epoch: a.Epoch, completeSince: now}
		t.histories[a.Slice] = h
		return h
	}
	if h.epoch != a.Epoch {
		if !h.imported {
			h.completeSince = now
		}
		h.epoch = a.Epoch
		h.imported = false
	}
	return h
}

// isComplete reports whether h has an entry for every request of the slice that ran
// within the time to live.
func (t *Table) isComplete(now ident.Instant, h *history) bool {
	return h.epoch != 0 && now.Sub(h.completeSince) >= t.cfg.TTL
}

// Outcome is the result of a first run.
type Outcome struct {
	Truth  errkind.Truth
	Answer *Answer // nil if the answer was lost or is too large to store
}

// End records the outcome of a run that Begin permitted. If the request did not
// run, End removes its entry. End ignores IDs that are not running.
func (t *Table) End(now ident.Instant, s ident.Slice, id ID, o Outcome) {
	h := t.histories[s]
	if h == nil || h.entries[id] == nil || !h.entries[id].running {
		return
	}
	if o.Truth == errkind.NotRun {
		delete(h.entries, id)
		t.entryCount--
		return
	}
	e := h.entries[id]
	e.running = false
	e.truth = o.Truth
	e.endedAt = now
	t.finished = append(t.finished, finishedEntry{slice: s, id: id, entry: e})
	if o.Answer != nil && o.Answer.size() <= t.cfg.MaxAnswer {
		t.storeAnswer(e, o.Answer)
	}
}

// storeAnswer stores the answer of an entry and drops the oldest answers until the
// total is within MaxBytes.
func (t *Table) storeAnswer(e *entry, a *Answer) {
	e.answer = a
	t.answerBytes += a.size()
	t.answered = append(t.answered, e)
	for t.answerBytes > t.cfg.MaxBytes && len(t.answered) > 0 {
		t.dropAnswer(t.answered[0])
		t.answered = t.answered[1:]
	}
}

// dropAnswer removes the stored answer of an entry; the entry stays.
func (t *Table) dropAnswer(e *entry) {
	if e.answer == nil {
		return
	}
	t.answerBytes -= e.answer.size()
	e.answer = nil
}

// expireEntries removes the entries whose time to live has ended.
func (t *Table) expireEntries(now ident.Instant) {
	for len(t.finished) > 0 && now.Sub(t.finished[0].entry.endedAt) >= t.cfg.TTL {
		f := t.finished[0]
		t.finished = t.finished[1:]
		t.removeFinished(f)
	}
	for len(t.answered) > 0 && t.answered[0].answer == nil {
		t.answered = t.answered[1:]
	}
}

// removeFinished removes a finished entry, unless its slice was forgotten since.
func (t *Table) removeFinished(f finishedEntry) {
	h := t.histories[f.slice]
	if h == nil || h.entries[f.id] != f.entry {
		return
	}
	t.dropAnswer(f.entry)
	delete(h.entries, f.id)
	t.entryCount--
}

// untilNextExpiry returns the time until the next entry expires, or the time to
// live if no run has ended.
func (t *Table) untilNextExpiry(now ident.Instant) time.Duration {
	if len(t.finished) == 0 {
		return t.cfg.TTL
	}
	return max(t.cfg.TTL-now.Sub(t.finished[0].entry.endedAt), 0)
}

// Len returns the number of entries.
func (t *Table) Len() int { return t.entryCount }

// Bytes returns the total size of the stored answers.
func (t *Table) Bytes() int64 { return t.answerBytes }
