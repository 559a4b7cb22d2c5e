package origin

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// Answers that end at the border of a part, or break off there, must be whole or fail.
func TestAnswersAroundTheSizeOfAPart(t *testing.T) {
	for _, n := range []int{0, 1, firstPartBytes - 1, firstPartBytes, firstPartBytes + 1, partBytes, firstPartBytes + partBytes, firstPartBytes + partBytes + 1, 1 << 20} {
		want := bytes.Repeat([]byte("0123456789abcdef"), n/16+1)[:n]
		for _, length := range []int64{-1, int64(n)} {
			var buffered atomic.Int64
			for _, r := range []io.Reader{bytes.NewReader(want), iotest.DataErrReader(bytes.NewReader(want)), iotest.HalfReader(bytes.NewReader(want))} {
				got, err := readWhole(r, length, &buffered)
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(got, want), "%d of %d bytes", len(got), n)
			}
			for _, cut := range []error{io.ErrUnexpectedEOF, errors.New("reset")} {
				_, err := readWhole(io.MultiReader(bytes.NewReader(want), iotest.ErrReader(cut)), length, &buffered)
				assert.ErrorIs(t, err, cut)
			}
			assert.Equal(t, buffered.Load(), int64(0))
		}
	}
}
