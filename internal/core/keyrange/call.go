package keyrange

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
)

// GrantMode is the way in which the servers of a service receive their grants.
type GrantMode uint8

// The grant modes.
const (
	GrantByHeartbeat GrantMode = iota // in the answers to their heartbeats
	GrantByCall                       // by calls of the daemon beside the server
)

// Limits of the calls to the server.
const (
	maxGrantCalls      = 8                      // grants in flight
	maxReleaseCalls    = 8                      // releases in flight; each may wait for running requests
	renewalsPerHold    = 3                      // a grant is renewed after this fraction of its duration
	minCallHold        = 100 * time.Millisecond // a shorter grant is not worth a call
	callRetryDelay     = 100 * time.Millisecond // between a call without effect and its repetition
	maxReleasedRecords = 256                    // transfer tokens that the agent remembers
)

// CallKind is the kind of a call to the server.
type CallKind uint8

// The kinds of calls.
const (
	CallGrant   CallKind = iota // the server holds the span from the arrival of the call, for Hold
	CallRelease                 // the server takes no more work for the span, and answers once its running work has ended
)

// Call is a call to the server that the caller makes and whose outcome it reports
// with Agent.ApplyCallOutcome.
type Call struct {
	ID       uint64
	Kind     CallKind
	Instance roster.Instance // the server instance that the call is meant for
	Span
	Fence         uint64
	TransferToken string        // for CallGrant, from the previous holder; may be empty
	Hold          time.Duration // for CallGrant, counted from the arrival of the call
	Timeout       time.Duration // for CallRelease, after which the answer no longer matters
}

// CallOutcome is what the caller knows of a call.
type CallOutcome uint8

// The outcomes of a call.
const (
	CallDone    CallOutcome = iota // the server confirmed it
	CallFenced                     // the server has seen a greater fencing token on one of the keys
	CallNotDone                    // the server did not carry it out and never will
	CallUnclear                    // it may have been carried out, or may still be
)

// String returns the name of the kind for logs and metrics.
func (k CallKind) String() string { return [...]string{"grant", "release"}[k] }

// String returns the name of the outcome for logs and metrics.
func (o CallOutcome) String() string { return [...]string{"done", "fenced", "not_done", "unclear"}[o] }

// callStatus is the status of a grant that was sent to the server.
type callStatus uint8

const (
	callPending   callStatus = iota // in flight
	callConfirmed                   // confirmed by the server
	callUnclear                     // unanswered; the server may still apply it
	callReleasing                   // confirmed, and a release of it was sent
)

// sentGrant is a grant that was sent to the server, or the part of it that was not
// released.
type sentGrant struct {
	Span
	fence  uint64
	callID uint64
	status callStatus
	sent   ident.Instant
	usable ident.Instant // the server holds the span at least until then, if it has applied the grant
	end    ident.Instant // the server does not hold the span after this instant

	released bool // a release of the span was confirmed, but the server may still apply the grant
}

// sentRelease is a release in flight.
type sentRelease struct {
	Span
	callID uint64
}

// callState is what an agent keeps of the calls to its server.
type callState struct {
	lastID       uint64
	grants       []sentGrant
	releases     []sentRelease
	fenced       map[uint64]bool // fencing tokens that the server refused
	retryAt      ident.Instant   // no call before this instant
	disconnected bool            // a connection to the server broke after its last heartbeat
}

// SetGrantMode sets the way in which the server receives its grants.
func (a *Agent) SetGrantMode(m GrantMode) { a.mode = m }

// GrantMode returns the way in which the server receives its grants.
func (a *Agent) GrantMode() GrantMode { return a.mode }

// Calls returns the calls to the server that are due. It marks them as in flight, so
// that the caller must send each of them at once. It returns nil unless the grant mode
// is GrantByCall and the server is known.
func (a *Agent) Calls(now ident.Instant) []Call {
	if a.mode != GrantByCall || a.instance.ID == "" || !a.tableKnown || now < a.calls.retryAt {
		return nil
	}
	a.pruneGrants(now)
	wanted := a.wantedRows(now)
	calls := a.dueReleases(wanted, now)
	if !a.serverLost && !a.calls.disconnected {
		calls = append(calls, a.dueGrants(wanted, now)...)
	}
	return calls
}

// pruneGrants drops the records of grants that have expired.
func (a *Agent) pruneGrants(now ident.Instant) {
	kept := a.calls.grants[:0]
	for _, g := range a.calls.grants {
		if now <= g.end {
			kept = append(kept, g)
		}
	}
	a.calls.grants = kept
}

// wantedRows returns the rows that the server is to hold.
func (a *Agent) wantedRows(now ident.Instant) []Row {
	var rows []Row
	for _, r := range a.table.Rows {
		if r.Owner == a.selfOwner() {
			for _, part := range a.retainedRows(r) {
				for _, renewable := range a.reopen.renewableParts(part) {
					rows = append(rows, a.withoutContested(renewable, now)...)
				}
			}
		}
	}
	return rows
}

// dueReleases returns releases of what the server may hold and is not to hold. It
// omits spans with a call in flight: the order in which the server receives two
// concurrent calls is not known.
func (a *Agent) dueReleases(wanted []Row, now ident.Instant) []Call {
	var calls []Call
	for _, part := range a.surplusGrants(wanted) {
		if len(a.calls.releases) >= maxReleaseCalls || a.callInFlight(part.Span) {
			continue
		}
		c := a.newCall(CallRelease, part.Span, part.fence)
		c.Timeout = part.end.Sub(now)
		a.calls.releases = append(a.calls.releases, sentRelease{part.Span, c.ID})
		a.markReleasing(part.Span)
		calls = append(calls, c)
	}
	return calls
}

// surplusGrants returns the parts of the sent grants that no wanted row covers, one
// for each span and fencing token.
func (a *Agent) surplusGrants(wanted []Row) []sentGrant {
	var surplus []sentGrant
	for _, g := range a.calls.grants {
		if g.released {
			continue
		}
		parts := []Span{g.Span}
		for _, r := range wanted {
			parts = subtractAll(parts, r.Span)
		}
		for _, p := range parts {
			part := g
			part.Span = p
			if i := indexOfSpan(surplus, part); i >= 0 {
				surplus[i].end = max(surplus[i].end, part.end)
				continue
			}
			surplus = append(surplus, part)
		}
	}
	return surplus
}

func indexOfSpan(gs []sentGrant, g sentGrant) int {
	for i, o := range gs {
		if o.Span == g.Span && o.fence == g.fence {
			return i
		}
	}
	return -1
}

// subtractAll removes a span from each of the parts.
func subtractAll(parts []Span, s Span) []Span {
	var rest []Span
	for _, p := range parts {
		rest = append(rest, p.subtract(s)...)
	}
	return rest
}

// callInFlight reports whether a call that concerns a key of the span is in flight.
func (a *Agent) callInFlight(s Span) bool {
	for _, g := range a.calls.grants {
		if g.status == callPending && g.Overlaps(s) {
			return true
		}
	}
	return a.releaseInFlight(s)
}

func (a *Agent) releaseInFlight(s Span) bool {
	for _, r := range a.calls.releases {
		if r.Overlaps(s) {
			return true
		}
	}
	return false
}

// markReleasing marks the confirmed grants of a span: requests for its keys are no
// longer passed to the server.
func (a *Agent) markReleasing(s Span) {
	a.replaceGrants(s, func(part sentGrant) (sentGrant, bool) {
		if part.status == callConfirmed {
			part.status = callReleasing
		}
		return part, true
	})
}

// replaceGrants replaces the parts of the sent grants that lie in a span by the
// results of f, or drops them if its second result is false.
func (a *Agent) replaceGrants(s Span, f func(part sentGrant) (sentGrant, bool)) {
	var out []sentGrant
	for _, g := range a.calls.grants {
		for _, rest := range g.Span.subtract(s) {
			outside := g
			outside.Span = rest
			out = append(out, outside)
		}
		if !g.Overlaps(s) {
			continue
		}
		inside := g
		inside.Span = g.intersect(s)
		if inside, keep := f(inside); keep {
			out = append(out, inside)
		}
	}
	a.calls.grants = out
}

// dueGrants returns grants of the wanted rows that the server does not hold yet or
// whose grants must be renewed. It sorts the wanted rows.
func (a *Agent) dueGrants(wanted []Row, now ident.Instant) []Call {
	left := a.remainingLease(now)
	hold := min(a.cfg.MaxHold, left-left*time.Duration(a.cfg.DriftPerMille)/1000-a.cfg.CallDelay)
	if hold < minCallHold {
		return nil
	}
	inFlight := 0
	for _, g := range a.calls.grants {
		if g.status == callPending {
			inFlight++
		}
	}
	slices.SortStableFunc(wanted, func(x, y Row) int { return cmp.Compare(a.grantedUntil(x), a.grantedUntil(y)) })
	var calls []Call
	for _, r := range wanted {
		if inFlight >= maxGrantCalls {
			break
		}
		if a.callInFlight(r.Span) || a.calls.fenced[r.Fence] || a.isGranted(r, now) {
			continue
		}
		c := a.newCall(CallGrant, r.Span, r.Fence)
		c.TransferToken, c.Hold = r.TransferToken, hold
		a.calls.grants = append(a.calls.grants, sentGrant{
			Span: r.Span, fence: r.Fence, callID: c.ID, sent: now,
			usable: now.Add(hold), end: now.Add(a.cfg.CallDelay + a.cfg.withDrift(hold)),
		})
		a.grantsEnd = max(a.grantsEnd, now.Add(a.cfg.CallDelay+a.cfg.withDrift(hold)))
		inFlight++
		calls = append(calls, c)
	}
	return calls
}

// grantedUntil returns when the last confirmed grant of a row ends, or zero. Rows whose
// grants end first come first: there may be more rows than calls in flight.
func (a *Agent) grantedUntil(r Row) ident.Instant {
	var until ident.Instant
	for _, g := range a.calls.grants {
		if g.status == callConfirmed && g.fence == r.Fence && g.Covers(r.Span) {
			until = max(until, g.usable)
		}
	}
	return until
}

// isGranted reports whether the whole row is granted and needs no renewal yet.
func (a *Agent) isGranted(r Row, now ident.Instant) bool {
	parts := []Span{r.Span}
	for _, g := range a.calls.grants {
		renewAt := g.sent.Add(g.usable.Sub(g.sent) / renewalsPerHold)
		if g.status == callConfirmed && g.fence == r.Fence && now < renewAt {
			parts = subtractAll(parts, g.Span)
		}
	}
	return len(parts) == 0
}

// ServerDisconnected records that a connection to the server broke. The server may
// have restarted, so the agent grants nothing before the next heartbeat.
func (a *Agent) ServerDisconnected() { a.calls.disconnected = true }

func (a *Agent) newCall(k CallKind, s Span, fence uint64) Call {
	a.calls.lastID++
	return Call{ID: a.calls.lastID, Kind: k, Instance: a.instance, Span: s, Fence: fence}
}
