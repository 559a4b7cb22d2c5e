package logserver

import (
	"errors"
	"sync"
	"time"
)

var errTruncated = errors.New("logserver: offset is older than the oldest record kept")

// Entry is one record of a stream with its offset.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Bounds are the offsets that a stream holds.
type Bounds struct {
	Oldest uint64 `json:"oldest"`
	Next   uint64 `json:"next"`
}

type storedRecord struct {
	data    []byte
	written time.Time
}

// stream is one append-only stream. Offsets start at zero and have no gaps.
type stream struct {
	mu      sync.Mutex // guards the fields below
	oldest  uint64
	records []storedRecord
	grown   chan struct{} // closed and replaced by each append
}

func newStream() *stream { return &stream{grown: make(chan struct{})} }

func (s *stream) append(records [][]byte, now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.oldest + uint64(len(s.records))
	for _, data := range records {
		s.records = append(s.records, storedRecord{data: data, written: now})
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

// read returns at most limit entries from an offset on and a channel that is
// closed by the next append.
func (s *stream) read(from uint64, limit int) ([]Entry, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.oldest {
		return nil, nil, errTruncated
	}
	skip := from - s.oldest
	if skip >= uint64(len(s.records)) {
		return nil, s.grown, nil
	}
	rest := s.records[skip:]
	rest = rest[:min(limit, len(rest))]
	entries := make([]Entry, len(rest))
	for i, r := range rest {
		entries[i] = Entry{Offset: from + uint64(i), Data: r.data}
	}
	return entries, s.grown, nil
}

func (s *stream) bounds() Bounds {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Bounds{Oldest: s.oldest, Next: s.oldest + uint64(len(s.records))}
}

// keep drops the oldest records so that at most n remain.
func (s *stream) keep(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(len(s.records) - n)
}

// expire drops the records written before the given time.
func (s *stream) expire(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.records) && s.records[n].written.Before(before) {
		n++
	}
	s.drop(n)
}

// drop removes the n oldest records. The caller holds s.mu.
func (s *stream) drop(n int) {
	if n <= 0 {
		return
	}
	s.oldest += uint64(n)
	s.records = append([]storedRecord(nil), s.records[n:]...)
}

// store is the set of streams; a stream exists from its first use on.
type store struct {
	mu      sync.Mutex // guards streams
	streams map[string]*stream
}

func newStore() *store { return &store{streams: make(map[string]*stream)} }

func (s *store) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

func (s *store) each(f func(*stream)) {
	s.mu.Lock()
	all := make([]*stream, 0, len(s.streams))
	for _, st := range s.streams {
		all = append(all, st)
	}
	s.mu.Unlock()
	for _, st := range all {
		f(st)
	}
}
