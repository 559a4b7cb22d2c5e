// Package idempotency decides what a repeated Idempotency-Key receives. It keeps
// a record per slice, bounded in entries, bytes and time. The package is pure:
// instants are passed in and nothing blocks.
//
// Within the time to live and without a loss of the daemon, a key runs at most
// once. The record gives up stored answers first and never forgets a key before
// its time: when it is full of keys, new ones are refused before they run.
package idempotency

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// ID names one idempotent request within a slice.
type ID struct {
	Key   ident.KeyHash `codec:"k"`
	Token string        `codec:"t"` // the Idempotency-Key header
}

// Fingerprint is a hash of what must be the same in each repeat of an ID.
type Fingerprint uint64

// Field is one header field of a stored answer.
type Field struct {
	Name  string `codec:"n"`
	Value string `codec:"v"`
}

// Answer is a whole answer kept for repeats.
type Answer struct {
	Status   int          `codec:"s"`
	Header   []Field      `codec:"h"`
	Body     []byte       `codec:"b"`
	ServedBy ident.Member `codec:"m"`
}

func (a *Answer) size() int64 {
	n := int64(len(a.Body))
	for _, f := range a.Header {
		n += int64(len(f.Name) + len(f.Value))
	}
	return n
}

// Config bounds a Table.
type Config struct {
	TTL        time.Duration // from the end of the first run
	MaxEntries int           // keys, running ones included
	MaxBytes   int64         // of all stored answers
	MaxAnswer  int64         // bytes of one stored answer
	MaxToken   int           // bytes of an Idempotency-Key
}

// DefaultConfig suits a daemon with a memory target of 32 MB.
func DefaultConfig() Config {
	return Config{
		TTL:        10 * time.Minute,
		MaxEntries: 20_000,
		MaxBytes:   4 << 20,
		MaxAnswer:  16 << 10,
		MaxToken:   255,
	}
}

// Verdict is what a request with an Idempotency-Key receives.
type Verdict interface{ verdict() }

// FirstAttempt lets the request run; the caller reports its end with Table.End.
type FirstAttempt struct{}

// InProgress says that the first run has not ended.
type InProgress struct{}

// AnswerStored returns the stored answer of the first run.
type AnswerStored struct{ Answer *Answer }

// AnswerLost says that the first run may have happened and its answer is not kept.
type AnswerLost struct{ Truth errkind.Truth }

// KeyReused says that the key belongs to a different request.
type KeyReused struct{}

// TableFull says that no more keys can be recorded; the request must not run.
type TableFull struct{ RetryAfter time.Duration }

func (FirstAttempt) verdict() {}
func (InProgress) verdict()   {}
func (AnswerStored) verdict() {}
func (AnswerLost) verdict()   {}
func (KeyReused) verdict()    {}
func (TableFull) verdict()    {}

// entry is one key. It is running until ended; then answer or truth is set.
type entry struct {
	fingerprint Fingerprint
	running     bool
	answer      *Answer
	truth       errkind.Truth
	ended       ident.Instant
}

// history is the record of one slice. It holds every key that began at or after
// since, under whichever daemon.
type history struct {
	entries  map[ID]*entry
	epoch    ident.Epoch
	since    ident.Instant
	imported bool // the next epoch continues this history
}

// ended is a finished entry in order of its end.
type ended struct {
	slice ident.Slice
	id    ID
	entry *entry
}

// Table is the record of all slices of one daemon. It is not safe for
// concurrent use.
type Table struct {
	cfg       Config
	histories map[ident.Slice]*history
	finished  []ended // oldest first
	answers   []*entry
	count     int
	bytes     int64
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, histories: make(map[ident.Slice]*history)}
}

// Attempt is one arrival of an idempotent request.
type Attempt struct {
	Slice        ident.Slice
	Epoch        ident.Epoch // zero for a pooled service, whose record is never whole
	ID           ID
	Fingerprint  Fingerprint
	ClaimsRepeat bool // the caller says that it sent the request before
}

// Lookup returns the verdict for a key that is recorded, else First, without
// recording the attempt.
func (t *Table) Lookup(now ident.Instant, a Attempt) Verdict {
	t.expire(now)
	h := t.histories[a.Slice]
	if h == nil {
		return FirstAttempt{}
	}
	e := h.entries[a.ID]
	if e == nil {
		return FirstAttempt{}
	}
	return e.verdict(a.Fingerprint)
}

// Begin records the attempt and returns its verdict. Only after First may the
// request run.
func (t *Table) Begin(now ident.Instant, a Attempt) Verdict {
	t.expire(now)
	h := t.history(now, a)
	if e := h.entries[a.ID]; e != nil {
		return e.verdict(a.Fingerprint)
	}
	if a.ClaimsRepeat && !t.whole(now, h) {
		return AnswerLost{Truth: errkind.Unknown}
	}
	if t.count >= t.cfg.MaxEntries {
		return TableFull{RetryAfter: t.untilExpiry(now)}
	}
	h.entries[a.ID] = &entry{fingerprint: a.Fingerprint, running: true}
	t.count++
	return FirstAttempt{}
}

func (e *entry) verdict(f Fingerprint) Verdict {
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

// history returns the slice's history. A new epoch that was not handed over
// starts it anew, since another daemon may have run keys in between; what is
// recorded stays true.
func (t *Table) history(now ident.Instant, a Attempt) *history {
	h := t.histories[a.Slice]
	if h == nil {
		h = &history{entries: make(map[ID]*entry), epoch: a.Epoch, since: now}
		t.histories[a.Slice] = h
		return h
	}
	if h.epoch != a.Epoch {
		if !h.imported {
			h.since = now
		}
		h.epoch = a.Epoch
		h.imported = false
	}
	return h
}

// whole reports whether a key that ran within the time to live must be in h.
func (t *Table) whole(now ident.Instant, h *history) bool {
	return h.epoch != 0 && now.Sub(h.since) >= t.cfg.TTL
}

// Outcome is the end of a first run.
type Outcome struct {
	Truth  errkind.Truth
	Answer *Answer // nil when the answer was lost or is too large to keep
}

// End records the outcome of a run that Begin let through. A run that did not
// happen leaves no record.
func (t *Table) End(now ident.Instant, s ident.Slice, id ID, o Outcome) {
	h := t.histories[s]
	if h == nil || h.entries[id] == nil || !h.entries[id].running {
		return
	}
	if o.Truth == errkind.NotRun {
		delete(h.entries, id)
		t.count--
		return
	}
	e := h.entries[id]
	e.running = false
	e.truth = o.Truth
	e.ended = now
	t.finished = append(t.finished, ended{slice: s, id: id, entry: e})
	if o.Answer != nil && o.Answer.size() <= t.cfg.MaxAnswer {
		t.keep(e, o.Answer)
	}
}

// keep stores an answer and gives up the oldest ones above the byte limit.
func (t *Table) keep(e *entry, a *Answer) {
	e.answer = a
	t.bytes += a.size()
	t.answers = append(t.answers, e)
	for t.bytes > t.cfg.MaxBytes && len(t.answers) > 0 {
		t.drop(t.answers[0])
		t.answers = t.answers[1:]
	}
}

func (t *Table) drop(e *entry) {
	if e.answer == nil {
		return
	}
	t.bytes -= e.answer.size()
	e.answer = nil
}

func (t *Table) expire(now ident.Instant) {
	for len(t.finished) > 0 && now.Sub(t.finished[0].entry.ended) >= t.cfg.TTL {
		f := t.finished[0]
		t.finished = t.finished[1:]
		t.remove(f)
	}
	for len(t.answers) > 0 && t.answers[0].answer == nil {
		t.answers = t.answers[1:]
	}
}

func (t *Table) remove(f ended) {
	h := t.histories[f.slice]
	if h == nil || h.entries[f.id] != f.entry {
		return
	}
	t.drop(f.entry)
	delete(h.entries, f.id)
	t.count--
}

func (t *Table) untilExpiry(now ident.Instant) time.Duration {
	if len(t.finished) == 0 {
		return t.cfg.TTL
	}
	return max(t.cfg.TTL-now.Sub(t.finished[0].entry.ended), 0)
}

// Len returns the number of recorded keys.
func (t *Table) Len() int { return t.count }

// Bytes returns the size of the stored answers.
func (t *Table) Bytes() int64 { return t.bytes }
