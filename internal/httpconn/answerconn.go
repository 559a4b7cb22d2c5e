package httpconn

import (
	"bufio"
	"fmt"
	"net"

	"github.com/valyala/fasthttp"
)

// AnswerConn is a connection for an HTTP client that takes other heads than CheckHead for those of
// answers too: it checks the head of each answer before the client reads it. An interim answer
// fails: the calls that use it ask for none. Requests and answers alternate.
type AnswerConn struct {
	net.Conn
	r      *bufio.Reader
	asking bool // a request was written whose answer has not begun
}

// answerConnBuffer bounds a head. HTTP clients have the same bound.
const answerConnBuffer = 4 << 10

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
			err = fmt.Errorf("%w: interim status %d", ErrHead, status)
		}
		if err != nil {
			return 0, err
		}
		c.asking = false
	}
	return c.r.Read(p)
}
