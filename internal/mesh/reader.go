package mesh

import (
	"fmt"
	"io"

	"github.com/fasthttp/websocket"

	"github.com/burdockfold/burdockfold/internal/codec"
)

// readLoop reads and dispatches messages until the connection ends.
func (c *conn) readLoop() error {
	for {
		kind, r, err := c.ws.NextReader()
		if err != nil {
			return fmt.Errorf("mesh: read: %w", err)
		}
		if kind != websocket.BinaryMessage {
			return fmt.Errorf("%w: message of type %d", errMalformed, kind)
		}
		c.lastRead.Store(c.m.now())
		if err := c.readMessage(r); err != nil {
			return err
		}
	}
}

func (c *conn) readMessage(r io.Reader) error {
	message := messageBuffers.get(0)
	defer messageBuffers.put(message)
	if err := readAll(message, r); err != nil {
		return fmt.Errorf("mesh: read: %w", err)
	}
	c.m.counts.bytesReceived.Add(uint64(len(*message)))
	return c.dispatchAll(*message)
}

// readAll reads r to its end into *p.
func readAll(p *[]byte, r io.Reader) error {
	buf := *p
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, make([]byte, max(readBufferBytes, len(buf)))...)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		*p = buf
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// dispatchAll dispatches each frame of a message.
func (c *conn) dispatchAll(message []byte) error {
	for len(message) > 0 {
		f, rest, err := nextFrame(message)
		if err != nil {
			return err
		}
		if err := c.dispatch(f); err != nil {
			return err
		}
		message = rest
	}
	return nil
}

// dispatch handles one frame. An error ends the connection.
func (c *conn) dispatch(f frame) error {
	switch f.kind {
	case frameOpen:
		return c.handleOpen(f)
	case frameHead, frameData, frameEnd, frameReset, frameWindow:
		return c.handleStreamFrame(f)
	case frameControl:
		return c.handleControl(f)
	case framePing:
		c.sendEmptyFrame(framePong)
		return nil
	case framePong:
		return nil
	case frameHello:
		return fmt.Errorf("%w: second hello", errMalformed)
	default:
		return c.handleUnknown(f)
	}
}

// handleUnknown skips a frame whose type belongs to a newer version, and returns an
// error for type zero.
func (c *conn) handleUnknown(f frame) error {
	if f.kind < frameTypeEnd {
		return fmt.Errorf("%w: type %d", errMalformed, f.kind)
	}
	return nil
}

// handleControl decodes a control message and passes it to the ControlHandler.
func (c *conn) handleControl(f frame) error {
	var m Message
	if err := codec.Unmarshal(f.payload, &m); err != nil {
		return fmt.Errorf("%w: control message: %w", errMalformed, err)
	}
	c.lastUsed.Store(c.m.now())
	c.m.counts.controlReceived.Add(1)
	c.m.controlHandler.HandleControl(c.peer, m)
	return nil
}

// handleStreamFrame handles a frame of an open stream. It ignores a frame of a
// stream that has ended.
func (c *conn) handleStreamFrame(f frame) error {
	s := c.findStream(f.stream)
	if s == nil {
		return nil
	}
	switch f.kind {
	case frameHead:
		return c.handleHead(s, f)
	case frameData:
		return s.receiveData(f.payload)
	case frameEnd:
		return c.handleEnd(s, f)
	case frameReset:
		return c.handleReset(s, f)
	default:
		credit, err := f.windowCredit()
		if err != nil {
			return err
		}
		s.addCredit(credit)
		return nil
	}
}

// handleHead stores the head of the answer, which only the dialing side may
// receive.
func (c *conn) handleHead(s *stream, f frame) error {
	if !c.dialed {
		return fmt.Errorf("%w: head from the opening side", errMalformed)
	}
	return s.receiveHead(f.payload)
}

// handleEnd handles an end mark. On the dialing side it ends the whole stream,
// since the peer has then answered. A wrong length ends this stream only.
func (c *conn) handleEnd(s *stream, f frame) error {
	length, err := f.endLength()
	if err != nil {
		return err
	}
	if c.dialed {
		// The stream is removed before its reader can see the end and close
		// it: Close would otherwise send a needless reset.
		c.removeStream(s.id)
		s.stopSending(errStopped)
	}
	if err := s.receiveEnd(length); err != nil {
		return c.abortStream(s, err)
	}
	return nil
}

// abortStream ends a stream that violated the protocol. It returns nil, since
// the connection stays open.
func (c *conn) abortStream(s *stream, err error) error {
	s.fail(err)
	c.sendReset(s.id, resetCut, nil)
	return nil
}

// handleReset ends the stream with the error that the reset describes. The
// serving side removes the stream when its handler returns.
func (c *conn) handleReset(s *stream, f frame) error {
	code, reason, err := f.reset()
	if err != nil {
		return err
	}
	if c.dialed {
		c.removeStream(s.id)
	}
	s.fail(resetError(code, reason))
	return nil
}

// resetError returns the error for a reset that the peer sent.
func resetError(code resetCode, reason []byte) error {
	switch code {
	case resetReason:
		return &ResetError{Reason: append([]byte(nil), reason...)}
	case resetRefused:
		return ErrRefused
	default:
		return ErrCut
	}
}
