package idempotency

import (
	"sort"
	"time"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// transfer is the encoded record of one slice. Ages replace instants, since the
// clocks of two daemons cannot be compared.
type transfer struct {
	Age     time.Duration   `codec:"a"` // for how long the record is whole
	Entries []transferEntry `codec:"e"` // oldest end first
}

type transferEntry struct {
	ID          ID            `codec:"i"`
	Fingerprint Fingerprint   `codec:"f"`
	Truth       errkind.Truth `codec:"t"`
	Answer      *Answer       `codec:"w"`
	Age         time.Duration `codec:"a"` // since the end of the run
}

// ExportSlice encodes the record of a slice for its next owner. A run that has not
// ended is exported with an unknown outcome.
func (t *Table) ExportSlice(now ident.Instant, s ident.Slice) ([]byte, error) {
	t.expire(now)
	h := t.histories[s]
	if h == nil {
		return codec.Marshal(&transfer{})
	}
	out := transfer{Age: now.Sub(h.since)}
	for id, e := range h.entries {
		out.Entries = append(out.Entries, e.export(now, id))
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].before(&out.Entries[j]) })
	return codec.Marshal(&out)
}

func (e *entry) export(now ident.Instant, id ID) transferEntry {
	out := transferEntry{ID: id, Fingerprint: e.fingerprint, Truth: e.truth, Answer: e.answer}
	if e.running {
		out.Truth = errkind.Unknown
		return out
	}
	out.Age = now.Sub(e.ended)
	return out
}

func (a *transferEntry) before(b *transferEntry) bool {
	if a.Age != b.Age {
		return a.Age > b.Age
	}
	if a.ID.Key != b.ID.Key {
		return a.ID.Key < b.ID.Key
	}
	return a.ID.Token < b.ID.Token
}

// ImportSlice adds an exported record before the slice is served here. Keys that are
// recorded already stay as they are.
func (t *Table) ImportSlice(now ident.Instant, s ident.Slice, data []byte) error {
	var in transfer
	if err := codec.Unmarshal(data, &in); err != nil {
		return errkind.New(errkind.PeerProtocol, "idempotency record: %w", err)
	}
	h := t.histories[s]
	if h == nil {
		h = &history{entries: make(map[ID]*entry)}
		t.histories[s] = h
	}
	h.since = now.Add(-clampAge(in.Age, t.cfg.TTL))
	h.imported = true
	for i := range in.Entries {
		t.importEntry(now, s, h, &in.Entries[i])
	}
	sort.SliceStable(t.finished, func(i, j int) bool {
		return t.finished[i].entry.ended < t.finished[j].entry.ended
	})
	return nil
}

// importEntry may exceed MaxEntries: a key must not be forgotten by a handoff.
func (t *Table) importEntry(now ident.Instant, s ident.Slice, h *history, in *transferEntry) {
	if h.entries[in.ID] != nil {
		return
	}
	e := &entry{
		fingerprint: in.Fingerprint,
		truth:       errkind.Unknown,
		ended:       now.Add(-clampAge(in.Age, t.cfg.TTL)),
	}
	if in.Truth == errkind.Ran {
		e.truth = errkind.Ran
	}
	h.entries[in.ID] = e
	t.count++
	t.finished = append(t.finished, ended{slice: s, id: in.ID, entry: e})
	if in.Answer != nil && in.Answer.size() <= t.cfg.MaxAnswer {
		t.keep(e, in.Answer)
	}
}

func clampAge(d, ttl time.Duration) time.Duration { return min(max(d, 0), ttl) }

// ForgetSlice drops the record of a slice that another daemon owns now.
func (t *Table) ForgetSlice(s ident.Slice) {
	h := t.histories[s]
	if h == nil {
		return
	}
	for _, e := range h.entries {
		if e.running {
			return // its end is still to come
		}
	}
	for _, e := range h.entries {
		t.drop(e)
		t.count--
	}
	delete(t.histories, s)
}
