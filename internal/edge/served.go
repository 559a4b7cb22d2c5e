package edge

import (
	"bytes"
	"iter"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/core/heldmem"
)

const (
	// headCopies is how often the text of a head is in memory at once while its request is served:
	// the HTTP library's copy, the values that it decodes, and those of the request.
	headCopies = 3
	// fieldBytes is what each field of a head takes besides its text.
	fieldBytes = 150
)

// headMemory returns an upper bound of the memory in bytes that a parsed head takes beyond what its
// connection is counted for.
func headMemory(h *fasthttp.RequestHeader) int {
	raw := h.RawHeaders()
	size := headCopies*(len(raw)+len(h.RequestURI())) + fieldBytes*bytes.Count(raw, []byte{'\n'})
	return max(size-heldmem.ConnectionHeadBytes, 0)
}

// reserveRequest reserves what a request takes while it is served, besides its body: its head, and
// the kernel's buffers of the connection, which keeps the reservation until the answer has been
// written.
func (c *recordingConn) reserveRequest(h *fasthttp.RequestHeader) error {
	head := headMemory(h)
	if !c.memory.ReserveRequest(head) {
		return errNoRoom
	}
	c.served, c.headBytes = true, head
	return nil
}

// releaseRequest ends the reservation.
func (c *recordingConn) releaseRequest() {
	if c.served {
		c.memory.ReleaseRequest(c.headBytes)
	}
	c.served, c.headBytes = false, 0
}

// fieldsOf returns the names and values of the fields of a head as they were sent. The HTTP
// library's own would first divide the cookies.
func fieldsOf(h *fasthttp.RequestHeader) iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for line := range bytes.Lines(h.RawHeaders()) {
			name, value, ok := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte{':'})
			if ok && !yield(name, bytes.Trim(value, " \t")) {
				return
			}
		}
	}
}

// dropLongHead lets go of the buffers of a long head, which the HTTP library would keep until the
// end of the connection, except for what it still asks for when it writes the answer.
func dropLongHead(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	if headMemory(h) == 0 {
		return
	}
	isHead, isHTTP11 := h.IsHead(), h.IsHTTP11()
	ctx.Request = fasthttp.Request{}
	if isHead {
		h.SetMethod(fasthttp.MethodHead)
	}
	if !isHTTP11 {
		h.SetProtocol("HTTP/1.0")
	}
}
