package httpconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"
)

// ErrEndUnproven means that the connection ended after a write on it had failed, so that the end
// may be a reset: the kernel reports a reset once, and where the write took the report, reads
// return the end of the stream as after a close.
var ErrEndUnproven = errors.New("httpconn: connection ended after a failed write")

const connBufferBytes = 16 << 10

// Conn is a keep-alive connection to a backend server. Only one exchange uses it
// at a time.
type Conn struct {
	net.Conn
	R            *bufio.Reader
	W            *bufio.Writer
	WrittenBytes int64 // bytes written to the socket in the current exchange
	Reused       bool  // an earlier exchange completed on this connection
	writeFailed  bool  // a write has failed; see ErrEndUnproven
	idleSince    time.Time
	Refused      []string // ids of the requests that were refused on this connection

	IdleLimit time.Duration // how long the server keeps an idle connection open; zero if it announced no limit
}

func newConn(c net.Conn) *Conn {
	cn := &Conn{Conn: c}
	cn.R = bufio.NewReaderSize(cn, connBufferBytes)
	cn.W = bufio.NewWriterSize(cn, connBufferBytes)
	return cn
}

// idleLimit returns how long the connection may stay idle before the pool closes
// it instead of reusing it.
func (c *Conn) idleLimit() time.Duration {
	if c.IdleLimit > 0 {
		return min(c.IdleLimit, idleConnTimeout)
	}
	return idleConnTimeout
}

// Write writes p to the socket and adds the bytes written to WrittenBytes.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.WrittenBytes += int64(n)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// Read reads from the socket. It returns io.EOF only if the server has closed the connection, and
// ErrEndUnproven if it may have been reset.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.writeFailed {
		err = ErrEndUnproven
	}
	return n, err
}

// usable reports whether an idle connection can be reused: neither unread data nor
// an end of file may be pending on it.
func (c *Conn) usable() bool {
	if c.R.Buffered() > 0 {
		return false
	}
	return !Readable(c.Conn)
}
