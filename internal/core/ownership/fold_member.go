package ownership

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// foldJoined adds a member. A greater incarnation replaces the one before it on
// the same host; a member that left never joins again.
func (s *State) foldJoined(off ident.Offset, e record.Envelope, b *record.MemberJoined) Outcome {
	m := b.Member
	if w := s.writers[e.Writer]; w != nil {
		if e.Seq <= w.seq {
			return Repeated
		}
		w.seq = e.Seq
	}
	if e.Writer != m || m.Host == "" || m.Incarnation == 0 {
		return Invalid
	}
	latest, known := s.cur.hosts.get(m.Host)
	if known && latest.Incarnation >= m.Incarnation {
		return Stale
	}
	if known {
		s.leave(off, latest)
	}
	s.writers[m] = &writer{seq: e.Seq}
	s.cur.hosts.set(s.generation, m.Host, m)
	s.setMember(MemberInfo{
		Member:     m,
		Location:   b.Location,
		MeshAddr:   b.MeshAddr,
		CallerAddr: b.CallerAddr,
		AdminAddr:  b.AdminAddr,
		PublicKey:  b.PublicKey,
		Present:    true,
	})
	return Folded
}

// foldLeft withdraws a member by itself, or by the leader once the member holds
// no lease group any more.
func (s *State) foldLeft(off ident.Offset, w ident.Member, b *record.MemberLeft) Outcome {
	if !s.present(b.Member) {
		return Stale
	}
	if b.Reason == record.LeftVoluntarily {
		if w != b.Member {
			return Invalid
		}
		s.leave(off, b.Member)
		return Folded
	}
	if !s.leads(off, w, s.term) {
		return Stale
	}
	if g, ok := s.cur.groups.get(b.Member); ok && g.Holder == b.Member {
		return Stale
	}
	s.leave(off, b.Member)
	return Folded
}

func (s *State) foldBackend(w ident.Member, b *record.BackendChanged) Outcome {
	if w != b.Member {
		return Invalid
	}
	info, ok := s.cur.members.get(w)
	if !ok || !info.Present {
		return Stale
	}
	changed := *info
	changed.Pool = b.Pool
	changed.Draining = b.Draining
	changed.Capabilities = b.Capabilities
	s.setMember(changed)
	return Folded
}

func (s *State) foldElected(off ident.Offset, w ident.Member, b *record.LeaderElected) Outcome {
	if w != b.Leader {
		return Invalid
	}
	if b.Term != s.term+1 || !s.present(w) {
		return Stale
	}
	s.term = b.Term
	s.leader = s.intern(w)
	s.leaderSeen = off
	return Folded
}

func (s *State) foldAlive(off ident.Offset, w ident.Member, b *record.LeaderAlive) Outcome {
	if !s.leads(off, w, b.Term) {
		return Stale
	}
	return Folded
}

// foldChunk only checks the right to write a snapshot; an Assembler gathers the
// chunks.
func (s *State) foldChunk(off ident.Offset, w ident.Member, b *record.SnapshotChunk) Outcome {
	if !s.leads(off, w, b.Term) {
		return Stale
	}
	return Folded
}

// leave marks a member as no longer present. Its lease group stays until its
// slices are moved.
func (s *State) leave(off ident.Offset, m ident.Member) {
	info, ok := s.cur.members.get(m)
	if !ok || !info.Present {
		return
	}
	left := *info
	left.Present = false
	s.setMember(left)
	s.dropIfEmpty(off, m)
	s.noteGone(off, m)
}

// noteGone queues a member to be forgotten once it has left and has no group.
func (s *State) noteGone(off ident.Offset, m ident.Member) {
	w := s.writers[m]
	if w == nil || w.gone || s.present(m) {
		return
	}
	if _, ok := s.cur.groups.get(m); ok {
		return
	}
	w.gone, w.goneAt = true, off
	s.gone = append(s.gone, goneMember{at: off, member: m})
}

// forget removes the members that were gone for forgetAfter records.
func (s *State) forget(off ident.Offset) {
	for len(s.gone) > 0 && off > s.gone[0].at+forgetAfter {
		m := s.gone[0].member
		s.gone = s.gone[1:]
		delete(s.writers, m)
		s.changed()
		s.cur.members.remove(s.generation, m)
		s.relinkHost(m)
	}
}

// relinkHost makes the host of a forgotten member refer to the greatest
// incarnation that is still known, if there is one.
func (s *State) relinkHost(forgotten ident.Member) {
	if latest, _ := s.cur.hosts.get(forgotten.Host); latest != forgotten {
		return
	}
	var latest ident.Member
	s.cur.members.eachBeside(forgotten, func(m ident.Member, _ *MemberInfo) {
		if m.Host == forgotten.Host && m.Incarnation > latest.Incarnation {
			latest = m
		}
	})
	if latest.IsZero() {
		s.cur.hosts.remove(s.generation, forgotten.Host)
		return
	}
	s.cur.hosts.set(s.generation, latest.Host, latest)
}
