package mesh

import (
	"errors"
	"io"
	"math"
)

// maxCredit bounds the credit that a peer can grant, so that sums do not
// overflow.
const maxCredit = math.MaxInt32

// addCredit adds the credit that the peer granted.
func (s *stream) addCredit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendCredit = min(s.sendCredit+n, maxCredit)
	s.cond.Broadcast()
}

// hasCredit reports whether takeCredit would not wait for credit.
func (s *stream) hasCredit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sendCredit > 0
}

// takeCredit waits until the stream has credit and fewer than maxQueuedChunks
// chunks in the data ring. It then takes at most want bytes of credit, counts
// one chunk as queued, and returns the bytes taken.
func (s *stream) takeCredit(want int) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.sendErr == nil && (s.sendCredit == 0 || s.queuedChunks >= maxQueuedChunks) {
		s.cond.Wait()
	}
	if s.sendErr != nil {
		return 0, s.sendErr
	}
	n := min(want, s.sendCredit)
	s.sendCredit -= n
	s.takenBytes += n
	s.queuedChunks++
	return n, nil
}

// returnCredit returns the part of the credit from takeCredit that was not
// used.
func (s *stream) returnCredit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendCredit += n
	s.takenBytes -= n
}

// endedBefore reports whether the sending half ended before all of a body of a length was taken
// for sending: the peer will never have the whole body.
func (s *stream) endedBefore(length int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sendErr != nil && s.takenBytes < length
}

// chunkWritten records that the writer has written, or skipped, a chunk of this
// stream.
func (s *stream) chunkWritten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedChunks--
	s.cond.Broadcast()
}

// bodySender encodes a body as data frames with an end mark.
type bodySender struct {
	s         *stream
	body      io.Reader
	length    int // of the body, zero if it is not known
	sentBytes uint64
	ended     bool // the end mark is in an item
}

// lengthReader is implemented by readers over memory that know how many bytes
// are left, such as bytes.Reader. The first chunk of such a body is sent with
// the head unless it is paced, and its last chunk with the end mark. Any other reader may block,
// so the head is sent before it is read.
type lengthReader interface{ Len() int }

// firstItem returns the item with the head and, if the body is a lengthReader,
// its first chunk.
func (b *bodySender) firstItem(kind frameType, head []byte, otherRefs int32) (*item, error) {
	it := newItem(otherRefs)
	it.buf = appendFrame(it.buf, kind, b.s.id, head)
	if b.body == nil {
		b.appendEndMark(it)
		return it, nil
	}
	r, ok := b.body.(lengthReader)
	if !ok {
		return it, nil
	}
	b.length = r.Len()
	switch {
	case b.length == 0:
		b.appendEndMark(it)
		return it, nil
	case b.s.c.m.sendPace != nil || !b.s.hasCredit():
		return it, nil // the rest of the body follows when the links have room
	}
	if err := b.appendChunk(it); err != nil {
		return nil, err
	}
	return it, nil
}

// queueRest queues the part of the body that firstItem did not encode.
func (b *bodySender) queueRest() error {
	for !b.ended {
		it := newItem(0)
		if err := b.appendChunk(it); err != nil {
			return err
		}
		b.s.c.m.sendPace.await(b.s, len(it.buf))
		if err := b.s.queueItem(it); err != nil {
			return err
		}
	}
	return nil
}

// appendChunk reads a chunk of the body and appends it to the item as a data
// frame, followed by the end mark if the body has ended.
func (b *bodySender) appendChunk(it *item) error {
	n, err := b.s.takeCredit(b.s.c.cfg.Chunk)
	if err != nil {
		return err
	}
	it.chunkStream = b.s
	start := len(it.buf)
	it.buf = appendHeader(it.buf, frameData, b.s.id, 0)
	it.buf = grow(it.buf, n)
	got, err := b.body.Read(it.buf[len(it.buf)-n:])
	b.s.returnCredit(n - got)
	if got == 0 {
		it.buf = it.buf[:start]
	} else {
		it.buf = it.buf[:len(it.buf)-n+got]
		appendHeader(it.buf[:start], frameData, b.s.id, got)
	}
	b.sentBytes += uint64(got)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if r, ok := b.body.(lengthReader); err != nil || (ok && r.Len() == 0) {
		b.appendEndMark(it)
	}
	return nil
}

// appendEndMark appends the end mark to the item.
func (b *bodySender) appendEndMark(it *item) {
	it.buf = appendEnd(it.buf, b.s.id, b.sentBytes)
	b.ended = true
}

// grow returns p extended by n bytes.
func grow(p []byte, n int) []byte {
	if cap(p)-len(p) >= n {
		return p[:len(p)+n]
	}
	bigger := make([]byte, len(p)+n, max(len(p)+n, DefaultChunk+1024))
	copy(bigger, p)
	return bigger
}

// queueItem puts an item into the data ring. While the ring is full, it waits
// until the sending half ends.
func (s *stream) queueItem(it *item) error {
	if s.c.data.Put(&s.sendCtx, it) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sendErr != nil {
		return s.sendErr
	}
	return ErrClosed
}
