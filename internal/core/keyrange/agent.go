package keyrange

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// Config sets the durations and limits of an agent. All daemons of a service must
// use the same Lease and DriftPerMille.
type Config struct {
	Lease            time.Duration // how long a read of the table covers grants while a majority of the witnesses supports the daemon
	UnsupportedLease time.Duration // how long a read of the table covers grants without that support
	SupportDuration  time.Duration // validity of a witness's support, counted from the request for it
	MaxHold          time.Duration // longest duration of a grant
	CallDelay        time.Duration // bound on the time until a call arrives at the server; 0 if grants go with answers
	DriftPerMille    int           // bound on the drift between two clocks, in 1/1000
	SuspectAfter     time.Duration // silence of an owner after which a planner suspects it
	StartupDelay     time.Duration // wait after the agent's start before the first assignment of keys
	CompletionDelay  time.Duration // further wait for servers that are expected and not ready
	RankDelay        time.Duration // added delay per rank, so that planners do not act at the same time
	BalanceInterval  time.Duration // minimum time between two balance checks

	// BalanceCooldown is the time after a move for balance in which neither its giver
	// nor its receiver hands off more keys. The requests that waited during the move
	// do not predict the load after it.
	BalanceCooldown time.Duration
}

// Candidate is a backend server of the service that may own keys.
type Candidate struct {
	Owner       Owner
	Ready       bool    // accepts new requests, and its daemon reads the table without delay
	Evacuated   bool    // its failure domain is evacuated: it receives no keys and gives away those it has
	Alive       bool    // its daemon sent a sign of life recently
	Expected    bool    // its host is listed for the service
	Slots       int     // number of requests that the server runs at once
	Utilization float64 // (slots in use + waiting requests) / slots
	Limited     bool    // states a limit on its requests per second
	Cold        bool    // it is cold, and its service bounds the requests that a cold server gets
	LimitUse    float64 // requests that arrive per second / limit; known of the agent's own server only
}

// handoff is a range that the agent plans to move to another server. It is part of
// a row of this daemon with the given fencing token and ends with that row: keys
// that moved away and came back have a new token.
type handoff struct {
	Span
	fence            uint64
	to               Owner
	omittedFromGrant bool // at least one grant has left the range out
}

// Agent makes the ownership decisions of one daemon for one service. It is not
// safe for concurrent use.
type Agent struct {
	cfg       Config
	member    ident.Member
	startedAt ident.Instant

	table         Table
	nextOffset    ident.Offset  // end of the stream when the table was read
	tableKnown    bool          // the table was read at least once
	confirmedAt   ident.Instant // the table was known to be the newest at this instant
	writeInFlight bool          // a write was sent and its outcome is not known yet
	writeUnclear  bool          // a write at unclearOffset may have been appended or may still be
	unclearOffset ident.Offset
	refusals      int           // writes refused since the last one that was not
	nextWriteAt   ident.Instant // no change that can wait is written before this instant
	tableStale    bool          // a write was refused: the table must be read again before the next one

	instance        roster.Instance // the server's current instance; zero before its first heartbeat
	adoption        uint64          // Heartbeat.Adoption of its heartbeats
	ready           bool
	draining        bool
	evacuated       bool            // the failure domain here is evacuated
	serverLost      bool            // the server is unreachable or has signed off
	heartbeatAt     ident.Instant   // when the last heartbeat was accepted
	lastSequence    int64           // sequence number of the last heartbeat
	heldRanges      []HeldRange     // as reported by the last heartbeat
	released        []ReleasedRange // released by the server; kept for the transfer tokens
	grantRecords    []grantRecord   // ranges that the current instance may hold
	grantsEnd       ident.Instant   // no grant sent so far is valid after this instant
	formerGrantsEnd ident.Instant   // no grant to an instance before the present one is valid after this instant; zero if there was none
	inherited       inheritedGrants // what is known of the grants of the daemon's previous process
	mode            GrantMode
	calls           callState // used in mode GrantByCall
	handoffs        []handoff
	suspicionSeenAt map[Suspicion]ident.Instant  // when this agent first saw each suspicion in the table
	silentSince     map[ident.Host]ident.Instant // since when each owner that is not alive has been silent
	objections      map[ident.Host]int           // how often each silent owner has objected to a suspicion
	support         supportState
	reopen          reopenState
	gapSince        ident.Instant
	nextBalanceAt   ident.Instant
	load            load
}

// NewAgent returns the agent of a daemon that has just started. It assumes that
// grants of the daemon's previous process may still be valid for MaxHold.
func NewAgent(cfg Config, m ident.Member, now ident.Instant) *Agent {
	inheritedEnd := now.Add(cfg.CallDelay + cfg.withDrift(cfg.MaxHold))
	return &Agent{
		cfg:             cfg,
		member:          m,
		startedAt:       now,
		grantsEnd:       inheritedEnd,
		inherited:       inheritedGrants{end: inheritedEnd},
		suspicionSeenAt: make(map[Suspicion]ident.Instant),
		silentSince:     make(map[ident.Host]ident.Instant),
		objections:      make(map[ident.Host]int),
		support:         newSupportState(),
	}
}

// withDrift returns the longest time that this clock may measure while another
// clock counts d.
func (c Config) withDrift(d time.Duration) time.Duration {
	return d + d*time.Duration(c.DriftPerMille)/1000 + time.Millisecond
}

// Table returns the last known table and whether there is one.
func (a *Agent) Table() (Table, bool) { return a.table, a.tableKnown }

// Instance returns the current instance of the server beside the daemon and
// whether there is one.
func (a *Agent) Instance() (roster.Instance, bool) {
	return a.instance, a.instance != roster.Instance{}
}

// selfOwner returns the owner that stands in the rows of this daemon.
func (a *Agent) selfOwner() Owner { return Owner{a.member, a.instance} }
