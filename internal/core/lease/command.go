package lease

import "github.com/burdockfold/burdockfold/internal/core/ident"

// Command is an action that Node asks its caller to take: Send a message, or
// react to a Held, Lost or ReleaseDone event.
type Command interface{ leaseCommand() }

// Send asks the caller to send a message to a member.
type Send struct {
	To      ident.Member
	Message Message
}

// Held reports that this member now holds the lease on a group under a claim. A
// claim above 1 is a takeover.
type Held struct {
	Group    ident.Member
	Claim    ident.Claim
	Released []Release    // slices that this lease does not cover
	Floor    ident.Offset // the ownership table must include all log records before this offset
}

// Lost reports that this member's lease on a group has lapsed or that the member
// gave it up.
type Lost struct {
	Group ident.Member
	Claim ident.Claim
}

// ReleaseDone reports that a majority of the witnesses has confirmed the release
// with the number Seq, so that its slices may be assigned elsewhere.
type ReleaseDone struct {
	Group ident.Member
	Seq   uint64
}

func (*Send) leaseCommand()        {}
func (*Held) leaseCommand()        {}
func (*Lost) leaseCommand()        {}
func (*ReleaseDone) leaseCommand() {}
