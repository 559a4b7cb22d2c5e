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
	maxBufferedBytes = 12 << 20 // of all answers that are being read; the copies of whole answers come on top
	minBudgetedBytes = 64 << 10 // from which an answer counts toward maxBufferedBytes
	partBytes        = 64 << 10 // of the parts in which a long answer is read
	firstPartBytes   = 4 << 10  // of the first part of an answer of unknown length
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
	size := int64(firstPartBytes)
	if length >= 0 {
		size = min(length+1, partBytes) // a byte more, so that the end of the body is seen without another part
	}
	// Parts are not copied while the answer grows: the garbage of 50 answers of several
	// megabytes would be more than the memory of a daemon.
	var parts [][]byte
	for {
		part, err := readPart(b, make([]byte, size))
		parts = append(parts, part)
		if err == io.EOF {
			return joinParts(parts), nil
		}
		if err != nil {
			return nil, err
		}
		size = partBytes
	}
}

// readPart reads until a part is full or the reader ends. It returns io.EOF only if the
// reader has, which then ended in the part or right before it.
func readPart(r io.Reader, part []byte) ([]byte, error) {
	n := 0
	for n < len(part) {
		m, err := r.Read(part[n:])
		n += m
		if err != nil {
			return part[:n], err
		}
	}
	return part, nil
}

// joinParts returns the bytes of all parts in one slice.
func joinParts(parts [][]byte) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	return bytes.Join(parts, nil)
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
