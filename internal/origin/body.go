package origin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// Limits of the bodies of answers. A daemon holds an answer whole, on hosts of a few
// hundred megabytes.
const (
	maxAnswerBytes   = 8 << 20  // of one answer
	maxBufferedBytes = 12 << 20 // of all answers that are being read; buffers and garbage take several times as much
	minBudgetedBytes = 64 << 10 // from which an answer counts toward maxBufferedBytes
)

var (
	errAnswerTooLong = errors.New("origin: answer is too long")
	errAnswerMemory  = errors.New("origin: too many bytes of answers are being read")
)

// readWhole reads a body up to its end. length is its announced length, or negative.
// buffered counts the bytes of all bodies that are being read.
func readWhole(r io.Reader, length int64, buffered *atomic.Int64) ([]byte, error) {
	if length > maxAnswerBytes {
		return nil, fmt.Errorf("%w: %d bytes are announced", errAnswerTooLong, length)
	}
	b := &boundedReader{r: r, buffered: buffered}
	defer b.release()
	var buf bytes.Buffer
	if length > 0 {
		buf.Grow(int(min(length, minBudgetedBytes))) // more only as bytes arrive
	}
	if _, err := buf.ReadFrom(b); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// boundedReader fails when an answer, or all answers together, become too long. A plain
// limit would end the body as if it were complete.
type boundedReader struct {
	r        io.Reader
	buffered *atomic.Int64
	read     int64
	counted  int64 // bytes added to buffered
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.read += int64(n)
	if b.read > maxAnswerBytes {
		return n, errAnswerTooLong
	}
	if b.read >= minBudgetedBytes {
		added := b.read - b.counted
		b.counted = b.read
		if b.buffered.Add(added) > maxBufferedBytes {
			return n, errAnswerMemory
		}
	}
	return n, err
}

// release subtracts the bytes of the answer from those of all answers.
func (b *boundedReader) release() { b.buffered.Add(-b.counted) }
