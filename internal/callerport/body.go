package callerport

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/errkind"
)

var errBodyClosed = errors.New("callerport: the request has ended")

// requestBody reads the body of a caller's request. It reports a body that ends early as
// an error and stops at the size limit of the service. After the first error, every Read
// returns that error.
type requestBody struct {
	conn *conn

	mu       sync.Mutex // guards all fields below; held during a read
	source   io.Reader
	declared int64          // declared length in bytes; -1 if chunked
	limit    int64          // maximum length in bytes
	read     int64          // bytes read so far
	atEnd    bool           // the body was read to its end
	err      *errkind.Error // first error
	closed   bool           // finish was called
}

func newRequestBody(source io.Reader, declared, limit int64, c *conn) *requestBody {
	return &requestBody{source: source, declared: declared, limit: limit, conn: c}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.closed:
		return 0, errBodyClosed
	case b.err != nil:
		return 0, b.err
	case b.atEnd:
		return 0, io.EOF
	}
	n, err := b.source.Read(p)
	b.read += int64(n)
	if b.read > b.limit {
		b.err = errkind.New(errkind.BodyTooLarge, "more than %d bytes", b.limit)
		return 0, b.err
	}
	if err == nil && b.read == b.declared {
		b.atEnd = true
		return n, nil
	}
	return n, b.classify(err)
}

// classify maps an error of the source to io.EOF at the end of the body, else to an
// *errkind.Error, which it stores. It distinguishes the end of the body from the end of
// the connection. b.mu must be held.
func (b *requestBody) classify(err error) error {
	var timeout net.Error
	switch {
	case err == nil:
		return nil
	case err == io.EOF && b.isComplete():
		b.atEnd = true
		return io.EOF
	case errors.As(err, &timeout) && timeout.Timeout():
		b.err = errkind.New(errkind.BodyTimeout, "after %d bytes", b.read)
	default:
		b.err = errkind.New(errkind.Malformed, "body cut after %d bytes: %w", b.read, err)
	}
	return b.err
}

// isComplete reports whether an io.EOF of the source is the end of the body. The chunked
// reader also returns io.EOF when the connection ends, so a chunked body is complete only
// if the connection's input has not ended.
func (b *requestBody) isComplete() bool {
	if b.declared >= 0 {
		return b.read == b.declared
	}
	return b.conn == nil || !b.conn.inputEnded.Load()
}

// firstError returns the first error of the body, or nil.
func (b *requestBody) firstError() *errkind.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// wasReadToEnd reports whether the body was read to its end. It returns false while a
// read is in progress.
func (b *requestBody) wasReadToEnd() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return b.atEnd
}

// finish makes all further reads fail and reports whether the body was read to its end.
// It interrupts a read that is waiting for the caller.
func (b *requestBody) finish() bool {
	if !b.mu.TryLock() {
		b.interrupt()
		b.mu.Lock()
	}
	defer b.mu.Unlock()
	b.closed = true
	return b.atEnd
}

// interrupt makes a pending read fail by setting a read deadline in the past.
func (b *requestBody) interrupt() {
	if b.conn != nil {
		_ = b.conn.SetReadDeadline(time.Unix(1, 0))
	}
}
