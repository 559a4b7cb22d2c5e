package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"
)

// ErrMalformedHead means that the head of an answer is malformed by RFC 9112.
var ErrMalformedHead = errors.New("httpconn: malformed head of an answer")

var errNoFinalAnswer = errors.New("httpconn: only interim answers came")

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
	return errNoFinalAnswer
}

// CheckHead validates the head of the next answer and returns its status. It consumes nothing but
// empty lines before the head. HTTP parsers repair malformed heads, each in its own way, and may
// take other bytes for the body than the server sent: nothing that such a head states counts. The
// error wraps ErrStatusLine or ErrMalformedHead, or is that of r.
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
		return 0, fmt.Errorf("%w: %w", ErrMalformedHead, ErrControlInLine)
	}
	f := framing{version10: bytes.HasPrefix(line, []byte("HTTP/1.0"))}
	for at := len(line) + len(lineEnd); ; at += len(line) + len(lineEnd) {
		line, err = peekLine(r, at)
		if err != nil {
			return 0, err
		}
		last := len(line) == 0
		if last {
			err = f.check()
		} else {
			err = f.addField(line)
		}
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrMalformedHead, err)
		}
		if last {
			return status, nil
		}
	}
}

const (
	lineEnd    = "\r\n"
	lengthBits = 63 // of a Content-Length, which the HTTP library holds in an int
)

// peekLine returns the line that begins at offset at of the unread bytes, without its CRLF. The line
// is valid until the next read. A bare line feed is an error: it may stand within a field name, and
// a parser that ends a line there may end the head there too.
func peekLine(r *bufio.Reader, at int) ([]byte, error) {
	for searched := at; ; {
		b, err := r.Peek(max(r.Buffered(), searched+1))
		if err != nil {
			return nil, err
		}
		if i := bytes.IndexByte(b[searched:], '\n'); i >= 0 {
			line, ok := bytes.CutSuffix(b[at:searched+i+1], []byte(lineEnd))
			if !ok {
				return nil, fmt.Errorf("%w: %w", ErrMalformedHead, ErrControlInLine)
			}
			return line, nil
		}
		searched = len(b)
	}
}

// framing is what the head of an answer states about the length of the body.
type framing struct {
	version10 bool // the version is HTTP/1.0, which has no transfer codings
	chunked   bool
	hasLength bool
	length    uint64
}

// addField validates a header line, without its CRLF, and adds what it states. The same length may
// be stated twice (RFC 9112, section 6.3). Requests ask for no transfer coding but chunked.
func (f *framing) addField(line []byte) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
		length, err := strconv.ParseUint(string(value), 10, lengthBits)
		if err != nil || f.hasLength && f.length != length {
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

// check returns an error if the fields of the whole head contradict each other.
func (f *framing) check() error {
	if f.chunked && (f.hasLength || f.version10) {
		return ErrAmbiguousLength
	}
	return nil
}
