package httpconn

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// headForm is the head of an answer by its lines. Lengths and codings have rules of their own.
var headForm = regexp.MustCompile(`^[\r\n]*HTTP/1\.[01] [1-5][0-9]{2}( [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n` +
	"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*\r\n)*\r\n")

var wholeHeads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 200\r\n\r\nhi",
	"\r\nHTTP/1.0 404 Not \xff\r\nX:\r\nY:\t a \r\ncontent-length: 2\r\nContent-Length: 02\r\n\r\nhi",
	"HTTP/1.1 503 Full\r\nTransfer-Encoding: CHUNKED\r\n\r\n0\r\n\r\n",
}

var brokenHeads = []string{
	"HTTP/1.1 200 O\x00K\r\n\r\n", "HTTP/1.1 200 OK\n\r\n", "HTTP/1.1 200 OK\r\n\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK",
	"HTTP/1.1 200 OK\r\nX : a\r\n\r\n", "HTTP/1.1 200 OK\r\nX\r\n\r\n", "HTTP/1.1 200 OK\r\n: a\r\n\r\n", "HTTP/1.1 200 OK\r\n X: a\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n", "HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n", "HTTP/1.1 200 OK\r\n\nX: a\r\n\r\n", "HTTP/1.1 200 OK\r\nX: a\nY: b\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
}

func TestCheckHead(t *testing.T) {
	for _, head := range wholeHeads {
		_, err := CheckHead(bufio.NewReader(strings.NewReader(head)))
		assert.NilError(t, err, "%q", head)
	}
	for _, head := range brokenHeads {
		_, err := CheckHead(bufio.NewReader(strings.NewReader(head)))
		assert.Assert(t, err != nil, "%q", head)
	}
}

// A bare line feed is found before the head ends, which it may never do.
func TestBrokenLineIsFoundAtOnce(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = w.Close() }()
	go func() { _, _ = io.WriteString(w, "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi") }()
	_, err := CheckHead(bufio.NewReader(r))
	assert.ErrorIs(t, err, ErrMalformedHead)
}

// Of a head that is accepted, the library reads all, and the same length.
func FuzzCheckHead(f *testing.F) {
	for _, head := range append(wholeHeads, brokenHeads...) {
		f.Add(head)
	}
	f.Fuzz(func(t *testing.T, data string) {
		r := bufio.NewReader(strings.NewReader(data))
		_, err := CheckHead(r)
		head := headForm.FindString(data)
		if head == "" {
			assert.Assert(t, err != nil, "%q", data)
			return
		}
		if strings.Contains(head, " 101") {
			return // FuzzCheckStatus examines the status
		}
		length, ok := statedLength(head)
		if !ok {
			assert.Assert(t, err != nil, "%q", data)
			return
		}
		assert.NilError(t, err, "%q", data)
		var h fasthttp.ResponseHeader
		if h.Read(r) != nil { // the library may refuse more
			return
		}
		if status := h.StatusCode(); status >= fasthttp.StatusOK && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified {
			assert.Equal(t, int64(h.ContentLength()), length, "%q", data)
		}
		rest, err := io.ReadAll(r)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), data[len(head):])
	})
}

// statedLength returns the length that the fields of a head state: -1 for chunks, -2 for none.
// ok is false unless there is one such statement.
func statedLength(head string) (length int64, ok bool) {
	lengths, codings := map[int64]bool{}, 0
	for line := range strings.SplitSeq(head, "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || value[0] < '0' {
				return 0, false
			}
			lengths[n] = true
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") || strings.Contains(head, "HTTP/1.0 ") {
				return 0, false
			}
			codings++
		}
	}
	if len(lengths)+codings > 1 {
		return 0, false
	}
	for n := range lengths {
		return n, true
	}
	return -2 + int64(codings), true
}
