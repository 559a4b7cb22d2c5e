// Package usage defines how the use of services is counted, recorded in signed
// statements and reconciled. A Meter sums samples of requests into lines. A Chain
// signs the lines of each interval as a statement that contains the hash of the
// member's previous statement, so that Verify finds any statement that was left
// out, altered or forged. SumTotals sums verified statements for billing, and
// ReconcileMembers and ReconcileRegions compare what both ends of each hop
// counted. The package does no I/O.
package usage

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Line is the use of one service by one tenant as counted by one member. A line
// with a peer covers one direction of the hops between the member and that peer,
// as seen from the member's end. If the peer is OtherPeers, the line sums several
// peers of PeerRegion. A line whose Peer is zero covers the requests that callers
// sent to this member: Requests and Refusals count each request once, wherever it
// was executed, and the other counts cover only executions at this member.
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
	InterregionBytes uint64        `codec:"br"` // both directions; zero if the peer is in the same region
}

// Statement is the use that a member counted in one interval. Prev is the SHA-256
// of the canonical encoding of the member's previous statement, and zero in the
// first statement.
type Statement struct {
	Member   ident.Member `codec:"m"`
	Region   ident.Region `codec:"r"`
	Sequence uint64       `codec:"q"` // starts at 1, without gaps
	From     int64        `codec:"f"` // Unix milliseconds
	To       int64        `codec:"t"` // Unix milliseconds
	Prev     [32]byte     `codec:"p"`
	Lines    []Line       `codec:"l"` // sorted by service, tenant, peer, peer region and direction
}

// SignedStatement is a statement with the member's Ed25519 signature over its
// canonical encoding.
type SignedStatement struct {
	Statement Statement `codec:"s"`
	Signature []byte    `codec:"g"`
}
