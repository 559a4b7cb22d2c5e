package held

import (
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

// End ends the record of the reader.
func (r *Reader) End() {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	delete(r.m.readers, r)
}
