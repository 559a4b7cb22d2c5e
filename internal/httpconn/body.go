package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// ErrTruncated means that a body ended before its declared length or before its
// last chunk.
var ErrTruncated = errors.New("httpconn: body was cut")

// ErrNoLength means that a response has neither a Content-Length nor a chunked
// body, so that truncation of the body could not be detected.
var ErrNoLength = errors.New("httpconn: answer has no length and no chunks")

// WriteBody copies a request body to w. It copies exactly length bytes, or writes
// the body in chunks if length is negative. It returns ErrTruncated if body ends
// before length bytes.
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

// NewBodyReader returns a reader of the response body that follows the header h,
// and the length of the body, which is -1 if the body is chunked. The reader
// returns io.EOF only after the complete body and ErrTruncated if the connection
// ends before. NewBodyReader returns ErrNoLength if h declares neither a length
// nor chunks.
func NewBodyReader(r *bufio.Reader, h *fasthttp.ResponseHeader) (io.Reader, int64, error) {
	switch n := int64(h.ContentLength()); {
	case n >= 0:
		return &fixedLengthReader{r: r, remaining: n}, n, nil
	case n == -1:
		return &chunkedReader{r: httputil.NewChunkedReader(r), trailer: r}, -1, nil
	default:
		return nil, 0, ErrNoLength
	}
}

// fixedLengthReader reads a body with a Content-Length.
type fixedLengthReader struct {
	r         io.Reader
	remaining int64
}

// Read returns ErrTruncated if the connection ends before the declared length.
func (f *fixedLengthReader) Read(p []byte) (int, error) {
	if f.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > f.remaining {
		p = p[:f.remaining]
	}
	n, err := f.r.Read(p)
	f.remaining -= int64(n)
	if err == io.EOF && f.remaining > 0 {
		err = fmt.Errorf("%w: %d bytes missing", ErrTruncated, f.remaining)
	}
	if err == io.EOF {
		err = nil
	}
	return n, err
}

// chunkedReader reads a chunked body and then discards its trailer section.
type chunkedReader struct {
	r       io.Reader
	trailer *bufio.Reader
	done    bool
}

// Read returns ErrTruncated if the connection ends before the last chunk or within
// the trailer section.
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

// skipTrailer discards the trailer fields and the empty line that ends them. It
// returns io.EOF at the end of the body, and an error if a line is no field.
func (c *chunkedReader) skipTrailer() error {
	for {
		line, err := peekLine(c.trailer, 0)
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: trailer: %w", ErrTruncated, err)
		}
		if err == nil && len(line) > 0 {
			_, _, err = splitField(line)
		}
		if err != nil {
			return fmt.Errorf("httpconn: trailer: %w", err)
		}
		last := len(line) == 0
		if _, err := c.trailer.Discard(len(line) + len(lineEnd)); err != nil {
			return err
		}
		if last {
			c.done = true
			return io.EOF
		}
	}
}
