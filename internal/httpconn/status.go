package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
)

// ErrStatusLine means that an answer does not begin with the status line of one.
var ErrStatusLine = errors.New("httpconn: no status line of an answer")

// statusLineStart is the length of the part of a status line that is examined.
const statusLineStart = len("HTTP/1.1 200")

// checkStatus examines the status line of the next answer without reading it, after any empty
// lines, which it skips. It returns the status, which has three digits, from 100 to 599 without
// 101, since nobody asks for another protocol. HTTP parsers take more than that for a status.
func checkStatus(r *bufio.Reader) (int, error) {
	for {
		b, err := r.Peek(1)
		if err != nil {
			return 0, err
		}
		if b[0] != '\r' && b[0] != '\n' {
			break
		}
		if _, err := r.Discard(1); err != nil {
			return 0, err
		}
	}
	line, err := r.Peek(statusLineStart + 1)
	if i := bytes.IndexByte(line[:min(len(line), statusLineStart)], '\n'); i >= 0 {
		return 0, fmt.Errorf("%w: %q", ErrStatusLine, line[:i])
	}
	if err != nil {
		return 0, err
	}
	return parseStatus(line)
}

// parseStatus returns the status in the start of a status line and the byte after it.
func parseStatus(line []byte) (int, error) {
	version, code, after := line[:len("HTTP/1.1")], line[len("HTTP/1.1 "):statusLineStart], line[statusLineStart]
	valid := bytes.Equal(version, []byte("HTTP/1.1")) || bytes.Equal(version, []byte("HTTP/1.0"))
	valid = valid && line[len(version)] == ' ' && (after == ' ' || after == '\r' || after == '\n')
	status := 0
	for _, c := range code {
		valid = valid && '0' <= c && c <= '9'
		status = 10*status + int(c-'0')
	}
	if !valid || status < 100 || status > 599 || status == 101 {
		return 0, fmt.Errorf("%w: %q", ErrStatusLine, line)
	}
	return status, nil
}
