package ownership

import (
	"maps"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// forgetAfter is the number of records after which a member that has left and
// has no lease group is forgotten. A writer's record that is repeated later than
// that is foreign.
const forgetAfter ident.Offset = 1 << 18

// State is the fold of the control stream. It is used by one goroutine; the
// tables it returns are safe for all.
type State struct {
	cfg        ConfigState
	next       ident.Offset
	term       ident.Term
	leader     ident.Member
	leaderSeen ident.Offset
	floor      ident.Assignment // at least every assignment of a removed slice
	writers    map[ident.Member]*writer
	gone       []goneMember // in order of the offset
	counters   Counters

	cur        body
	generation uint64
	frozen     *body  // copy of cur, nil once cur has changed
	table      *Table // last view, nil once a record was folded
}

// writer is the private state of a member that joined.
type writer struct {
	seq    uint64         // greatest sequence number folded
	former []ident.Member // successors of earlier versions of the group, latest last
	gone   bool           // left and without a lease group
	goneAt ident.Offset
}

// goneMember queues a member to be forgotten.
type goneMember struct {
	at     ident.Offset
	member ident.Member
}

// NewState returns the state before the first record. It takes over cfg.
func NewState(cfg ConfigState) *State {
	s := &State{
		cfg:        cfg,
		writers:    make(map[ident.Member]*writer),
		cur:        newBody(cfg.InForce()),
		generation: 1,
	}
	s.syncServices(0)
	return s
}

// NextOffset returns the offset of the first record that was not folded.
func (s *State) NextOffset() ident.Offset { return s.next }

// Counters returns how many records had each outcome.
func (s *State) Counters() Counters { return s.counters }

// Apply folds the record at offset off. Offsets must grow; a smaller one than
// Next is not folded again.
func (s *State) Apply(off ident.Offset, e record.Envelope) Outcome {
	if !s.advance(off) {
		return s.count(Repeated)
	}
	return s.count(s.fold(off, e))
}

// SkipDamagedRecord passes over a record that could not be decoded.
func (s *State) SkipDamagedRecord(off ident.Offset) Outcome {
	if !s.advance(off) {
		return s.count(Repeated)
	}
	return s.count(Damaged)
}

// Table returns an immutable view of the state. It costs little if the table
// did not change since the last call.
func (s *State) Table() *Table {
	if s.table != nil {
		return s.table
	}
	if s.frozen == nil {
		frozen := s.cur
		frozen.services = maps.Clone(s.cur.services)
		s.frozen = &frozen
		s.generation++
	}
	s.table = &Table{next: s.next, term: s.term, leader: s.leader, leaderSeen: s.leaderSeen, body: s.frozen}
	return s.table
}

func (s *State) advance(off ident.Offset) bool {
	if off < s.next {
		return false
	}
	s.next = off + 1
	s.table = nil
	s.forget(off)
	return true
}

func (s *State) count(o Outcome) Outcome {
	s.counters[o]++
	return o
}

func (s *State) fold(off ident.Offset, e record.Envelope) Outcome {
	if joined, ok := e.Body.(*record.MemberJoined); ok {
		return s.foldJoined(off, e, joined)
	}
	w := s.writers[e.Writer]
	if w != nil && e.Seq <= w.seq {
		return Repeated
	}
	if w != nil {
		w.seq = e.Seq
	}
	// A configuration change proves its right by its signatures.
	if changed, ok := e.Body.(*record.ConfigChanged); ok {
		return s.foldConfig(off, changed)
	}
	if w == nil {
		return Foreign
	}
	return s.foldMemberRecord(off, e)
}

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

// leads reports whether a record of this writer and term is by the leader, and
// notes that the leader was seen. The records of a leader that left are void.
func (s *State) leads(off ident.Offset, w ident.Member, term ident.Term) bool {
	if term != s.term || w != s.leader || !s.present(w) {
		return false
	}
	s.leaderSeen = off
	return true
}

func (s *State) present(m ident.Member) bool {
	info, ok := s.cur.members.get(m)
	return ok && info.Present
}

// intern returns m with the string that the member's own entry uses.
func (s *State) intern(m ident.Member) ident.Member {
	if info, ok := s.cur.members.get(m); ok {
		return info.Member
	}
	return m
}

// changed notes that the body differs from the frozen copy.
func (s *State) changed() { s.frozen = nil }

func (s *State) setMember(info MemberInfo) {
	s.changed()
	s.cur.members.set(s.generation, info.Member, &info)
	s.cur.memberIndex = &memberIndex{}
}
