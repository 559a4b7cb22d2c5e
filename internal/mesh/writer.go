package mesh

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/fasthttp/websocket"
)

// writeLoop writes the items in the rings until the connection ends. The data
// ring makes the streams share the connection fairly: a stream has at most
// maxQueuedChunks chunks in the ring, and Go serves the goroutines that wait
// for a place in the order of their arrival.
func (c *conn) writeLoop() error {
	check := time.NewTimer(c.cfg.PingInterval / 2)
	defer check.Stop()
	for {
		var it *item
		select {
		case it = <-c.urgent.C():
		case it = <-c.control.C():
		case it = <-c.data.C():
		case <-check.C:
			next, err := c.keepalive()
			if err != nil {
				return err
			}
			check.Reset(next)
			continue
		case <-c.closing:
			return c.flush()
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
		runtime.Gosched() // lets goroutines that are about to send join the batch
		if err := c.writeBatch(it, c.cfg.PingTimeout); err != nil {
			return err
		}
		check.Reset(c.cfg.PingInterval / 2) // the connection is in use
	}
}

// flush writes the items in the rings, sends a close message, and waits at most
// until FlushTime has passed for the peer to close the connection. The reader
// keeps running meanwhile: closing a connection with unread bytes would reset
// it, and the peer could lose the flushed items.
func (c *conn) flush() error {
	deadline := time.Now().Add(c.cfg.FlushTime)
	for it := c.nextItem(); it != nil; it = c.nextItem() {
		if err := c.writeBatch(it, time.Until(deadline)); err != nil {
			return err
		}
	}
	closeFrame := websocket.FormatCloseMessage(websocket.CloseNormalClosure, "")
	if err := c.ws.WriteControl(websocket.CloseMessage, closeFrame, deadline); err != nil {
		return fmt.Errorf("mesh: write: %w", err)
	}
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case <-c.ctx.Done():
	case <-timeout.C:
	}
	return ErrClosed
}

// nextItem returns the most urgent queued item, or nil if the rings are empty.
func (c *conn) nextItem() *item {
	select {
	case it := <-c.urgent.C():
		return it
	default:
	}
	select {
	case it := <-c.control.C():
		return it
	default:
	}
	select {
	case it := <-c.data.C():
		return it
	default:
		return nil
	}
}

// writeBatch writes an item, and the items queued behind it, as one WebSocket
// message. It stops adding items once the message has maxBatchBytes.
func (c *conn) writeBatch(it *item, timeout time.Duration) error {
	if err := c.ws.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	w, err := c.ws.NextWriter(websocket.BinaryMessage)
	if err != nil {
		return fmt.Errorf("mesh: write: %w", err)
	}
	size := 0
	for ; it != nil; it = c.nextItem() {
		size += len(it.buf)
		if err := c.writeItem(w, it); err != nil {
			return fmt.Errorf("mesh: write: %w", err)
		}
		if size >= maxBatchBytes {
			break
		}
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("mesh: write: %w", err)
	}
	c.lastWrite.Store(c.m.now())
	c.m.counts.bytesSent.Add(uint64(size))
	return nil
}

// writeItem writes an item unless it was withdrawn, and releases it.
func (c *conn) writeItem(w io.Writer, it *item) error {
	defer it.release()
	if it.chunkStream != nil {
		defer it.chunkStream.chunkWritten()
	}
	if !it.claimForWrite() {
		return nil
	}
	_, err := w.Write(it.buf)
	return err
}
