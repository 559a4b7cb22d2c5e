package httpconn

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCheckHeaderRejectsAmbiguousHeaders(t *testing.T) {
	for _, c := range []struct {
		raw  string
		want error
	}{
		{"Host: a\r\nX: b\r\n", nil},
		{"Host: a\r\nTransfer-Encoding: chunked\r\n", nil},
		{"Host: a\r\nTransfer-Encoding : chunked\r\n", ErrFieldName},
		{"Host: a\r\nHost: b\r\n", ErrMultipleHosts},
		{"Host: a\r\nX: b\r\n c\r\n", ErrFoldedLine},
		{"Host: a\r\nnonsense\r\n", ErrNoColon},
		{"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", ErrConflictingLengths},
		{"Content-Length: 1\r\nContent-Length: 2\r\n", ErrAmbiguousLength},
		{"Content-Length: +1\r\n", ErrAmbiguousLength},
		{"Transfer-Encoding: gzip, chunked\r\n", ErrAmbiguousLength},
		{"X: a\rb\r\n", ErrControlInLine},
	} {
		err := CheckHeader([]byte(c.raw))
		if c.want == nil {
			assert.NilError(t, err, c.raw)
			continue
		}
		assert.ErrorIs(t, err, c.want, c.raw)
	}
}
