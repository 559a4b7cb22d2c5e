package edge

import (
	"errors"
	"io"
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/hop"
)

const (
	// firstChunkedRoom is the size in bytes of the first buffer for a body in chunks, which
	// announces no length.
	firstChunkedRoom = 4 << 10
	// chunkedRoomGrowth is the factor by which that buffer grows. The last two sizes, of
	// 16 MiB and 64 MiB, fit into the budget together, as they must while one is copied.
	chunkedRoomGrowth = 4
)

// errNoRoom means that the bodies in use leave no room in the budget for another one.
var errNoRoom = errors.New("no room for the request body")

// unreadBodies are requests whose announced body is not going to be read, by their headers.
// The HTTP library calls the handler after the first bytes of a body only, unless the header
// announces none.
type unreadBodies struct {
	budget *hop.BodyBudget

	mu      sync.Mutex // guards refused
	refused map[*fasthttp.RequestHeader]error
}

func newUnreadBodies(b *hop.BodyBudget) *unreadBodies {
	return &unreadBodies{budget: b, refused: make(map[*fasthttp.RequestHeader]error)}
}

// headerReceived is the hook of the HTTP server. It removes the announcement of a body that is
// too long or has no room now.
func (u *unreadBodies) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	n := h.ContentLength()
	var err error
	switch {
	case n > maxBodyBytes:
		err = fasthttp.ErrBodyTooLarge
	case n >= hop.MinBudgetedBody && !u.budget.HasRoom(n):
		err = errNoRoom
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.refused, h) // of the request before on this object
	if err != nil {
		u.refused[h] = err
		h.SetContentLength(0)
	}
	return fasthttp.RequestConfig{}
}

// take returns why the body of a request is not read, or nil, and forgets the request.
func (u *unreadBodies) take(h *fasthttp.RequestHeader) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	err := u.refused[h]
	delete(u.refused, h)
	return err
}

// requestBody is the body of a request in memory that is reserved in the budget.
type requestBody struct {
	budget   *hop.BodyBudget
	bytes    []byte
	reserved int // bytes
}

// read reads the body of a request whose header has been read. The caller calls release
// once the body is no longer used, also after an error.
func (b *requestBody) read(ctx *fasthttp.RequestCtx) error {
	stream, announced := ctx.Request.BodyStream(), ctx.Request.Header.ContentLength()
	switch {
	case stream == nil:
		return nil
	case announced < 0:
		return b.readChunked(stream, ctx.Conn())
	}
	if err := b.grow(announced); err != nil {
		return err
	}
	if rc, ok := ctx.Conn().(*recordingConn); ok && announced >= hop.MinBudgetedBody {
		rc.widen()
	}
	b.bytes = b.bytes[:announced]
	_, err := io.ReadFull(stream, b.bytes)
	return err
}

// readChunked reads a body of unknown length. The HTTP library does not tell the last chunk
// from the end of the connection between two chunks.
func (b *requestBody) readChunked(stream io.Reader, c net.Conn) error {
	if err := b.grow(firstChunkedRoom); err != nil {
		return err
	}
	for {
		n, err := stream.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case err == io.EOF && sendingEnded(c):
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case len(b.bytes) < cap(b.bytes):
			continue
		case len(b.bytes) > maxBodyBytes:
			return fasthttp.ErrBodyTooLarge
		}
		size := chunkedRoomGrowth * cap(b.bytes)
		if size >= maxBodyBytes {
			size = maxBodyBytes + 1 // the last byte shows whether the body ends before it
		}
		if err := b.grow(size); err != nil {
			return err
		}
	}
}

// grow gives the body a buffer of the given size in bytes.
func (b *requestBody) grow(size int) error {
	reserved := min(size, maxBodyBytes)
	if !b.budget.Reserve(reserved) {
		return errNoRoom
	}
	buffer := make([]byte, len(b.bytes), size)
	copy(buffer, b.bytes)
	b.budget.Release(b.reserved)
	b.bytes, b.reserved = buffer, reserved
	return nil
}

// release ends the reservation.
func (b *requestBody) release() {
	b.budget.Release(b.reserved)
	b.reserved = 0
}

// statusOfReadError returns the status for a request that could not be read.
func statusOfReadError(err error) int {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout
	}
	return fasthttp.StatusBadRequest
}
