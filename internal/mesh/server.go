package mesh

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

var errResponded = errors.New("mesh: stream was answered already")

// serverStream implements ServerStream.
type serverStream struct {
	stream
	head     []byte
	finished atomic.Bool // Respond or Reset was called
}

// handleOpen registers the stream that the peer opened and starts its handler.
func (c *conn) handleOpen(f frame) error {
	if c.dialed {
		return fmt.Errorf("%w: open from the serving side", errMalformed)
	}
	if c.isClosing() {
		return nil // a closing connection answers no new streams
	}
	ss := &serverStream{head: append([]byte(nil), f.payload...)}
	err := c.acceptStream(&ss.stream, f.stream)
	if errors.Is(err, ErrBusy) {
		c.sendReset(f.stream, resetRefused, nil)
		return nil
	}
	if err != nil {
		return err
	}
	c.m.workers.runHandler(ss)
	return nil
}

// serve runs the handler of the stream. If the handler neither responds nor
// resets, serve cuts the stream.
func (ss *serverStream) serve() {
	defer ss.cancel(nil)
	defer ss.discardChunks()
	defer ss.fail(ErrClosed) // wakes a goroutine of the handler that still reads the body
	defer ss.c.removeStream(ss.id)
	defer ss.reset(resetCut, nil)
	ss.c.m.streamHandler.HandleStream(ss.ctx, ss.c.peer, ss)
}

// Head returns the encoded head of the request.
func (ss *serverStream) Head() []byte { return ss.head }

// Body returns a reader of the request body.
func (ss *serverStream) Body() io.Reader { return &ss.stream }

// Respond implements ServerStream. It returns once the end mark is queued.
func (ss *serverStream) Respond(head []byte, body io.Reader) error {
	if ss.finished.Swap(true) {
		return errResponded
	}
	err := ss.respond(head, body)
	if err != nil {
		ss.c.sendReset(ss.id, resetCut, nil)
	}
	return err
}

// respond queues the head, the body and the end mark of the answer.
func (ss *serverStream) respond(head []byte, body io.Reader) error {
	if len(head) > ss.c.cfg.MaxHead {
		return ErrTooLarge
	}
	b := &bodySender{s: &ss.stream, body: body}
	it, err := b.firstItem(frameHead, head, 0)
	if err != nil {
		return fmt.Errorf("mesh: answer: %w", err)
	}
	if err := ss.queueItem(it); err != nil {
		return fmt.Errorf("mesh: answer: %w", err)
	}
	if err := b.queueRest(); err != nil {
		return fmt.Errorf("mesh: answer: %w", err)
	}
	return nil
}

// Reset implements ServerStream.
func (ss *serverStream) Reset(reason []byte) { ss.reset(resetReason, reason) }

// reset sends a reset unless the stream was answered or reset before.
func (ss *serverStream) reset(code resetCode, reason []byte) {
	if ss.finished.Swap(true) {
		return
	}
	ss.c.sendReset(ss.id, code, reason)
}
