package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
)

// clientStream implements ClientStream.
type clientStream struct {
	stream
	sender           bodySender
	head             []byte
	stopContextWatch func() bool // ends the watch on the caller's context
	closeOnce        sync.Once

	openMu        sync.Mutex // guards the fields below
	openItem      *item      // holds the open frame; nil after sendRequest
	openWithdrawn bool       // openItem was withdrawn before any byte of it was written
}

// Open implements Transport. If body is an io.Closer, it is closed when it is
// no longer read, which may be after Open has returned. If body has a Len
// method, as bytes.Reader does, its first chunk is sent together with the head.
func (m *Mesh) Open(ctx context.Context, to Peer, head []byte, body io.Reader) (ClientStream, error) {
	cs := new(clientStream)
	cs.sender = bodySender{s: &cs.stream, body: body}
	it, err := cs.prepareOpen(ctx, m, to, head)
	if err != nil {
		cs.sender.closeBody()
		return nil, &UnsentError{Err: err}
	}
	cs.openItem = it
	cs.stopContextWatch = context.AfterFunc(ctx, func() { cs.cancel(context.Cause(ctx)) })
	if err := cs.sendRequest(it); err != nil {
		_ = cs.Close()
		return nil, err
	}
	return cs, nil
}

// prepareOpen registers the stream with a connection to the peer and encodes
// its first item.
func (cs *clientStream) prepareOpen(ctx context.Context, m *Mesh, to Peer, head []byte) (*item, error) {
	if len(head) > m.cfg.MaxHead {
		return nil, ErrTooLarge
	}
	if err := m.linkTo(to.Addr).openStream(ctx, to, &cs.stream); err != nil {
		return nil, err
	}
	it, err := cs.sender.firstItem(frameOpen, head, 1)
	if err != nil {
		cs.c.removeStream(cs.id)
		return nil, err
	}
	return it, nil
}

// sendRequest sends the request and waits for the head of the answer.
func (cs *clientStream) sendRequest(it *item) error {
	defer cs.releaseOpenItem()
	if err := cs.queueItem(it); err != nil {
		cs.sender.closeBody()
		return &UnsentError{Err: err}
	}
	if cs.sender.ended {
		cs.sender.closeBody()
	} else if !cs.c.m.spawn("send", cs.sendRestOfBody) {
		cs.sender.closeBody()
		cs.cancel(ErrClosed)
	}
	var err error
	cs.head, err = cs.awaitHead()
	if err == nil {
		return nil
	}
	return cs.classifyOpenError(err)
}

// withdrawOpen withdraws the open frame if no byte of it has been written, and
// reports whether the frame is withdrawn. The peer never sees a stream whose
// open frame was withdrawn.
func (cs *clientStream) withdrawOpen() bool {
	cs.openMu.Lock()
	defer cs.openMu.Unlock()
	if cs.openItem != nil && cs.openItem.withdraw() {
		cs.openWithdrawn = true
	}
	return cs.openWithdrawn
}

// releaseOpenItem releases the stream's reference to the item with the open
// frame.
func (cs *clientStream) releaseOpenItem() {
	cs.openMu.Lock()
	defer cs.openMu.Unlock()
	cs.openItem.release()
	cs.openItem = nil
}

// classifyOpenError wraps the error of a stream that failed before the head of
// the answer arrived. It returns *UnsentError if no handler can have seen the
// stream, *ResetError if the handler reset it, and *CutBodyError if no handler can
// have seen all of the body.
func (cs *clientStream) classifyOpenError(err error) error {
	var reset *ResetError
	switch {
	case cs.withdrawOpen():
		return &UnsentError{Err: err}
	case errors.Is(err, ErrRefused):
		return &UnsentError{Err: err}
	case errors.As(err, &reset):
		return err
	case cs.endedBefore(cs.sender.length):
		return &CutBodyError{Err: err}
	default:
		return fmt.Errorf("mesh: no answer: %w", err)
	}
}

// sendRestOfBody sends the part of the body that did not fit into the first
// item. An error of reading the body cancels this stream only; the connection
// stays open.
func (cs *clientStream) sendRestOfBody() {
	defer cs.sender.closeBody()
	err := cs.sender.queueRest()
	if err != nil && !errors.Is(err, errStopped) {
		cs.cancel(fmt.Errorf("mesh: request body: %w", err))
	}
}

// closeBody closes the body if it is an io.Closer.
func (b *bodySender) closeBody() {
	if c, ok := b.body.(io.Closer); ok {
		_ = c.Close()
	}
}

// cancel ends the stream on this side and sends the peer a reset. It first
// tries to withdraw the open frame, since a reset is urgent and would overtake
// it.
func (cs *clientStream) cancel(err error) {
	unsent := cs.withdrawOpen()
	cs.fail(err)
	if cs.c.removeStream(cs.id) && !unsent {
		cs.c.sendReset(cs.id, resetCut, nil)
	}
}

// Head returns the encoded head of the answer.
func (cs *clientStream) Head() []byte { return cs.head }

// Body returns a reader of the answer body.
func (cs *clientStream) Body() io.ReadCloser { return cs }

// Close ends the stream. If the answer has not ended, Close cancels the request
// at the peer.
func (cs *clientStream) Close() error {
	cs.closeOnce.Do(func() {
		cs.stopContextWatch()
		cs.cancel(ErrClosed)
		cs.discardChunks()
	})
	return nil
}
