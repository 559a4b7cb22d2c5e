// Package held counts the bytes that a daemon holds for others in one place and bounds them:
// the bodies of requests, the answers that are being read from the backend server or another
// daemon, those that wait until a caller or another daemon has taken them, and the buffers of
// the connections of callers. Package heldmem decides on the bounds and on whose answers are
// given up.
package held

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/heldmem"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// LongBytes is the length in bytes from which a body or an answer waits for room. Shorter ones
// are counted only.
const LongBytes = 64 << 10

// ErrFull means that there is no room for more bytes, after a brief wait.
var ErrFull = errors.New("held: too many bytes are held for others")

// Memory counts and bounds the bytes. Its zero value has the limits of a process of unknown
// memory. It is safe for concurrent use.
type Memory struct {
	limits heldmem.Limits // zero stands for those of unknown memory

	total, bodies, answers, reading atomic.Int64
	heads, wide                     atomic.Int64 // of total: in long heads, and in wide sockets
	waiting                         atomic.Int32 // length of waiters
	cuts, unread                    atomic.Int64
	garbage                         atomic.Int64 // long holdings that were released since the last collect
	collecting                      sync.Mutex

	mu      sync.Mutex // guards the fields below
	waiters []*waiter  // in the order of their arrival
	readers map[*Reader]struct{}
}

// waiter is an answer that waits for room.
type waiter struct {
	bytes int64
	ready chan struct{} // closed once its bytes are reserved
}

// New returns a Memory with limits.
func New(l heldmem.Limits) *Memory { return &Memory{limits: l} }

var fixedLimits = heldmem.LimitsOf(0)

func (m *Memory) bounds() *heldmem.Limits {
	if m.limits.Total == 0 {
		return &fixedLimits
	}
	return &m.limits
}

// Bytes returns the bytes that are held now: all, and of them those of long request bodies and
// of long answers.
func (m *Memory) Bytes() (total, bodies, answers int64) {
	return m.total.Load(), m.bodies.Load(), m.answers.Load()
}

// Known reports whether the bounds follow from the memory of the process.
func (m *Memory) Known() bool { return m.bounds().Known() }

// Cuts returns how many readers of answers have been cut for others' sake, and how many were
// because they took nothing.
func (m *Memory) Cuts() (slow, unread int64) { return m.cuts.Load(), m.unread.Load() }

// CountUnread counts a reader that was cut because it took nothing.
func (m *Memory) CountUnread() { m.unread.Add(1) }

// add adds bytes to a counter unless it would exceed a limit.
func add(counter *atomic.Int64, n, limit int64) bool {
	if counter.Add(n) <= limit {
		return true
	}
	counter.Add(-n)
	return false
}

// Reserve reserves room for a request body of some bytes and reports whether there is any. The
// caller calls Release with the same length once the body is no longer used.
func (m *Memory) Reserve(bytes int) bool {
	l, n := m.bounds(), int64(bytes)
	if bytes < LongBytes {
		return add(&m.total, n, l.Over)
	}
	if !add(&m.bodies, n, l.Bodies) {
		return false
	}
	if add(&m.total, n, l.Total) {
		m.collect()
		return true
	}
	m.bodies.Add(-n)
	return false
}

// HasRoom reports whether there is room for a request body of some bytes now.
func (m *Memory) HasRoom(bytes int) bool {
	l, n := m.bounds(), int64(bytes)
	return m.bodies.Load()+n <= l.Bodies && m.total.Load()+n <= l.Total
}

// Release ends a reservation.
func (m *Memory) Release(bytes int) {
	if bytes >= LongBytes {
		m.bodies.Add(-int64(bytes))
		m.garbage.Add(int64(bytes))
	}
	m.free(int64(bytes))
}

// collect collects garbage before another long holding is allocated, if the memory of those
// that were released may not have come free and, with what is held, exceeds the bound: the
// collector starts too late for a few holdings of many megabytes.
func (m *Memory) collect() {
	l, garbage := m.bounds(), m.garbage.Load()
	if !l.Known() || garbage < l.Garbage || garbage+m.total.Load() <= l.Total || !m.collecting.TryLock() {
		return
	}
	defer m.collecting.Unlock()
	m.garbage.Store(0)
	runtime.GC()
}

// AddConnection counts the buffers of a caller's connection, until RemoveConnection.
func (m *Memory) AddConnection() { m.total.Add(heldmem.ConnectionBytes) }

// RemoveConnection is the inverse of AddConnection.
func (m *Memory) RemoveConnection() { m.free(heldmem.ConnectionBytes) }

// ReserveRequest reserves what a request of a caller takes while it is served, besides its body,
// and reports whether there is room for it: the kernel's buffers of its connection, and its head
// beyond what the connection is counted for. The caller calls ReleaseRequest with the same length.
func (m *Memory) ReserveRequest(head int) bool {
	l, n := m.bounds(), int64(head)
	if n > 0 && !add(&m.heads, n, l.Heads) {
		m.garbage.Add(n) // it has been parsed
		m.collect()
		return false
	}
	if add(&m.total, n+heldmem.RequestSocketBytes, l.Over) {
		return true
	}
	m.heads.Add(-n)
	return false
}

// ReleaseRequest is the inverse of ReserveRequest.
func (m *Memory) ReleaseRequest(head int) {
	n := int64(head)
	m.heads.Add(-n)
	m.garbage.Add(n)
	m.free(n + heldmem.RequestSocketBytes)
}

// WidenSocket counts the larger buffers of a connection and reports whether there is room for
// them. The caller calls NarrowSocket at the end of the connection.
func (m *Memory) WidenSocket() bool {
	l := m.bounds()
	if !add(&m.wide, heldmem.WideSocketBytes, l.Wide) {
		return false
	}
	if add(&m.total, heldmem.WideSocketBytes, l.Total) {
		return true
	}
	m.wide.Add(-heldmem.WideSocketBytes)
	return false
}

// NarrowSocket is the inverse of WidenSocket.
func (m *Memory) NarrowSocket() {
	m.wide.Add(-heldmem.WideSocketBytes)
	m.free(heldmem.WideSocketBytes)
}

// UnreadBytes returns how many bytes of answers the kernel may hold for callers of idle
// connections.
func (m *Memory) UnreadBytes() int64 { return m.bounds().Unread }

// free subtracts bytes from the total and wakes those that wait for them.
func (m *Memory) free(n int64) {
	m.total.Add(-n)
	if m.waiting.Load() > 0 {
		m.wake()
	}
}

// Answer is the room that one answer takes. Its zero value takes none. Only one goroutine at a
// time may use it.
type Answer struct {
	m       *Memory
	total   int64
	long    int64 // of total: waited for room
	reading bool
}

// NewAnswer returns the room of an answer that is going to be read. Count and Grow reserve it.
func (m *Memory) NewAnswer() Answer { return Answer{m: m, reading: true} }

// Count reserves bytes of an answer without a wait, for short answers and what has arrived
// already. It fails only far beyond the bound.
func (a *Answer) Count(bytes int) error {
	if !add(&a.m.total, int64(bytes), a.m.bounds().Over) {
		return ErrFull
	}
	a.total += int64(bytes)
	return nil
}

// Uncount gives back bytes that Count has reserved.
func (a *Answer) Uncount(bytes int) {
	a.total -= int64(bytes)
	a.m.free(int64(bytes))
}

// Grow waits until there is room for more bytes of an answer. While there is none, it makes
// slow readers of other answers give theirs up.
func (a *Answer) Grow(ctx context.Context, bytes int) error {
	if err := a.m.await(ctx, int64(bytes)); err != nil {
		return err
	}
	a.total += int64(bytes)
	a.long += int64(bytes)
	a.m.collect()
	return nil
}

// Shrink gives back bytes that Grow has reserved.
func (a *Answer) Shrink(bytes int) {
	a.total -= int64(bytes)
	a.long -= int64(bytes)
	a.m.subtractLong(int64(bytes), a.reading)
}

// DoneReading records that the answer has been read whole. It now waits to be taken.
func (a *Answer) DoneReading() {
	if a.m == nil || !a.reading {
		return
	}
	a.reading = false
	a.m.reading.Add(-a.long)
	if a.m.waiting.Load() > 0 {
		a.m.wake()
	}
}

// Release ends the reservation. Further calls have no effect.
func (a *Answer) Release() {
	if a.m == nil {
		return
	}
	m, short, long := a.m, a.total-a.long, a.long
	a.m = nil
	if short > 0 {
		m.free(short)
	}
	if long > 0 {
		m.subtractLong(long, a.reading)
	}
}

// Equal reports whether both take the same room.
func (a Answer) Equal(b Answer) bool { return a == b }

// Bytes returns the reserved bytes.
func (a *Answer) Bytes() int64 { return a.total }

func (m *Memory) subtractLong(n int64, reading bool) {
	m.answers.Add(-n)
	m.garbage.Add(n)
	if reading {
		m.reading.Add(-n)
	}
	m.free(n)
}

// tryAnswer reserves bytes of an answer that is being read if there is room.
func (m *Memory) tryAnswer(n int64) bool {
	l := m.bounds()
	if !add(&m.reading, n, l.Reading) {
		return false
	}
	if add(&m.answers, n, l.Answers) {
		if add(&m.total, n, l.Total) {
			return true
		}
		m.answers.Add(-n)
	}
	m.reading.Add(-n)
	return false
}

// await reserves bytes of an answer that is being read. It waits while there is no room, and
// after others that wait.
func (m *Memory) await(ctx context.Context, n int64) error {
	if m.waiting.Load() == 0 && m.tryAnswer(n) {
		return nil
	}
	l := m.bounds()
	if l.GiveUp == 0 || n > l.Answers {
		return ErrFull
	}
	w := &waiter{bytes: n, ready: make(chan struct{})}
	m.mu.Lock()
	m.waiters = append(m.waiters, w)
	m.waiting.Add(1)
	m.mu.Unlock()
	m.wake() // what came free meanwhile was not for this one
	cut, giveUp := time.NewTimer(l.CutAfter), time.NewTimer(l.GiveUp)
	defer cut.Stop()
	defer giveUp.Stop()
	for {
		select {
		case <-w.ready:
			return nil
		case <-cut.C:
			m.cutReaders()
			cut.Reset(l.CutAfter)
			continue
		case <-giveUp.C:
		case <-ctx.Done():
		}
		return m.withdraw(w)
	}
}

// withdraw ends the wait of a waiter. It returns nil if its bytes have been reserved.
func (m *Memory) withdraw(w *waiter) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, other := range m.waiters {
		if other == w {
			m.waiters = append(m.waiters[:i], m.waiters[i+1:]...)
			m.waiting.Add(-1)
			m.wakeLocked()
			return ErrFull
		}
	}
	return nil
}

// wake reserves the bytes of the first waiters that there is room for.
func (m *Memory) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeLocked()
}

func (m *Memory) wakeLocked() {
	for len(m.waiters) > 0 && m.tryAnswer(m.waiters[0].bytes) {
		close(m.waiters[0].ready)
		m.waiters = m.waiters[1:]
		m.waiting.Add(-1)
	}
}

// cutReaders cuts slow readers until all that wait would have room.
func (m *Memory) cutReaders() {
	now := ident.Instant(time.Since(started))
	var cut []*Reader
	m.mu.Lock()
	l := m.bounds()
	var wanted int64
	for _, w := range m.waiters {
		wanted += w.bytes
	}
	need := max(m.answers.Load()+wanted-l.Answers, m.total.Load()+wanted-l.Total)
	tracked, states := make([]*Reader, 0, len(m.readers)), make([]heldmem.Reader, 0, len(m.readers))
	for r := range m.readers {
		if r.isCut { // its memory comes free soon
			need -= r.state.Held
			continue
		}
		tracked, states = append(tracked, r), append(states, r.state)
	}
	for _, i := range heldmem.ChooseCut(states, need, now) {
		tracked[i].isCut = true
		cut = append(cut, tracked[i])
	}
	m.mu.Unlock()
	for _, r := range cut {
		m.cuts.Add(1)
		r.cutNow()
	}
}
