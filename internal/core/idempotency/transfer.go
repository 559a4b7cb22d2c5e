package idempotency

import (
	"sort"
	"time"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// exportedHistory is the encoding of the history of one slice. It contains ages
// instead of instants, because instants of two daemons cannot be compared.
type exportedHistory struct {
	Age     time.Duration   `codec:"a"` // time for which the history has been complete
	Entries []exportedEntry `codec:"e"` // in order of their ends, oldest first
}

// exportedEntry is the encoding of one entry.
type exportedEntry struct {
	ID          ID            `codec:"i"`
	Fingerprint Fingerprint   `codec:"f"`
	Truth       errkind.Truth `codec:"t"`
	Answer      *Answer       `codec:"w"`
	Age         time.Duration `codec:"a"` // time since the end of the run
}

// ExportSlice encodes the history of a slice for its next owner. A run that has not
// ended is exported with an unknown execution status.
func (t *Table) ExportSlice(now ident.Instant, s ident.Slice) ([]byte, error) {
	t.expireEntries(now)
	h := t.histories[s]
	if h == nil {
		return codec.Marshal(&exportedHistory{})
	}
	out := exportedHistory{Age: now.Sub(h.completeSince)}
	for id, e := range h.entries {
		out.Entries = append(out.Entries, e.exportEntry(now, id))
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].sortsBefore(&out.Entries[j]) })
	return codec.Marshal(&out)
}

func (e *entry) exportEntry(now ident.Instant, id ID) exportedEntry {
	out := exportedEntry{ID: id, Fingerprint: e.fingerprint, Truth: e.truth, Answer: e.answer}
	if e.running {
		out.Truth = errkind.Unknown
		return out
	}
	out.Age = now.Sub(e.endedAt)
	return out
}

// sortsBefore reports whether a comes before b: by the end of the run, then by ID.
func (a *exportedEntry) sortsBefore(b *exportedEntry) bool {
	if a.Age != b.Age {
		return a.Age > b.Age
	}
	if a.ID.Key != b.ID.Key {
		return a.ID.Key < b.ID.Key
	}
	return a.ID.Token < b.ID.Token
}

// ImportSlice adds an exported history. The caller imports it before this daemon
// serves the slice. Entries that the table already has stay unchanged. An error
// means that data is malformed; its kind is errkind.PeerProtocol.
func (t *Table) ImportSlice(now ident.Instant, s ident.Slice, data []byte) error {
	var in exportedHistory
	if err := codec.Unmarshal(data, &in); err != nil {
		return errkind.New(errkind.PeerProtocol, "idempotency record: %w", err)
	}
	h := t.histories[s]
	if h == nil {
		h = &history{entries: make(map[ID]*entry)}
		t.histories[s] = h
	}
	h.completeSince = now.Add(-clampAge(in.Age, t.cfg.TTL))
	h.imported = true
	for i := range in.Entries {
		t.importEntry(now, s, h, &in.Entries[i])
	}
	sort.SliceStable(t.finished, func(i, j int) bool {
		return t.finished[i].entry.endedAt < t.finished[j].entry.endedAt
	})
	return nil
}

// importEntry adds one entry. It may exceed MaxEntries, because a handoff must not
// lose an entry.
func (t *Table) importEntry(now ident.Instant, s ident.Slice, h *history, in *exportedEntry) {
	if h.entries[in.ID] != nil {
		return
	}
	e := &entry{
		fingerprint: in.Fingerprint,
		truth:       errkind.Unknown,
		endedAt:     now.Add(-clampAge(in.Age, t.cfg.TTL)),
	}
	if in.Truth == errkind.Ran {
		e.truth = errkind.Ran
	}
	h.entries[in.ID] = e
	t.entryCount++
	t.finished = append(t.finished, finishedEntry{slice: s, id: in.ID, entry: e})
	if in.Answer != nil && in.Answer.size() <= t.cfg.MaxAnswer {
		t.storeAnswer(e, in.Answer)
	}
}

// clampAge limits the age d, which a peer sent, to the range from 0 to ttl.
func clampAge(d, ttl time.Duration) time.Duration { return min(max(d, 0), ttl) }

// ForgetSlice removes the history of a slice that another daemon now owns. It does
// nothing while a request of the slice is running.
func (t *Table) ForgetSlice(s ident.Slice) {
	h := t.histories[s]
	if h == nil {
		return
	}
	for _, e := range h.entries {
		if e.running {
			return // End will be called for this entry
		}
	}
	for _, e := range h.entries {
		t.dropAnswer(e)
		t.entryCount--
	}
	delete(t.histories, s)
}
