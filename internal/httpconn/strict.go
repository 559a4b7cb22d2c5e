package httpconn

import (
	"bytes"
	"errors"
	"fmt"
)

// Errors of CheckHeader. Each names a defect of a request header that two HTTP
// parsers might interpret differently.
var (
	ErrFoldedLine         = errors.New("httpconn: folded header line")
	ErrSpaceInFieldName   = errors.New("httpconn: space in a field name")
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
		if line[0] == ' ' || line[0] == '\t' {
			return ErrFoldedLine
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		switch {
		case !ok:
			return ErrNoColon
		case len(name) == 0 || bytes.ContainsAny(name, " \t"):
			return fmt.Errorf("%w %q", ErrSpaceInFieldName, name)
		case bytes.ContainsAny(line, "\x00\r\n"):
			return ErrControlInLine
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
