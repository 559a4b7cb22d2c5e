package edge

import (
	"net"
	"os"
	"time"

	"github.com/burdockfold/burdockfold/internal/held"
	"github.com/burdockfold/burdockfold/internal/hop"
)

const (
	// slowAfter is how long a caller may take what is written at once before it counts as a
	// slow reader, and between two looks at how much it has taken.
	slowAfter = 500 * time.Millisecond
	// DefaultUnreadTime is how long a caller may take nothing of its answer.
	DefaultUnreadTime = 10 * time.Second
)

// SetUnreadTime sets how long a caller may take nothing of its answer before its connection is
// closed. It must be called before Serve.
func (s *Server) SetUnreadTime(d time.Duration) { s.unreadTime = d }

// holdAnswer keeps the room of an answer until it has been written to a connection.
func holdAnswer(c net.Conn, a *hop.Answer) {
	rc, ok := c.(*recordingConn)
	if !ok || a.Failure != nil {
		a.Memory.Release()
		return
	}
	rc.answer.Release()
	rc.answer = a.Memory
}

// Write implements net.Conn. It fails when the caller takes nothing for the unread time, or
// when the memory is needed for others and this caller is the slowest.
func (c *recordingConn) Write(p []byte) (int, error) {
	if len(p) >= held.LongBytes {
		c.widen()
	}
	began := time.Now()
	if err := c.SetWriteDeadline(began.Add(slowAfter)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err == nil || !os.IsTimeout(err) {
		return n, err
	}
	return c.writeSlowly(p, n, began)
}

// writeSlowly writes the rest of p, of which n bytes were written since began.
func (c *recordingConn) writeSlowly(p []byte, n int, began time.Time) (int, error) {
	reader := c.memory.Track(c.answer.Bytes(), began, c.reset)
	defer reader.End()
	c.conns.Slow(c)
	reader.Take(n)
	for progress := began; ; {
		now := time.Now()
		if err := c.SetWriteDeadline(now.Add(slowAfter)); err != nil {
			return n, err
		}
		m, err := c.Conn.Write(p[n:])
		n += m
		reader.Take(m)
		switch {
		case err == nil || !os.IsTimeout(err):
			return n, err
		case m > 0:
			progress = now
		case now.Sub(progress) >= c.unreadTime:
			c.memory.CountUnread()
			c.reset()
			return n, err
		}
	}
}

// reset closes the connection at once. The caller cannot take what it got for a whole answer,
// whose length it was told or which ends in a last chunk.
func (c *recordingConn) reset() {
	_ = c.SetLinger(0) // it may have been closed
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *recordingConn) Close() error {
	if !c.closed.Swap(true) {
		c.memory.RemoveConnection()
		c.narrow()
	}
	return c.Conn.Close()
}
