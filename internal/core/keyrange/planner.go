package keyrange

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Tick advances the agent to now and returns a write if one is due, else nil. The
// candidates are all servers of the service that the daemon knows, including its
// own; Tick sorts them by host. At most one write is in flight.
func (a *Agent) Tick(now ident.Instant, cs []Candidate) *Write {
	if !a.tableKnown && !a.reopen.due || a.writeInFlight || a.tableStale {
		return nil
	}
	slices.SortFunc(cs, func(x, y Candidate) int { return cmp.Compare(x.Owner.Member.Host, y.Owner.Member.Host) })
	cs = a.withoutEvacuated(cs)
	if a.reopen.due {
		return a.send(a.reopenTable(now, cs))
	}
	a.trackSilentOwners(now, cs)
	return a.send(a.plan(now, cs))
}

// send makes a write the one in flight. w may be nil.
func (a *Agent) send(w *Write) *Write {
	if w != nil {
		w.Offset = a.nextOffset
		a.writeInFlight = true
	}
	return w
}

// plan returns the most urgent change of the table, or nil.
func (a *Agent) plan(now ident.Instant, cs []Candidate) *Write {
	if w := a.objectToSuspicion(); w != nil {
		return w
	}
	if w := a.reclaimHeldRows(now); w != nil {
		return w
	}
	if w := a.reclaimRows(now, cs); w != nil {
		return w
	}
	a.handOffAll(now, cs)
	a.planBalance(now, cs)
	if now < a.nextWriteAt {
		return nil
	}
	if w := a.writeHandoffs(now, cs); w != nil {
		return w
	}
	rank, ok := a.plannerRank(cs)
	if !ok {
		return nil
	}
	if w := a.settle(now, rank); w != nil {
		return w
	}
	if w := a.takeOverSuspects(now, rank, cs); w != nil {
		return w
	}
	if w := a.suspectSilentOwners(now, rank, cs); w != nil {
		return w
	}
	return a.assignGaps(now, rank, cs)
}

// objectToSuspicion removes a suspicion against this daemon, whose process is
// running. A suspicion against the daemon's previous process is removed by
// reclaimRows.
func (a *Agent) objectToSuspicion() *Write {
	if !a.table.IsSuspected(a.member) {
		return nil
	}
	return &Write{Table: a.table.withoutSuspicions(a.member.Host), Reason: "objection"}
}

// reclaimRows moves the rows of an earlier process of this daemon or an earlier
// instance of its server to the current ones. Rows of the same instance keep their
// fencing token, because nobody else held the keys in between, unless the server
// refused it or it is from an earlier era of the log. The write moves the rows of other
// restarted owners along: after a loss of power all owners claim at once, each write
// replaces the whole table, and one after the other takes seconds. Their keys stay on their
// hosts.
func (a *Agent) reclaimRows(now ident.Instant, cs []Candidate) *Write {
	if a.instance.ID == "" || !a.ready {
		return nil
	}
	t, changed := a.table.withoutSuspicions(a.member.Host), false
	for _, r := range a.table.Rows {
		refused := a.calls.fenced[r.Fence] || !a.reopen.mayRenew(r)
		if r.Owner.Member.Host != a.member.Host || r.Owner == a.selfOwner() && !refused || !a.mayMove(r, now) {
			continue
		}
		if r.Owner.Instance != a.instance || refused {
			r.Fence, r.TransferToken = fenceAt(a.nextOffset), ""
		}
		r.Owner = a.selfOwner()
		t, changed = t.withRow(r), true
	}
	if !changed {
		return nil
	}
	for _, r := range a.table.Rows {
		to, ok := restartedOwner(cs, r.Owner)
		if !ok || to.Member == a.member || a.table.IsSuspected(r.Owner.Member) || !a.settled(now) {
			continue
		}
		if r.Owner.Instance != to.Instance {
			r.Fence, r.TransferToken = fenceAt(a.nextOffset), ""
		}
		r.Owner = to
		t = t.withRow(r)
	}
	return &Write{Table: t, Reason: "claim"}
}

// restartedOwner returns the later process or server instance on the host of an owner, if one
// is known that may own keys.
func restartedOwner(cs []Candidate, o Owner) (Owner, bool) {
	i := slices.IndexFunc(cs, func(c Candidate) bool {
		return c.Owner.Member.Host == o.Member.Host && c.Owner != o && c.Ready && c.Alive && c.Owner.supersedes(o)
	})
	if i < 0 {
		return Owner{}, false
	}
	return cs[i].Owner, true
}

// supersedes reports whether o is a later process, or the same one beside a later instance.
func (o Owner) supersedes(earlier Owner) bool {
	if o.Member.Incarnation != earlier.Member.Incarnation {
		return o.Member.Incarnation > earlier.Member.Incarnation
	}
	return o.Instance.StartedMS > earlier.Instance.StartedMS
}

// fenceAt returns the fencing token of the rows that a write at an offset moves.
func fenceAt(at ident.Offset) uint64 { return uint64(at) + 1 }

// handOffAll plans handoffs of all rows of this daemon if the server is draining
// or gone.
func (a *Agent) handOffAll(now ident.Instant, cs []Candidate) {
	if a.keepsServing(now) || a.spreadRows(cs) {
		return
	}
	for _, r := range a.table.Rows {
		if r.Owner.Member.Host != a.member.Host {
			continue
		}
		for _, rest := range a.withoutHandoffs(r.Span) {
			if to, ok := a.leastLoaded(cs); ok {
				a.addHandoff(r, rest, to.Owner)
			}
		}
	}
}

// keepsServing reports whether the server continues to hold keys: it is not
// draining, its failure domain is not evacuated, and its heartbeats arrive.
func (a *Agent) keepsServing(now ident.Instant) bool {
	if a.draining || a.serverLost || a.evacuated {
		return false
	}
	return now.Sub(max(a.heartbeatAt, a.startedAt)) <= a.cfg.withDrift(a.cfg.MaxHold)
}

// addHandoff plans to move a part of a row of this daemon to another server.
func (a *Agent) addHandoff(r Row, s Span, to Owner) {
	a.handoffs = append(a.handoffs, handoff{Span: s, fence: r.Fence, to: to})
}

// withoutHandoffs returns the parts of a span that no planned handoff covers.
func (a *Agent) withoutHandoffs(s Span) []Span {
	parts := []Span{s}
	for _, g := range a.handoffs {
		parts = subtractAll(parts, g.Span)
	}
	return parts
}

// writeHandoffs returns a write that moves the handoffs whose keys the server has
// released, or nil. updateHandoffs first replaces or cancels handoffs whose
// receiver is gone.
func (a *Agent) writeHandoffs(now ident.Instant, cs []Candidate) *Write {
	a.updateHandoffs(now, cs)
	a.cancelCrowded(now)
	t := a.table
	for _, g := range a.handoffs {
		if !a.isReleased(g.Span, now) || !a.ownsHandoff(g) || !a.mayHandOff(g, now) {
			continue
		}
		t = t.withRow(Row{Span: g.Span, Owner: g.to, Fence: fenceAt(a.nextOffset), TransferToken: a.transferToken(g.Span)})
	}
	if len(t.Rows) == len(a.table.Rows) && slices.Equal(t.Rows, a.table.Rows) {
		return nil
	}
	reason := "balance"
	switch {
	case a.evacuated:
		reason = "evacuated"
	case !a.keepsServing(now):
		reason = "server_leaves"
	}
	return &Write{Table: t, Reason: reason}
}

// cancelCrowded cancels handoffs to owners that would have more than maxRowsPerOwner rows:
// other daemons have handed them keys since the handoffs were planned. Keys of a server that
// does not keep serving move all the same.
func (a *Agent) cancelCrowded(now ident.Instant) {
	if a.writeUnclear || !a.keepsServing(now) {
		return
	}
	rows := make(map[Owner]int)
	for _, r := range a.table.Rows {
		rows[r.Owner]++
	}
	a.handoffs = slices.DeleteFunc(a.handoffs, func(g handoff) bool {
		rows[g.to]++
		return rows[g.to] > maxRowsPerOwner
	})
}

// ownsHandoff reports whether the table still assigns every key of a handoff to
// this host under the fencing token that the handoff was planned with.
func (a *Agent) ownsHandoff(g handoff) bool {
	n := 0
	for _, r := range a.table.Rows {
		if r.Overlaps(g.Span) && r.Owner.Member.Host == a.member.Host && r.Fence == g.fence {
			n += r.intersect(g.Span).Len()
		}
	}
	return n == g.Len()
}

// updateHandoffs drops handoffs that have been written. If a receiver is gone, it
// cancels the handoff while this daemon's server keeps serving, and else picks
// another receiver. It changes nothing while the outcome of a write is unclear,
// because that write may still be appended.
func (a *Agent) updateHandoffs(now ident.Instant, cs []Candidate) {
	if a.writeUnclear {
		return
	}
	kept := a.handoffs[:0]
	for _, g := range a.handoffs {
		if !a.ownsHandoff(g) {
			continue
		}
		if !canReceive(cs, g.to) {
			to, ok := a.leastLoaded(cs)
			if !ok || a.keepsServing(now) {
				continue
			}
			g.to = to.Owner
		}
		kept = append(kept, g)
	}
	a.handoffs = kept
}

func canReceive(cs []Candidate, o Owner) bool {
	return slices.ContainsFunc(cs, func(c Candidate) bool { return c.Owner == o && c.Ready && c.Alive })
}

// plannerRank returns the position of this daemon among those that may write
// changes for other owners, and whether it is one of them. Witnesses come first,
// because they receive the heartbeats of all owners.
func (a *Agent) plannerRank(cs []Candidate) (int, bool) {
	isWitness := func(h ident.Host) bool { return slices.Contains(a.table.Witnesses, h) }
	self := isWitness(a.member.Host)
	rank, found := 0, false
	for _, c := range cs {
		if !c.Ready || !c.Alive {
			continue
		}
		host := c.Owner.Member.Host
		switch {
		case c.Owner.Member == a.member:
			found = true
		case isWitness(host) && !self, isWitness(host) == self && host < a.member.Host:
			rank++
		}
	}
	return rank, found
}

// assignGaps returns a write that assigns the keys without an owner. The first
// assignment also sets the witnesses of the table.
func (a *Agent) assignGaps(now ident.Instant, rank int, cs []Candidate) *Write {
	gaps := a.table.Gaps()
	if len(gaps) == 0 || !a.settled(now) {
		a.gapSince = 0
		return nil
	}
	if a.gapSince == 0 {
		a.gapSince = now
	}
	wait := a.cfg.RankDelay * time.Duration(rank)
	if len(a.table.Rows) == 0 {
		wait += max(0, a.firstAssignment(cs).Sub(now))
	}
	if now.Sub(a.gapSince) < wait {
		return nil
	}
	t := a.table
	if len(t.Rows) == 0 && len(t.Witnesses) == 0 {
		t.Witnesses = chooseWitnesses(cs)
	}
	return &Write{Table: a.assign(t, gaps, cs), Reason: "unowned"}
}

// firstAssignment returns when keys are assigned for the first time. All daemons start
// at the same time, and at many hosts it takes seconds until their servers are known.
// An assignment to few of them would have to be corrected by a move for each other one.
func (a *Agent) firstAssignment(cs []Candidate) ident.Instant {
	due := a.startedAt.Add(a.cfg.StartupDelay)
	for _, c := range cs {
		if c.Expected && !(c.Ready && c.Alive) {
			return due.Add(a.cfg.CompletionDelay)
		}
	}
	return due
}

// withoutLimited returns the candidates that state no limit, or all of them if none of
// those can receive keys.
func withoutLimited(cs []Candidate) []Candidate {
	return preferred(cs, func(c Candidate) bool { return !c.Limited })
}

// withoutCold is the same of the candidates that are not cold: a cold server could not serve
// the requests for more keys.
func withoutCold(cs []Candidate) []Candidate {
	return preferred(cs, func(c Candidate) bool { return !c.Cold })
}

// preferred returns the candidates that satisfy a condition, or all of them if none of those
// can receive keys.
func preferred(cs []Candidate, condition func(Candidate) bool) []Candidate {
	out := slices.DeleteFunc(slices.Clone(cs), func(c Candidate) bool { return !condition(c) })
	if slices.ContainsFunc(out, func(c Candidate) bool { return c.Ready && c.Alive }) {
		return out
	}
	return cs
}

// leastLoaded returns the ready candidate of another host with the lowest sum of
// utilization and share of all keys, counting planned handoffs.
func (a *Agent) leastLoaded(cs []Candidate) (Candidate, bool) {
	best, found, bestUse := Candidate{}, false, 0.0
	others := slices.DeleteFunc(slices.Clone(cs), func(c Candidate) bool { return c.Owner.Member.Host == a.member.Host })
	for _, c := range withoutCold(withoutLimited(others)) {
		if !c.Ready || !c.Alive {
			continue
		}
		keys := a.table.KeyCount(c.Owner.Member.Host)
		for _, g := range a.handoffs {
			if g.to == c.Owner {
				keys += g.Len()
			}
		}
		use := c.Utilization + float64(keys)/float64(int(MaxKey)+1)
		if !found || use < bestUse {
			best, found, bestUse = c, true, use
		}
	}
	return best, found
}
