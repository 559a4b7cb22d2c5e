package httpconn

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// endingConn has some bytes to read, and then ends.
type endingConn struct {
	net.Conn
	r        io.Reader
	writeErr error
}

func (c endingConn) Read(p []byte) (int, error)  { return c.r.Read(p) }
func (c endingConn) Write(p []byte) (int, error) { return len(p), c.writeErr }

// The end of a connection is the end of an answer only if no write has taken the report of a
// reset.
func TestEndAfterFailedWriteIsUnproven(t *testing.T) {
	for _, writeErr := range []error{nil, syscall.ECONNRESET, syscall.EPIPE} {
		c := newConn(endingConn{r: strings.NewReader("part"), writeErr: writeErr})
		_, err := c.Write([]byte("request"))
		assert.Equal(t, err, writeErr)
		got, err := io.ReadAll(c.R)
		assert.Equal(t, string(got), "part")
		if writeErr == nil {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorIs(t, err, ErrEndUnproven)
	}
}
