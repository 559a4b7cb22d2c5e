// Package logservice is the narrow client interface of the platform's log
// service: append-only streams of byte records with offsets.
package logservice

import (
	"context"
	"errors"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Stream is the name of a stream of the log service.
type Stream string

// The streams that the system keeps.
const (
	ControlStream Stream = "burdock.control"
	UsageStream   Stream = "burdock.usage"
)

// Entry is one record of a stream.
type Entry struct {
	Offset ident.Offset
	Data   []byte
}

// Bounds are the offsets that a stream holds: Oldest is the first record kept,
// Next the offset that the next append will get.
type Bounds struct {
	Oldest ident.Offset
	Next   ident.Offset
}

// The errors of a Log. Every other error means that nothing was written.
var (
	// ErrOutcomeUnknown means that an append may have taken effect.
	ErrOutcomeUnknown = errors.New("logservice: outcome of the append is unknown")
	// ErrUnavailable means that the log service did not serve the call and that
	// nothing was written.
	ErrUnavailable = errors.New("logservice: unavailable")
	// ErrTruncated means that the offset is older than the oldest kept record.
	ErrTruncated = errors.New("logservice: offset is no longer kept")
)

// Log is the log service as the rest of the system sees it. Implementations are
// safe for concurrent use.
type Log interface {
	// Append writes the records as one batch and returns the offset of the
	// first. The batch is written whole or not at all.
	Append(ctx context.Context, s Stream, records [][]byte) (ident.Offset, error)
	// Read returns entries from an offset on, at most limit of them. Without a
	// new entry it waits until one arrives, ctx ends or the client's poll time
	// is over, and then returns none.
	Read(ctx context.Context, s Stream, from ident.Offset, limit int) ([]Entry, error)
	// Bounds returns the stream's bounds.
	Bounds(ctx context.Context, s Stream) (Bounds, error)
}
