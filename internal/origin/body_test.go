package origin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/held"
)

// Answers that end at the border of a part, or break off there, must be whole or fail.
func TestAnswersAroundTheSizeOfAPart(t *testing.T) {
	for _, n := range []int{0, 1, firstPartBytes - 1, firstPartBytes, firstPartBytes + 1, partBytes, firstPartBytes + partBytes, firstPartBytes + partBytes + 1, 1 << 20} {
		want := bytes.Repeat([]byte("0123456789abcdef"), n/16+1)[:n]
		for _, length := range []int64{-1, int64(n)} {
			var memory held.Memory
			for _, r := range []io.Reader{bytes.NewReader(want), iotest.DataErrReader(bytes.NewReader(want)), iotest.HalfReader(bytes.NewReader(want))} {
				got, room, err := readWhole(context.Background(), r, length, &memory)
				assert.NilError(t, err)
				room.Release()
				assert.Assert(t, bytes.Equal(got, want), "%d of %d bytes", len(got), n)
			}
			for _, cut := range []error{io.ErrUnexpectedEOF, errors.New("reset")} {
				_, _, err := readWhole(context.Background(), io.MultiReader(bytes.NewReader(want), iotest.ErrReader(cut)), length, &memory)
				assert.ErrorIs(t, err, cut)
			}
			total, _, answers := memory.Bytes()
			assert.Assert(t, total == 0 && answers == 0, "%d and %d bytes stay counted", total, answers)
		}
	}
}
