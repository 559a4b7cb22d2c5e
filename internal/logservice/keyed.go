package logservice

import (
	"context"
	"errors"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// KeyedEntry is the newest record of one key.
type KeyedEntry struct {
	Key    string
	Value  []byte
	Offset ident.Offset
}

// Newest is what a keyed stream holds: the newest record of each key.
type Newest struct {
	Entries []KeyedEntry
	Next    ident.Offset // offset that the next append gets, read before the entries
}

// Changes are the records of a keyed stream from an offset on.
type Changes struct {
	Entries []KeyedEntry
	Next    ident.Offset
}

// ErrMoved means that a conditional append did not find the stream's end where
// it expected it, so that nothing was written.
var ErrMoved = errors.New("logservice: the stream has moved on")

// KeyedLog is a log service whose streams keep the newest record of each key for
// good. Implementations are safe for concurrent use.
type KeyedLog interface {
	// Era returns the newest era that an answer has shown. It rises each time the log
	// comes back from a copy, without the records that were appended after the copy.
	Era() uint64
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, s Stream) (Newest, error)
	// Poll returns the records from an offset on. Without one it waits, at most
	// for the time given, and then returns none. ErrTruncated means that records
	// are gone, or that the log has come back from a copy since that offset was given
	// out, and Newest has to be read again.
	Poll(ctx context.Context, s Stream, from ident.Offset, wait time.Duration) (Changes, error)
	// Put appends the record of a key; without a value it deletes the key's. Errors are those of Log.Append.
	Put(ctx context.Context, s Stream, key string, value []byte) error
	// PutAt appends the record of a key if the stream ends at the offset. Besides
	// the errors of Log.Append it returns ErrMoved. The record may be appended after
	// the log has come back from a copy: a reader must not take it for one that was
	// written in the later era.
	PutAt(ctx context.Context, s Stream, at ident.Offset, key string, value []byte) error
}

// The keyed streams.
const (
	ConfigStream    Stream = "burdock.config"    // the operators' configuration, by ConfigKey
	OwnershipStream Stream = "burdock.ownership" // owners of shard keys, by service
	HostStream      Stream = "burdock.hosts"     // where daemons run, by host
	SuspectStream   Stream = "burdock.suspects"  // requests that end servers, by fingerprint
)

// ConfigKey is the key of the configuration in force.
const ConfigKey = "config"
