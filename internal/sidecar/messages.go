package sidecar

import (
	"github.com/burdockfold/burdockfold/internal/core/evacuation"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// The types of control messages between daemons, as sent on the wire.
const (
	typeHello          = "h"
	typePeerHeartbeat  = "p"
	typeConfig         = "c"
	typeVersionHint    = "v"
	typeDeparture      = "d"
	typeSupport        = "s"
	typeConsent        = "a"
	typeTableUpdate    = "g"
	typeReadRequest    = "r"
	typeReadAnswer     = "w"
	typeReadForward    = "f"
	typeRelayedEntries = "e"
	typeMemberStates   = "m"
	typeSuspects       = "q"
	typeEvacuation     = "u"
)

// hello carries the roster entry of the sender. WantReply asks the receiver to answer
// with its own entry, WantConfig to send its configuration.
type hello struct {
	Entry      roster.Entry `codec:"e"`
	WantReply  bool         `codec:"r"`
	WantConfig bool         `codec:"w"`
}

// peerHeartbeat is the heartbeat between daemons of a sharded service. It carries the
// load of the sender's server, and asks a witness for its support.
type peerHeartbeat struct {
	Utilization float32       `codec:"b"`
	Service     ident.Service `codec:"s"`
	Seq         uint32        `codec:"q"`
	NextOffset  ident.Offset  `codec:"n"` // offset up to which the sender has read the ownership stream
	LogCurrent  bool          `codec:"c"` // the sender's last read of that stream is recent
	WantStates  bool          `codec:"w"` // asks for the states of all members
}

// support is the answer of a witness to a peer heartbeat. It lets an owner go on without
// the store for a limited time.
type support struct {
	Service ident.Service `codec:"s"`
	Seq     uint32        `codec:"q"` // sequence number of the peer heartbeat
}

// consent states that a witness no longer supports the member that a suspicion names.
type consent struct {
	Service   ident.Service      `codec:"s"`
	Suspicion keyrange.Suspicion `codec:"u"`
}

// tableUpdate sends a new ownership table to the daemons whose servers it gives keys to,
// so that they need not wait for their next read of the stream.
type tableUpdate struct {
	Service   ident.Service  `codec:"s"`
	EndOffset ident.Offset   `codec:"n"` // end of the stream right after the table
	Table     keyrange.Table `codec:"t"`
}

// configDocument carries the operators' configuration to a daemon that has an older
// version.
type configDocument struct {
	Config []byte `codec:"c"`
}

// versionHint carries the version of the configuration that the sender has in force.
type versionHint struct {
	Version uint64 `codec:"v"`
}

// evacuationNotice tells which failure domains are evacuated, as the sender knows it.
type evacuationNotice struct {
	State  evacuation.State `codec:"s"`
	AgesMS []int64          `codec:"a"` // time for which each of the orders counts at the sender, in milliseconds, as the domains are ordered
}

// departureNotice tells a daemon that was restarted that the server beside it leaves.
type departureNotice struct {
	Instance roster.Instance `codec:"i"`
	AnyStart bool            `codec:"s"` // as that of roster.Departure
	AgeMS    int64           `codec:"a"` // time since the sender learned of it, in milliseconds
}
