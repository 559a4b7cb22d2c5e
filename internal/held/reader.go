package held

import (
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/heldmem"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// started is the origin of the instants of readers.
var started = time.Now()

// Reader is one that reads an answer, and may be cut when there is too little memory.
type Reader struct {
	m     *Memory
	cut   func()
	state heldmem.Reader // guarded by Memory.mu
	isCut bool           // guarded by Memory.mu

	ending sync.Mutex // held while cut runs; guards ended
	ended  bool
}

// Track records a reader of an answer that holds some bytes, since a time. cut is called at
// most once, and must not block: the answer must then end in a way that cannot be taken for
// its end. The caller calls End once the answer is no longer held for the reader.
func (m *Memory) Track(bytes int64, since time.Time, cut func()) *Reader {
	r := &Reader{m: m, cut: cut, state: heldmem.Reader{Held: bytes, Since: ident.Instant(since.Sub(started))}}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readers == nil {
		m.readers = make(map[*Reader]struct{})
	}
	m.readers[r] = struct{}{}
	return r
}

// Take records that the reader has taken more bytes.
func (r *Reader) Take(bytes int) {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	r.state.Taken += int64(bytes)
}

// cutNow calls cut unless the reader has ended.
func (r *Reader) cutNow() {
	r.ending.Lock()
	defer r.ending.Unlock()
	if !r.ended {
		r.cut()
	}
}

// End ends the record of the reader. It is not cut afterwards.
func (r *Reader) End() {
	r.ending.Lock()
	r.ended = true
	r.ending.Unlock()
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	delete(r.m.readers, r)
}
