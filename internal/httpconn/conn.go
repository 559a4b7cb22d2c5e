package httpconn

import (
	"bufio"
	"net"
	"time"
)

const connBufferBytes = 16 << 10

// Conn is one keep-alive connection to the backend server. One exchange uses it
// at a time.
type Conn struct {
	net.Conn
	R            *bufio.Reader
	W            *bufio.Writer
	WrittenBytes int64 // bytes written to the socket in this exchange
	Reused       bool  // an exchange ended on it before
	idleAt       time.Time

	IdleLimit time.Duration // how long the server keeps it idle; zero: it did not say
}

func newConn(c net.Conn) *Conn {
	cn := &Conn{Conn: c}
	cn.R = bufio.NewReaderSize(c, connBufferBytes)
	cn.W = bufio.NewWriterSize(cn, connBufferBytes)
	return cn
}

func (c *Conn) idleLimit() time.Duration {
	if c.IdleLimit > 0 {
		return min(c.IdleLimit, idleConnTimeout)
	}
	return idleConnTimeout
}

// Write counts the bytes that left for the server.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.WrittenBytes += int64(n)
	return n, err
}

// usable reports whether an idle connection is still open: it must have no
// unread data and no end of file pending.
func (c *Conn) usable() bool {
	if c.R.Buffered() > 0 {
		return false
	}
	return !Readable(c.Conn)
}
