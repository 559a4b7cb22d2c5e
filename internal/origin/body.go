package origin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/burdockfold/burdockfold/internal/held"
)

// Limits of the bodies of answers. A daemon holds an answer whole, on hosts of a few
// hundred megabytes.
const (
	maxAnswerBytes = 8 << 20  // of one answer
	partBytes      = 64 << 10 // of the parts in which a long answer of unknown length is read
	firstPartBytes = 4 << 10  // of the first of them
)

var errAnswerTooLong = errors.New("origin: answer is too long")

// readWhole reads a body up to its end. length is its announced length, or negative. A long
// body is read only as there is room for it in memory; the caller releases its room.
func readWhole(ctx context.Context, r io.Reader, length int64, memory *held.Memory) (body []byte, room held.Answer, err error) {
	room = memory.NewAnswer()
	if length > maxAnswerBytes {
		return nil, room, fmt.Errorf("%w: %d bytes are announced", errAnswerTooLong, length)
	}
	b := &boundedReader{r: r}
	if length >= 0 && (length < held.LongBytes || memory.Known()) {
		body, err = readAnnounced(ctx, b, int(length), &room)
	} else {
		body, err = readParts(ctx, b, memory.Known(), &room)
	}
	if err != nil {
		room.Release()
		return nil, room, err
	}
	room.DoneReading()
	return body, room, nil
}

// readAnnounced reads a body of announced length.
func readAnnounced(ctx context.Context, r io.Reader, length int, room *held.Answer) ([]byte, error) {
	var err error
	if length < held.LongBytes {
		err = room.Count(length)
	} else {
		err = room.Grow(ctx, length)
	}
	if err != nil {
		return nil, err
	}
	body, err := readPart(r, make([]byte, length+1)) // a byte more, so that the end of the body is seen
	if err == io.EOF {
		return body, nil
	}
	if err == nil {
		err = errAnswerTooLong
	}
	return nil, err
}

// readParts reads a body in parts. They are not copied while the answer grows: the garbage of
// 50 answers of several megabytes would be more than the memory of a daemon. The whole copy
// at the end takes room too if withCopy is set.
func readParts(ctx context.Context, r io.Reader, withCopy bool, room *held.Answer) ([]byte, error) {
	size, length := firstPartBytes, 0
	var parts [][]byte
	for {
		var err error
		if length == 0 {
			err = room.Count(size)
		} else {
			err = room.Grow(ctx, size)
		}
		if err != nil {
			return nil, err
		}
		part, err := readPart(r, make([]byte, size))
		parts, length = append(parts, part), length+len(part)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
		size = partBytes
	}
	if len(parts) == 1 {
		return parts[0], nil
	}
	if withCopy {
		if err := room.Grow(ctx, length); err != nil {
			return nil, err
		}
		defer room.Shrink(length)
	}
	return bytes.Join(parts, nil), nil
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

// boundedReader fails when an answer becomes too long. A plain limit would end the body as if
// it were complete.
type boundedReader struct {
	r    io.Reader
	read int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.read += int64(n)
	if b.read > maxAnswerBytes {
		return n, errAnswerTooLong
	}
	return n, err
}
