package origin

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/burdockfold/burdockfold/internal/httpconn"
)

// isConnectionLoss reports whether the server closed or reset the connection.
func isConnectionLoss(err error) bool {
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, httpconn.ErrTruncated, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}

// Accepts reports whether a server accepts connections. ok is false if that cannot be told.
// The new connection is kept for the next request.
func (c *Client) Accepts(ctx context.Context, s Server) (accepts, ok bool) {
	pool := c.poolFor(s)
	conn, err := pool.Get(ctx, true)
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.IdleLimit = defaultIdleLimit
	pool.Put(conn, true)
	return true, true
}

// Probe returns nil if the address accepts a TCP connection within the limit.
func Probe(addr string, limit time.Duration) error {
	c, err := net.DialTimeout("tcp4", addr, limit)
	if err != nil {
		return err
	}
	return c.Close()
}
