// Package record defines the typed records of the control stream. State is a
// pure fold over them, in the order of their offsets.
package record

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Version is the version of the encoding of an Envelope.
const Version = 1

// Envelope carries one record with its writer's identity. A repeated (Writer,
// Seq) folds once.
type Envelope struct {
	Version uint8        `codec:"v"`
	Writer  ident.Member `codec:"w"`
	Seq     uint64       `codec:"q"`
	Body    Body         `codec:"-"`
}

// Body is one of the record types below.
type Body interface{ recordBody() }

// MemberJoined announces a daemon process.
type MemberJoined struct {
	Member     ident.Member   `codec:"m"`
	Location   ident.Location `codec:"l"`
	MeshAddr   string         `codec:"ma"` // host:port for daemons
	CallerAddr string         `codec:"ca"` // host:port for callers
	AdminAddr  string         `codec:"aa"` // host:port for operators
	PublicKey  []byte         `codec:"pk"` // Ed25519 key that signs the member's usage statements
}

// MemberLeft withdraws a member: by itself, or by the leader once another
// daemon holds its lease group.
type MemberLeft struct {
	Member ident.Member `codec:"m"`
	Reason LeaveReason  `codec:"r"`
}

// LeaveReason says why a member left.
type LeaveReason uint8

// The reasons of MemberLeft.
const (
	LeftVoluntarily LeaveReason = iota
	LeftReplaced
	LeftGroupLost
)

// BackendChanged tells which backend server a member serves, or that it serves
// none (empty pool).
type BackendChanged struct {
	Member       ident.Member `codec:"m"`
	Pool         ident.Pool   `codec:"p"`
	Draining     bool         `codec:"d"`
	Capabilities Capabilities `codec:"c"`
}

// Capabilities is what a backend server announces about itself.
type Capabilities struct {
	Slots          uint32        `codec:"sl"`
	Connections    uint32        `codec:"cn"`
	ChecksGrants   bool          `codec:"cg"`
	ColdStart      time.Duration `codec:"cs"`
	AcceptsCancel  bool          `codec:"ac"`
	AcceptsDueTime bool          `codec:"ad"`
	ReportsLoad    bool          `codec:"rl"`
}

// LeaderElected starts a term. It folds only if Term is one above the current.
type LeaderElected struct {
	Term   ident.Term   `codec:"t"`
	Leader ident.Member `codec:"l"`
}

// LeaderAlive renews the leader's visibility in the log.
type LeaderAlive struct {
	Term ident.Term `codec:"t"`
}

// GroupSet creates the lease group of a member or changes its witnesses and
// successors. It is written by the leader.
type GroupSet struct {
	Term       ident.Term     `codec:"t"`
	Group      ident.Member   `codec:"g"` // the first holder names the group
	Version    uint32         `codec:"n"` // one above the group's current version
	Witnesses  []ident.Member `codec:"w"`
	Successors []ident.Member `codec:"s"` // in order of precedence
}

// GroupClaimed records that a successor holds the group's lease.
type GroupClaimed struct {
	Group    ident.Member `codec:"g"`
	Claimant ident.Member `codec:"m"`
	Claim    ident.Claim  `codec:"c"`
}

// Assigned moves slices into a lease group. A slice that is already in a group
// is moved only by consent: Writer must be a holder or successor of that group.
// An unassigned slice is assigned by the leader of Term.
type Assigned struct {
	Term  ident.Term   `codec:"t"` // zero for a move by consent
	To    ident.Member `codec:"g"`
	Moves []Move       `codec:"m"`
}

// Move is one slice of an Assigned record; it is void if the slice's current
// assignment differs from Prior.
type Move struct {
	Slice           ident.Slice      `codec:"s"`
	PriorAssignment ident.Assignment `codec:"p"`
}

// HotKeySet creates or removes the slice of a single hot key. It is written by
// the leader. The new slice starts in the lease group of the hash range that
// contains the key.
type HotKeySet struct {
	Term    ident.Term    `codec:"t"`
	Service ident.Service `codec:"s"`
	Key     ident.KeyHash `codec:"k"`
	Index   uint32        `codec:"x"`
	Remove  bool          `codec:"r"`
}

// ConfigChanged carries a new version of one scope of the configuration.
type ConfigChanged struct {
	Change config.SignedChange `codec:"c"`
}

// SnapshotChunk is one part of an encoded snapshot of the state.
type SnapshotChunk struct {
	Term       ident.Term   `codec:"t"`
	NextOffset ident.Offset `codec:"o"` // the snapshot contains all records before this offset
	Index      uint32       `codec:"i"`
	Count      uint32       `codec:"n"`
	Digest     [32]byte     `codec:"d"` // SHA-256 of the whole encoded snapshot
	Data       []byte       `codec:"b"`
}

func (*MemberJoined) recordBody()   {}
func (*MemberLeft) recordBody()     {}
func (*BackendChanged) recordBody() {}
func (*LeaderElected) recordBody()  {}
func (*LeaderAlive) recordBody()    {}
func (*GroupSet) recordBody()       {}
func (*GroupClaimed) recordBody()   {}
func (*Assigned) recordBody()       {}
func (*HotKeySet) recordBody()      {}
func (*ConfigChanged) recordBody()  {}
func (*SnapshotChunk) recordBody()  {}
