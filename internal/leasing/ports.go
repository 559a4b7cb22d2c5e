package leasing

import (
	"context"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// SliceInfo is where the log has put a slice.
type SliceInfo struct {
	Slice      ident.Slice
	Group      ident.Member
	Assignment ident.Assignment
}

// TableView is the state folded from the log. Its methods are safe for
// concurrent use and never go back to an older state.
type TableView interface {
	// Position is the offset after the last folded record.
	Position() ident.Offset
	Groups() []lease.Group
	Group(id ident.Member) (lease.Group, bool)
	Slice(s ident.Slice) (SliceInfo, bool)
	GroupSlices(group ident.Member) []SliceInfo
}

// Recorder appends records to the log. It returns after they were appended and
// folded here, else with logservice.ErrUnavailable or
// logservice.ErrOutcomeUnknown. A record that was written twice folds once.
type Recorder interface {
	Record(ctx context.Context, bodies ...record.Body) error
	// LogAvailable reports whether the last use of the log succeeded.
	LogAvailable() bool
}

// SliceGrant is the right of the backend server to work on a slice.
type SliceGrant struct {
	Slice ident.Slice
	Epoch ident.Epoch
}

// Granter tells the backend server beside this daemon what it may work on.
type Granter interface {
	Grant(ctx context.Context, grants []SliceGrant, ttl time.Duration) error
}

// IdempotencyRecords gives and takes the record of idempotency keys of a slice. Both
// methods are quick and do no I/O.
type IdempotencyRecords interface {
	ExportSlice(s ident.Slice) ([]byte, error)
	ImportSlice(s ident.Slice, data []byte) error
}

// Directory finds the mesh address of a member.
type Directory interface {
	Peer(m ident.Member) (mesh.Peer, bool)
}

// Transport sends control messages; it may lose them.
type Transport interface {
	Send(to mesh.Peer, m mesh.Message)
}

// PlannedMove is a slice that should leave one lease group for another.
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
