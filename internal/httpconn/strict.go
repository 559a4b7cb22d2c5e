package httpconn

import (
	"bytes"
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// Errors of CheckHeader and CheckHead. Each names a defect of a header that two HTTP
// parsers might interpret differently.
var (
	ErrFoldedLine         = errors.New("httpconn: folded header line")
	ErrFieldName          = errors.New("httpconn: field name that is no token")
	ErrNoColon            = errors.New("httpconn: header line without a colon")
	ErrMultipleHosts      = errors.New("httpconn: more than one Host field")
	ErrAmbiguousLength    = errors.New("httpconn: ambiguous length of the body")
	ErrConflictingLengths = errors.New("both Content-Length and Transfer-Encoding")
	ErrControlInLine      = errors.New("httpconn: control character in a header line")
)

// CheckHeader checks the raw header lines of a request, without the request line.
// It returns an error if they must not be forwarded according to RFC 9112 (sections
// 3.2, 5, 5.2 and 6.3).
func CheckHeader(raw []byte) error {
	hosts, lengths, codings := 0, 0, 0
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		name, value, err := splitField(line)
		switch {
		case err != nil:
			return err
		case bytes.EqualFold(name, []byte("host")):
			hosts++
		case bytes.EqualFold(name, []byte("content-length")):
			lengths++
			if len(bytes.Trim(bytes.TrimSpace(value), "0123456789")) > 0 {
				return ErrAmbiguousLength
			}
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			codings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return ErrAmbiguousLength
			}
		}
	}
	switch {
	case hosts > 1:
		return ErrMultipleHosts
	case lengths > 0 && codings > 0:
		return ErrConflictingLengths
	case lengths > 1 || codings > 1:
		return ErrAmbiguousLength
	}
	return nil
}

// splitField returns the name and the value of a header line, which is given without its end. It
// returns an error if the line is no field by RFC 9110, section 5.
func splitField(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, ErrFoldedLine
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	switch {
	case !ok:
		return nil, nil, ErrNoColon
	case !httpguts.ValidHeaderFieldName(string(name)):
		return nil, nil, fmt.Errorf("%w: %q", ErrFieldName, name)
	case hasControl(value):
		return nil, nil, ErrControlInLine
	}
	return name, value, nil
}

// hasControl reports whether text has a control character besides tabs.
func hasControl(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}
