package leasing

import (
	"context"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// SliceInfo is the group that a slice is assigned to according to the log.
type SliceInfo struct {
	Slice      ident.Slice
	Group      ident.Member
	Assignment ident.Assignment
}

// TableView is the ownership table folded from the log. Its methods are safe
// for concurrent use and never return to an older state.
type TableView interface {
	// Position returns the offset after the last folded record.
	Position() ident.Offset
	Groups() []lease.Group
	Group(id ident.Member) (lease.Group, bool)
	Slice(s ident.Slice) (SliceInfo, bool)
	GroupSlices(group ident.Member) []SliceInfo
}

// Recorder appends records to the log.
type Recorder interface {
	// Record returns nil after the records were appended and folded into the
	// table of this daemon; otherwise it returns logservice.ErrUnavailable or
	// logservice.ErrOutcomeUnknown. A record that was written twice takes
	// effect once.
	Record(ctx context.Context, bodies ...record.Body) error
	// LogAvailable reports whether the latest use of the log succeeded.
	LogAvailable() bool
}

// SliceGrant permits the backend server to work on a slice at an epoch.
type SliceGrant struct {
	Slice ident.Slice
	Epoch ident.Epoch
}

// Granter sends the backend server beside this daemon the slices that it may
// work on.
type Granter interface {
	Grant(ctx context.Context, grants []SliceGrant, ttl time.Duration) error
}

// IdempotencyRecords exports the idempotency records of a slice and imports
// those from its previous holder. Both methods are fast and do no I/O.
type IdempotencyRecords interface {
	ExportSlice(s ident.Slice) ([]byte, error)
	ImportSlice(s ident.Slice, data []byte) error
}

// Directory returns the mesh address of a member.
type Directory interface {
	Peer(m ident.Member) (mesh.Peer, bool)
}

// Transport sends control messages. It may lose them.
type Transport interface {
	Send(to mesh.Peer, m mesh.Message)
}

// PlannedMove is a slice that should move from one lease group to another. The
// move is void if the slice's assignment is no longer PriorAssignment.
type PlannedMove struct {
	Slice           ident.Slice
	From            ident.Member
	To              ident.Member
	PriorAssignment ident.Assignment
}

// MovePlanner proposes moves, the most urgent first.
type MovePlanner interface {
	PlannedMoves() []PlannedMove
}
