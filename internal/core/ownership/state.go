package ownership

import (
	"maps"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// forgetAfter is the number of records after which the state forgets a member that
// has left and has no lease group. If a record of that member is repeated later
// than that, its outcome is Foreign.
const forgetAfter ident.Offset = 1 << 18

// State is the result of folding a prefix of the control stream. It is not safe
// for concurrent use, but the Tables that it returns are.
type State struct {
	cfg              ConfigState
	nextOffset       ident.Offset
	term             ident.Term
	leader           ident.Member
	lastLeaderOffset ident.Offset
	assignmentFloor  ident.Assignment              // not less than any assignment of a removed slice
	writers          map[ident.Member]*writerState // has the same keys as shared.members
	forgetQueue      []forgettableMember           // in ascending order of since
	counters         Counters

	shared     sharedState
	generation uint64       // see shardMap; increases whenever shared is frozen
	frozen     *sharedState // copy of shared; nil if shared has changed since
	table      *Table       // result of Table; nil if the state has advanced since
}

// writerState is the state of a member that joined, beside its MemberInfo.
type writerState struct {
	lastSeq          uint64         // greatest sequence number seen
	formerSuccessors []ident.Member // of earlier versions of the member's lease group, latest last
	forgettable      bool           // absent and without a lease group; queued in State.forgetQueue
	forgettableSince ident.Offset
}

// forgettableMember is an entry of State.forgetQueue.
type forgettableMember struct {
	since  ident.Offset
	member ident.Member
}

// NewState returns the state before the first record. The state owns cfg from then
// on.
func NewState(cfg ConfigState) *State {
	s := &State{
		cfg:        cfg,
		writers:    make(map[ident.Member]*writerState),
		shared:     newSharedState(cfg.InForce()),
		generation: 1,
	}
	s.syncServices(0)
	return s
}

// NextOffset returns the smallest offset that has not been folded yet.
func (s *State) NextOffset() ident.Offset { return s.nextOffset }

// Counters returns the number of records by outcome.
func (s *State) Counters() Counters { return s.counters }

// Apply folds the record at offset off. Records must be applied in ascending order
// of their offsets; offsets may be skipped. A record below NextOffset is ignored
// with the outcome Repeated.
func (s *State) Apply(off ident.Offset, e record.Envelope) Outcome {
	if !s.advanceTo(off) {
		return s.countOutcome(Repeated)
	}
	return s.countOutcome(s.fold(off, e))
}

// SkipDamagedRecord advances the state past a record that could not be decoded.
func (s *State) SkipDamagedRecord(off ident.Offset) Outcome {
	if !s.advanceTo(off) {
		return s.countOutcome(Repeated)
	}
	return s.countOutcome(Damaged)
}

// Table returns an immutable view of the state. Consecutive calls without changes
// in between are cheap.
func (s *State) Table() *Table {
	if s.table != nil {
		return s.table
	}
	if s.frozen == nil {
		frozen := s.shared
		frozen.services = maps.Clone(s.shared.services)
		s.frozen = &frozen
		s.generation++
	}
	s.table = &Table{nextOffset: s.nextOffset, term: s.term, leader: s.leader, lastLeaderOffset: s.lastLeaderOffset, shared: s.frozen}
	return s.table
}

// advanceTo makes off the offset of the latest record. It returns false if off is
// below NextOffset.
func (s *State) advanceTo(off ident.Offset) bool {
	if off < s.nextOffset {
		return false
	}
	s.nextOffset = off + 1
	s.table = nil
	s.forgetMembers(off)
	return true
}

// countOutcome counts o and returns it.
func (s *State) countOutcome(o Outcome) Outcome {
	s.counters[o]++
	return o
}

// fold checks the writer and its sequence number and folds the record.
func (s *State) fold(off ident.Offset, e record.Envelope) Outcome {
	if joined, ok := e.Body.(*record.MemberJoined); ok {
		return s.foldJoined(off, e, joined)
	}
	w := s.writers[e.Writer]
	if w != nil && e.Seq <= w.lastSeq {
		return Repeated
	}
	if w != nil {
		w.lastSeq = e.Seq
	}
	// A configuration change is authorized by its signatures, not by its writer.
	if changed, ok := e.Body.(*record.ConfigChanged); ok {
		return s.foldConfig(off, changed)
	}
	if w == nil {
		return Foreign
	}
	return s.foldMemberRecord(off, e)
}

// foldMemberRecord folds a record that only a member may write.
func (s *State) foldMemberRecord(off ident.Offset, e record.Envelope) Outcome {
	switch b := e.Body.(type) {
	case *record.MemberLeft:
		return s.foldLeft(off, e.Writer, b)
	case *record.BackendChanged:
		return s.foldBackend(e.Writer, b)
	case *record.LeaderElected:
		return s.foldElected(off, e.Writer, b)
	case *record.LeaderAlive:
		return s.foldAlive(off, e.Writer, b)
	case *record.GroupSet:
		return s.foldGroupSet(off, e.Writer, b)
	case *record.GroupClaimed:
		return s.foldClaimed(off, e.Writer, b)
	case *record.Assigned:
		return s.foldAssigned(off, e.Writer, b)
	case *record.HotKeySet:
		return s.foldHotKey(off, e.Writer, b)
	case *record.SnapshotChunk:
		return s.foldChunk(off, e.Writer, b)
	default:
		return Invalid
	}
}

// acceptLeader reports whether term is the current term and writer is its leader and
// is present. If so, it records off as the offset of the leader's last record. The
// records of a leader that has left are void.
func (s *State) acceptLeader(off ident.Offset, writer ident.Member, term ident.Term) bool {
	if term != s.term || writer != s.leader || !s.isPresent(writer) {
		return false
	}
	s.lastLeaderOffset = off
	return true
}

// isPresent reports whether m has joined and has neither left nor been replaced.
func (s *State) isPresent(m ident.Member) bool {
	info, ok := s.shared.members.get(m)
	return ok && info.Present
}

// intern returns m with the host string of the member's own entry, so that the
// state keeps one copy of the string.
func (s *State) intern(m ident.Member) ident.Member {
	if info, ok := s.shared.members.get(m); ok {
		return info.Member
	}
	return m
}

// invalidateFrozen discards the frozen copy before or after a change of shared.
func (s *State) invalidateFrozen() { s.frozen = nil }

// setMember stores info under its member and discards the member index.
func (s *State) setMember(info MemberInfo) {
	s.invalidateFrozen()
	s.shared.members.set(s.generation, info.Member, &info)
	s.shared.memberIndex = &memberIndex{}
}
