// Package record defines the records of the control stream and their encoding.
// Daemons append records to the stream; package ownership folds them in the order
// of their offsets into the ownership table. A record carries its writer, a
// sequence number of the writer and a typed body. A record only proposes a change:
// whether it takes effect depends on the state at its offset.
package record

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Version is the version of the record encoding.
const Version = 1

// Envelope is one record with the identity of its writer. Sequence numbers of a
// writer increase, so that a record that was appended twice folds only once.
type Envelope struct {
	Version uint8        `codec:"v"`
	Writer  ident.Member `codec:"w"`
	Seq     uint64       `codec:"q"`
	Body    Body         `codec:"-"` // encoded separately, see Encode
}

// Body is a pointer to one of the record types below.
type Body interface{ recordBody() }

// MemberJoined adds a daemon process as a member. The member itself writes it.
type MemberJoined struct {
	Member     ident.Member   `codec:"m"`
	Location   ident.Location `codec:"l"`
	MeshAddr   string         `codec:"ma"` // host:port for other daemons
	CallerAddr string         `codec:"ca"` // host:port for callers
	AdminAddr  string         `codec:"aa"` // host:port for operators
	PublicKey  []byte         `codec:"pk"` // Ed25519 key that signs the member's usage statements
}

// MemberLeft removes a member. The member writes it when it leaves, or the leader
// once the member no longer holds its own lease group.
type MemberLeft struct {
	Member ident.Member `codec:"m"`
	Reason LeaveReason  `codec:"r"`
}

// LeaveReason is the reason why a member left.
type LeaveReason uint8

// Reasons of a MemberLeft record.
const (
	LeftVoluntarily LeaveReason = iota // written by the member itself
	LeftReplaced                       // replaced by a newer process on its host
	LeftGroupLost                      // another member holds its lease group
)

// BackendChanged states which backend server a member serves. The member writes it.
// An empty pool means that the member serves none.
type BackendChanged struct {
	Member       ident.Member `codec:"m"`
	Pool         ident.Pool   `codec:"p"`
	Draining     bool         `codec:"d"`
	Capabilities Capabilities `codec:"c"`
}

// Capabilities describes a backend server as the server announced itself.
type Capabilities struct {
	Slots           uint32        `codec:"sl"` // requests that the server can run at the same time
	Connections     uint32        `codec:"cn"` // connections that the server accepts
	ChecksGrants    bool          `codec:"cg"` // checks the fencing token of each request against its grants
	ColdStart       time.Duration `codec:"cs"`
	AcceptsCancel   bool          `codec:"ac"` // accepts the cancellation of a request
	AcceptsDeadline bool          `codec:"ad"` // accepts the deadline of a request
	ReportsLoad     bool          `codec:"rl"` // announces its slots in use
}

// LeaderElected starts a term. The new leader writes it. It folds only if Term is
// one above the current term.
type LeaderElected struct {
	Term   ident.Term   `codec:"t"`
	Leader ident.Member `codec:"l"`
}

// LeaderAlive shows that the leader of Term is alive, so that no other member starts
// an election.
type LeaderAlive struct {
	Term ident.Term `codec:"t"`
}

// GroupSet creates the lease group of a member or changes its witnesses and
// successors. The leader writes it.
type GroupSet struct {
	Term       ident.Term     `codec:"t"`
	Group      ident.Member   `codec:"g"` // the first holder, which identifies the group
	Version    uint32         `codec:"n"` // one above the group's current version
	Witnesses  []ident.Member `codec:"w"`
	Successors []ident.Member `codec:"s"` // in order of precedence
}

// GroupClaimed records a takeover: Claimant holds the lease of the group under the
// number Claim. The claimant writes it.
type GroupClaimed struct {
	Group    ident.Member `codec:"g"`
	Claimant ident.Member `codec:"m"`
	Claim    ident.Claim  `codec:"c"`
}

// Assigned moves slices into the lease group To. A slice that is already in a group
// moves only by consent, that is, if the holder or a successor of that group writes
// the record. The leader of Term assigns unassigned slices.
type Assigned struct {
	Term  ident.Term   `codec:"t"` // zero for a move by consent
	To    ident.Member `codec:"g"`
	Moves []Move       `codec:"m"`
}

// Move names one slice of an Assigned record. It is void unless the current
// assignment of the slice equals PriorAssignment.
type Move struct {
	Slice           ident.Slice      `codec:"s"`
	PriorAssignment ident.Assignment `codec:"p"`
}

// HotKeySet creates or removes the slice of a single hot key. The leader writes it.
// A new slice starts in the lease group of the hash range that contains the key.
type HotKeySet struct {
	Term    ident.Term    `codec:"t"`
	Service ident.Service `codec:"s"`
	Key     ident.KeyHash `codec:"k"`
	Index   uint32        `codec:"x"` // index of the slice, above those of the hash ranges
	Remove  bool          `codec:"r"` // removes the slice instead of creating it
}

// ConfigChanged contains a new version of one scope of the configuration. Its
// signatures authorize it; the writer need not be a member.
type ConfigChanged struct {
	Change config.SignedChange `codec:"c"`
}

// SnapshotChunk is one part of an encoded snapshot of the ownership state. The leader
// writes it. Readers reassemble the snapshot from the Count chunks with the same
// NextOffset and Digest.
type SnapshotChunk struct {
	Term       ident.Term   `codec:"t"`
	NextOffset ident.Offset `codec:"o"` // the snapshot contains all records below this offset
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
