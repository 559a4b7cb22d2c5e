package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// ErrTruncated means that a body ended before its declared length or end mark.
var ErrTruncated = errors.New("httpconn: body was cut")

// ErrNoLength means that an answer has neither a length nor chunks, so that a
// cut could not be noticed.
var ErrNoLength = errors.New("httpconn: answer has no length and no chunks")

// WriteBody copies a request body with its length or in chunks.
func WriteBody(w *bufio.Writer, body io.Reader, length int64) error {
	if length >= 0 {
		return copyExactly(w, body, length)
	}
	cw := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(cw, body); err != nil {
		return err
	}
	if err := cw.Close(); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

func copyExactly(w io.Writer, body io.Reader, length int64) error {
	n, err := io.Copy(w, io.LimitReader(body, length))
	if err != nil {
		return err
	}
	if n != length {
		return fmt.Errorf("%w: %d of %d bytes", ErrTruncated, n, length)
	}
	return nil
}

// NewBodyReader returns a reader of an answer's body that ends with io.EOF only
// when the body is whole, and the length, -1 when unknown.
func NewBodyReader(r *bufio.Reader, h *fasthttp.ResponseHeader) (io.Reader, int64, error) {
	switch n := int64(h.ContentLength()); {
	case n >= 0:
		return &fixedReader{r: r, left: n}, n, nil
	case n == -1:
		return &chunkedReader{r: httputil.NewChunkedReader(r), tail: r}, -1, nil
	default:
		return nil, 0, ErrNoLength
	}
}

// fixedReader reads a body of known length.
type fixedReader struct {
	r    io.Reader
	left int64
}

// Read fails with ErrCut when the connection ends early.
func (f *fixedReader) Read(p []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > f.left {
		p = p[:f.left]
	}
	n, err := f.r.Read(p)
	f.left -= int64(n)
	if err == io.EOF && f.left > 0 {
		err = fmt.Errorf("%w: %d bytes missing", ErrTruncated, f.left)
	}
	if err == io.EOF {
		err = nil
	}
	return n, err
}

// chunkedReader reads a chunked body and the end of its trailer.
type chunkedReader struct {
	r    io.Reader
	tail *bufio.Reader
	done bool
}

// Read fails with ErrCut when the connection ends before the last chunk.
func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	n, err := c.r.Read(p)
	switch {
	case err == io.EOF:
		err = c.skipTrailer()
	case errors.Is(err, io.ErrUnexpectedEOF):
		err = fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return n, err
}

// skipTrailer reads the trailer fields up to the empty line.
func (c *chunkedReader) skipTrailer() error {
	for {
		line, err := c.tail.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("%w: trailer: %w", ErrTruncated, err)
		}
		if len(line) <= len("\r\n") {
			c.done = true
			return io.EOF
		}
	}
}
