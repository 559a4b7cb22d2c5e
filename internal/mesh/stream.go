package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Errors that end a stream. None of them is io.EOF.
var (
	// ErrCut means that the peer ended the stream before its end mark.
	ErrCut = errors.New("mesh: stream was cut by the peer")
	// ErrByteCount means that the length in the end mark of a body differs from
	// the number of bytes that arrived.
	ErrByteCount = errors.New("mesh: length of the body differs from its end mark")
	// ErrRefused means that the peer had too many open streams. No handler saw
	// the stream.
	ErrRefused = errors.New("mesh: stream was refused by the peer")
	// ErrClosed means that this side closed the stream or the connection.
	ErrClosed = errors.New("mesh: closed")
	// ErrBusy means that the connection already has MaxStreams open streams.
	ErrBusy = errors.New("mesh: too many streams to the peer")
	// ErrTooLarge means that a head is larger than MaxHead.
	ErrTooLarge = errors.New("mesh: head or message is too large")

	errOverrun = errors.New("mesh: peer sent more than its window")
	errStopped = errors.New("mesh: sending stopped, the peer has answered")
)

// stream is the part that both sides of a stream have in common: a receiving
// half, which the connection's reader fills, and a sending half, which sends
// only as much as the peer has granted credit for.
type stream struct {
	c       *conn
	id      uint32
	sendCtx sendContext

	// Context of the handler; on the serving side only.
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu   sync.Mutex // guards the fields below
	cond sync.Cond  // signaled on each change; its lock is mu

	// Receiving half.
	head           []byte
	hasHead        bool
	chunks         []*[]byte  // received and not yet read, in order
	chunkArray     [1]*[]byte // backing array of chunks; most bodies need no larger one
	chunkOffset    int        // bytes of chunks[0] that have been read
	receivedBytes  uint64
	receiveWindow  int   // bytes that the peer may still send
	ungrantedBytes int   // bytes read whose credit has not been returned to the peer
	bodyEnded      bool  // the end mark has arrived
	err            error // why the stream failed; not set after the body has ended

	// Sending half.
	sendCredit   int   // bytes that this side may still send
	queuedChunks int   // chunks in the data ring
	takenBytes   int   // credit taken for chunks of the body
	sendErr      error // why the sending half ended; nil while it is open
}

// init binds s to a connection and an ID. The caller must not have shared s
// yet.
func (s *stream) init(c *conn, id uint32) {
	s.c = c
	s.id = id
	if !c.paced {
		s.receiveWindow = c.cfg.Window
	}
	s.sendCredit = c.peerWindow
	s.chunks = s.chunkArray[:0]
	s.cond.L = &s.mu
	s.sendCtx.Context = context.Background()
}

// sendContext is the context with which a stream's goroutine waits for a place
// in the data ring. It ends when the sending half does. Only its Done method
// differs from the embedded context.
type sendContext struct {
	context.Context
	mu     sync.Mutex // guards done and closed
	done   chan struct{}
	closed bool
}

// Done returns a channel that is closed when the sending half has ended.
func (w *sendContext) Done() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done == nil {
		w.done = make(chan struct{})
		if w.closed {
			close(w.done)
		}
	}
	return w.done
}

// end closes the Done channel. Further calls have no effect.
func (w *sendContext) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done != nil && !w.closed {
		close(w.done)
	}
	w.closed = true
}

// fail ends both halves with err. A body that has arrived completely stays
// readable.
func (s *stream) fail(err error) {
	s.mu.Lock()
	if !s.bodyEnded && s.err == nil {
		s.err = err
	}
	if s.sendErr == nil {
		s.sendErr = err
	}
	s.cond.Broadcast()
	s.mu.Unlock()
	s.sendCtx.end()
	if s.cancel != nil {
		s.cancel(err)
	}
}

// stopSending ends only the sending half.
func (s *stream) stopSending(err error) {
	s.mu.Lock()
	if s.sendErr == nil {
		s.sendErr = err
	}
	s.cond.Broadcast()
	s.mu.Unlock()
	s.sendCtx.end()
}

// receiveHead stores the head of the answer. A second head is an error.
func (s *stream) receiveHead(head []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasHead {
		return fmt.Errorf("%w: second head", errMalformed)
	}
	s.head = append([]byte(nil), head...)
	s.hasHead = true
	s.cond.Broadcast()
	return nil
}

// receiveData stores a part of the body. It fails if the peer sent more than
// its window allows.
func (s *stream) receiveData(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil
	}
	if s.bodyEnded {
		return fmt.Errorf("%w: data after the end mark", errMalformed)
	}
	if len(p) > s.receiveWindow {
		return errOverrun
	}
	if len(p) == 0 {
		return nil
	}
	chunk := chunkBuffers.get(len(p))
	copy(*chunk, p)
	s.chunks = append(s.chunks, chunk)
	s.receiveWindow -= len(p)
	s.receivedBytes += uint64(len(p))
	s.cond.Broadcast()
	return nil
}

// receiveEnd ends the body after comparing the length in the end mark with the
// number of bytes that arrived.
func (s *stream) receiveEnd(length uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bodyEnded || s.err != nil {
		return nil
	}
	if length != s.receivedBytes {
		return fmt.Errorf("%w: %d received, %d sent", ErrByteCount, s.receivedBytes, length)
	}
	s.bodyEnded = true
	s.cond.Broadcast()
	return nil
}

// awaitHead waits for the head of the answer and returns it.
func (s *stream) awaitHead() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.hasHead && s.err == nil {
		s.cond.Wait()
	}
	if s.err != nil {
		return nil, s.err
	}
	return s.head, nil
}

// Read implements io.Reader for the body and grants the peer new credit, unless the body is
// paced. It returns io.EOF only after the end mark has arrived.
func (s *stream) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, grant, err := s.read(p)
	if grant > 0 {
		s.c.sendWindow(s.id, grant)
	}
	return n, err
}

// read waits for data and copies it to p. It returns the credit that the caller
// must grant to the peer, which is zero until half of the window has been read, and always if
// the body is paced.
func (s *stream) read(p []byte) (n, grant int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.chunks) == 0 && !s.bodyEnded && s.err == nil {
		s.cond.Wait()
	}
	if s.err != nil {
		return 0, 0, s.err
	}
	if len(s.chunks) == 0 {
		return 0, 0, io.EOF
	}
	for n < len(p) && len(s.chunks) > 0 {
		n += s.readChunk(p[n:])
	}
	s.ungrantedBytes += n
	if s.bodyEnded || s.c.paced || s.ungrantedBytes < s.c.cfg.Window/2 {
		return n, 0, nil
	}
	grant = s.ungrantedBytes
	s.ungrantedBytes = 0
	s.receiveWindow += grant
	return n, grant, nil
}

// readChunk copies from the first chunk to p. The caller holds s.mu.
func (s *stream) readChunk(p []byte) int {
	chunk := s.chunks[0]
	n := copy(p, (*chunk)[s.chunkOffset:])
	s.chunkOffset += n
	if s.chunkOffset == len(*chunk) {
		chunkBuffers.put(chunk)
		s.chunks[0] = nil
		s.chunks = s.chunks[1:]
		s.chunkOffset = 0
		if len(s.chunks) == 0 {
			s.chunks = s.chunkArray[:0]
		}
	}
	return n
}

// discardChunks returns the unread chunks to the pool.
func (s *stream) discardChunks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, chunk := range s.chunks {
		chunkBuffers.put(chunk)
	}
	s.chunks = nil
}
