package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math"

	"github.com/valyala/fasthttp"
)

// ErrHead means that an answer does not begin with the head of one.
var ErrHead = errors.New("httpconn: no head of an answer")

const maxInterim = 16 // interim answers read before the final one

// ReadHead reads the head of the next final answer into h. It skips interim answers (1xx).
func ReadHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterim {
		status, err := CheckHead(r)
		if err != nil {
			return err
		}
		if err := h.Read(r); err != nil {
			return err
		}
		if status >= fasthttp.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: only interim answers came", ErrHead)
}

// CheckHead examines the head of the next answer without reading it, but for empty lines before
// it, and returns its status. A head that is not one by RFC 9112 must not count for anything: HTTP
// parsers repair it, each in its own way, and take other bytes for the body than the server sent.
// The error wraps ErrStatusLine or ErrHead, or is that of r.
func CheckHead(r *bufio.Reader) (status int, err error) {
	status, err = checkStatus(r)
	if err != nil {
		return 0, err
	}
	line, err := peekLine(r, 0)
	if err != nil {
		return 0, err
	}
	if hasControl(line) {
		return 0, fmt.Errorf("%w: %w", ErrHead, ErrControlInLine)
	}
	f := framing{version10: bytes.HasPrefix(line, []byte("HTTP/1.0"))}
	for at := len(line) + len(lineEnd); ; at += len(line) + len(lineEnd) {
		line, err = peekLine(r, at)
		if err != nil {
			return 0, err
		}
		if len(line) == 0 {
			return status, f.check()
		}
		if err := f.addField(line); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrHead, err)
		}
	}
}

const lineEnd = "\r\n"

// peekLine returns the line that begins at a position of the unread bytes, without its end. It is
// valid until the next read. A line feed alone ends no line: it may have come into a name or a
// value, and what seems to be the body may be the rest of the head.
func peekLine(r *bufio.Reader, at int) ([]byte, error) {
	for searched := at; ; {
		b, err := r.Peek(max(r.Buffered(), searched+1))
		if err != nil {
			return nil, err
		}
		if i := bytes.IndexByte(b[searched:], '\n'); i >= 0 {
			line, ok := bytes.CutSuffix(b[at:searched+i+1], []byte(lineEnd))
			if !ok {
				return nil, fmt.Errorf("%w: %w", ErrHead, ErrControlInLine)
			}
			return line, nil
		}
		searched = len(b)
	}
}

// framing is what the fields of a head tell of the body's length.
type framing struct {
	version10 bool // the answer is of HTTP/1.0
	chunked   bool
	hasLength bool
	length    int64
}

// addField checks a line of the head, without its end, and adds what it tells. The same length may
// be told twice (RFC 9112, section 6.3). Of the codings only chunked is ever asked for.
func (f *framing) addField(line []byte) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
		length, ok := parseLength(value)
		if !ok || f.hasLength && f.length != length {
			return ErrAmbiguousLength
		}
		f.hasLength, f.length = true, length
	case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		if f.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return ErrAmbiguousLength
		}
		f.chunked = true
	}
	return nil
}

// check returns an error if the whole head does not tell one length of the body. In HTTP/1.0 there
// are no codings.
func (f *framing) check() error {
	if f.chunked && (f.hasLength || f.version10) {
		return fmt.Errorf("%w: %w", ErrHead, ErrAmbiguousLength)
	}
	return nil
}

// parseLength returns the value of a Content-Length field, which has digits only.
func parseLength(value []byte) (length int64, ok bool) {
	for _, c := range value {
		if c < '0' || c > '9' || length > (math.MaxInt64-9)/10 {
			return 0, false
		}
		length = 10*length + int64(c-'0')
	}
	return length, len(value) > 0
}
