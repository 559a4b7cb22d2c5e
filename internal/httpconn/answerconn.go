package httpconn

import (
	"bufio"
	"fmt"
	"net"

	"github.com/valyala/fasthttp"
)

// AnswerConn is a connection for HTTP clients that accept malformed heads: it validates the head of
// each answer with CheckHead before the client reads it. Interim answers are errors, since the
// clients ask for none. Requests and answers alternate.
type AnswerConn struct {
	net.Conn
	r      *bufio.Reader
	asking bool // a request was written whose answer has not begun
}

const answerConnBuffer = 4 << 10 // the longest head; the same as in fasthttp's clients

// NewAnswerConn returns an AnswerConn on top of c.
func NewAnswerConn(c net.Conn) *AnswerConn {
	return &AnswerConn{Conn: c, r: bufio.NewReaderSize(c, answerConnBuffer)}
}

// Write implements net.Conn.
func (c *AnswerConn) Write(p []byte) (int, error) {
	c.asking = true
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *AnswerConn) Read(p []byte) (int, error) {
	if c.asking {
		status, err := CheckHead(c.r)
		if err == nil && status < fasthttp.StatusOK {
			err = fmt.Errorf("%w: interim status %d", ErrMalformedHead, status)
		}
		if err != nil {
			return 0, err
		}
		c.asking = false
	}
	return c.r.Read(p)
}
