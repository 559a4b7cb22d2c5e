// Package usage decides how use is counted, chained into statements and
// reconciled between the two ends of each hop. It does no I/O.
package usage

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Line is the use of one service between two regions as counted by one member
// at one end of the hop to a peer. Peer is zero for work from callers: there each
// request counts once, wherever it ran, and the rest is of runs here.
type Line struct {
	Service          ident.Service `codec:"s"`
	Tenant           ident.Tenant  `codec:"t"`
	Peer             ident.Member  `codec:"p"`
	PeerRegion       ident.Region  `codec:"r"`
	Sent             bool          `codec:"o"` // true at the forwarding end
	Requests         uint64        `codec:"n"`
	Refusals         uint64        `codec:"f"`
	Executed         uint64        `codec:"x"`
	SlotMillis       uint64        `codec:"m"`
	BytesIn          uint64        `codec:"bi"`
	BytesOut         uint64        `codec:"bo"`
	InterregionBytes uint64        `codec:"br"`
}

// Statement is a member's use in one interval. Prev is the SHA-256 of the
// canonical encoding of the member's statement before, zero for the first.
type Statement struct {
	Member   ident.Member `codec:"m"`
	Region   ident.Region `codec:"r"`
	Sequence uint64       `codec:"q"` // from 1, without gaps
	From     int64        `codec:"f"` // Unix milliseconds
	To       int64        `codec:"t"` // Unix milliseconds
	Prev     [32]byte     `codec:"p"`
	Lines    []Line       `codec:"l"` // sorted by service, peer, direction
}

// SignedStatement is a statement with the member's Ed25519 signature of its
// canonical encoding.
type SignedStatement struct {
	Statement Statement `codec:"s"`
	Signature []byte    `codec:"g"`
}
