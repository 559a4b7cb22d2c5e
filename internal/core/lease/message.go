// Package lease decides who holds a lease group in time. A group is held while
// a majority of its witnesses renews it; a successor claims it only after the
// witnesses' grants to the former holder have lapsed. The package is pure:
// messages and instants in, typed commands out.
//
// The scheme follows Gray and Cheriton, "Leases: An Efficient Fault-Tolerant
// Mechanism for Distributed File Cache Consistency" (1989), for the times, and
// the majority with growing numbers of Lamport, "The Part-Time Parliament"
// (1998), for the claims.
package lease

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Message is one message between a holder, a claimant and a witness. Every
// message may be lost, repeated, delayed and reordered.
type Message interface{ leaseMessage() }

// View names the version of a group that a message was built on.
type View struct {
	Group   ident.Member `codec:"g"`
	Version uint32       `codec:"n"`
}

// RenewRequest asks a witness to renew the grant of the group's holder. It carries all
// that the witness has to tell a later claimant, so that a granted renewal
// confirms the whole message.
type RenewRequest struct {
	View     View          `codec:"v"`
	Holder   ident.Member  `codec:"h"`
	Witness  ident.Member  `codec:"w"` // a later incarnation of the host ignores it
	Claim    ident.Claim   `codec:"c"`
	Seq      uint64        `codec:"q"`
	TTL      time.Duration `codec:"t"`
	Active   uint32        `codec:"a"` // the version whose majority counts
	Next     *WitnessSet   `codec:"x"` // the set that replaces View.Version
	Released []Release     `codec:"l"` // slices that left the group by consent
	Floor    ident.Offset  `codec:"f"` // a claimant needs the records before it
}

// RenewReply answers a Renew.
type RenewReply struct {
	View    View         `codec:"v"`
	Witness ident.Member `codec:"w"`
	Seq     uint64       `codec:"q"`
	Granted bool         `codec:"g"`
	Refusal Refusal      `codec:"r"`
	Claim   ident.Claim  `codec:"c"` // greatest claim the witness has granted
}

// Refusal says why a witness did not grant.
type Refusal uint8

// The reasons of a refusal.
const (
	NotRefused   Refusal = iota
	NotLapsed            // the grant to another member is still running
	SmallerClaim         // a claim at least as great was granted
	Superseded           // a later version is active
	NotWitness           // this incarnation is no witness of the version
	NotSuccessor         // the claimant is not on the list that the witness knows
)

// ClaimRequest asks a witness to give the group to a successor.
type ClaimRequest struct {
	View     View          `codec:"v"`
	Claimant ident.Member  `codec:"m"`
	Witness  ident.Member  `codec:"w"`
	Probe    bool          `codec:"p"` // ask only whether a claim would be granted
	Claim    ident.Claim   `codec:"c"` // above the greatest that a majority reported
	Seq      uint64        `codec:"q"`
	TTL      time.Duration `codec:"t"`
}

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	View     View          `codec:"v"`
	Witness  ident.Member  `codec:"w"`
	Probe    bool          `codec:"p"`
	Seq      uint64        `codec:"q"`
	Granted  bool          `codec:"g"`
	Refusal  Refusal       `codec:"r"`
	Claim    ident.Claim   `codec:"c"` // greatest claim the witness has granted
	Wait     time.Duration `codec:"t"` // for NotLapsed: the rest of the running grant
	Released []Release     `codec:"l"` // slices that left the group by consent
	Floor    ident.Offset  `codec:"f"`
	Active   uint32        `codec:"a"` // greatest version known to be active
	// Next is the set that replaces View.Version as told by the holder of
	// NextClaim; nil: none was told.
	Next      *WitnessSet `codec:"x"`
	NextClaim ident.Claim `codec:"y"`
}

// LapseHint tells a successor that the witness's grant on a group has lapsed. It is
// a hint: only granted claims give the group away.
type LapseHint struct {
	View    View         `codec:"v"`
	Witness ident.Member `codec:"w"`
	Claim   ident.Claim  `codec:"c"`
}

// Resign ends the grant of a claim: its holder has stopped for good, or its
// claimant gives way to another.
type Resign struct {
	View    View         `codec:"v"`
	Member  ident.Member `codec:"m"`
	Witness ident.Member `codec:"w"`
	Claim   ident.Claim  `codec:"c"`
}

func (*RenewRequest) leaseMessage() {}
func (*RenewReply) leaseMessage()   {}
func (*ClaimRequest) leaseMessage() {}
func (*ClaimReply) leaseMessage()   {}
func (*LapseHint) leaseMessage()    {}
func (*Resign) leaseMessage()       {}
