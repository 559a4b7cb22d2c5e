// Package lease implements the time-bounded leases that decide which member
// holds a lease group, and with it the slices assigned to that group. Its input
// consists of the groups recorded in the log, messages from other members and
// instants of the local clock. Its output is typed commands: messages to send, and
// reports that a lease was gained or lost. The package does no I/O and reads no
// clock.
//
// At any time at most one member holds a group. A holder keeps its lease while a
// majority of the group's witnesses renews it. A successor can claim the group
// only after the grants of a majority to the former holder have lapsed or the
// holder has resigned. A holder
// counts a grant from the instant at which it sent the request, shortened by the
// bound on clock drift; a witness counts it from the receipt, lengthened by the
// same bound. Therefore a grant lapses at the holder before it lapses at the
// witness.
//
// The timing follows Gray and Cheriton, "Leases: An Efficient Fault-Tolerant
// Mechanism for Distributed File Cache Consistency" (1989). Claims use majorities
// and increasing numbers as in Lamport, "The Part-Time Parliament" (1998).
package lease

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Message is a message between a holder, a claimant and a witness. The protocol
// tolerates loss, duplication, delay and reordering of every message.
type Message interface{ leaseMessage() }

// View identifies the version of a group that the sender of a message used.
type View struct {
	Group   ident.Member `codec:"g"`
	Version uint32       `codec:"n"`
}

// RenewRequest asks a witness to renew its grant to the group's holder. It
// contains everything that the witness has to pass on to a later claimant, so
// that a granted renewal confirms the whole message.
type RenewRequest struct {
	View     View          `codec:"v"`
	Holder   ident.Member  `codec:"h"`
	Witness  ident.Member  `codec:"w"` // a later incarnation on the same host ignores the request
	Claim    ident.Claim   `codec:"c"`
	Seq      uint64        `codec:"q"`
	TTL      time.Duration `codec:"t"`
	Active   uint32        `codec:"a"` // version whose majority decides whether the lease is valid
	Next     *WitnessSet   `codec:"x"` // the set that replaces the one of View.Version; nil if none
	Released []Release     `codec:"l"` // slices that holders have released from the group
	Floor    ident.Offset  `codec:"f"` // a claimant must have folded all records before this offset
}

// RenewReply is the answer to a RenewRequest.
type RenewReply struct {
	View    View         `codec:"v"`
	Witness ident.Member `codec:"w"`
	Seq     uint64       `codec:"q"`
	Granted bool         `codec:"g"`
	Refusal Refusal      `codec:"r"`
	Claim   ident.Claim  `codec:"c"` // greatest claim that the witness has granted
}

// Refusal is the reason why a witness refused a request.
type Refusal uint8

// Reasons of a refusal.
const (
	NotRefused   Refusal = iota
	NotLapsed            // the grant to another member has not lapsed
	SmallerClaim         // the witness has granted a claim at least as great
	Superseded           // a later version is active
	NotWitness           // this incarnation is not a witness of the version
	NotSuccessor         // the claimant is not a candidate in the version that the witness knows
)

// ClaimRequest asks a witness to grant the group to a successor.
type ClaimRequest struct {
	View     View          `codec:"v"`
	Claimant ident.Member  `codec:"m"`
	Witness  ident.Member  `codec:"w"`
	Probe    bool          `codec:"p"` // only ask whether the witness would grant a claim
	Claim    ident.Claim   `codec:"c"` // one above the greatest claim that a majority reported; zero in a probe
	Seq      uint64        `codec:"q"`
	TTL      time.Duration `codec:"t"`
}

// ClaimReply is the answer to a ClaimRequest.
type ClaimReply struct {
	View     View          `codec:"v"`
	Witness  ident.Member  `codec:"w"`
	Probe    bool          `codec:"p"`
	Seq      uint64        `codec:"q"`
	Granted  bool          `codec:"g"`
	Refusal  Refusal       `codec:"r"`
	Claim    ident.Claim   `codec:"c"` // greatest claim that the witness has granted
	Wait     time.Duration `codec:"t"` // for NotLapsed: remaining time of the other grant
	Released []Release     `codec:"l"` // slices that holders have released from the group
	Floor    ident.Offset  `codec:"f"` // as in RenewRequest
	Active   uint32        `codec:"a"` // greatest version known to be active
	// Next is the set that replaces the one of View.Version, as received from the
	// holder of the claim NextClaim. It is nil if the witness received none.
	Next      *WitnessSet `codec:"x"`
	NextClaim ident.Claim `codec:"y"`
}

// LapseHint notifies a candidate that a witness's grant on a group has lapsed. It
// only prompts a claim; the group changes hands by granted claims alone.
type LapseHint struct {
	View    View         `codec:"v"`
	Witness ident.Member `codec:"w"`
	Claim   ident.Claim  `codec:"c"`
}

// Resign asks a witness to end its grant to a claim early, because the holder has
// stopped permanently or the claimant withdraws in favour of another.
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
