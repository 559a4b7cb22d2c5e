package ownership

import (
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// foldJoined adds a member. A greater incarnation replaces an earlier one on the
// same host. A member that has left cannot join again.
func (s *State) foldJoined(off ident.Offset, e record.Envelope, b *record.MemberJoined) Outcome {
	m := b.Member
	if w := s.writers[e.Writer]; w != nil {
		if e.Seq <= w.lastSeq {
			return Repeated
		}
		w.lastSeq = e.Seq
	}
	if e.Writer != m || m.Host == "" || m.Incarnation == 0 {
		return Invalid
	}
	latest, known := s.shared.memberByHost.get(m.Host)
	if known && latest.Incarnation >= m.Incarnation {
		return Stale
	}
	if known {
		s.markAbsent(off, latest)
	}
	s.writers[m] = &writerState{lastSeq: e.Seq}
	s.shared.memberByHost.set(s.generation, m.Host, m)
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

// foldLeft marks a member as absent. The member itself may write the record at
// any time; the leader may write it once the member no longer holds its own lease
// group.
func (s *State) foldLeft(off ident.Offset, writer ident.Member, b *record.MemberLeft) Outcome {
	if !s.isPresent(b.Member) {
		return Stale
	}
	if b.Reason == record.LeftVoluntarily {
		if writer != b.Member {
			return Invalid
		}
		s.markAbsent(off, b.Member)
		return Folded
	}
	if !s.acceptLeader(off, writer, s.term) {
		return Stale
	}
	if g, ok := s.shared.groups.get(b.Member); ok && g.Holder == b.Member {
		return Stale
	}
	s.markAbsent(off, b.Member)
	return Folded
}

// foldBackend updates which backend server a member serves and what that server
// announced.
func (s *State) foldBackend(writer ident.Member, b *record.BackendChanged) Outcome {
	if writer != b.Member {
		return Invalid
	}
	info, ok := s.shared.members.get(writer)
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

// foldElected starts the next term. If several candidates write a record for the
// same term, only the first one folds.
func (s *State) foldElected(off ident.Offset, writer ident.Member, b *record.LeaderElected) Outcome {
	if writer != b.Leader {
		return Invalid
	}
	if b.Term != s.term+1 || !s.isPresent(writer) {
		return Stale
	}
	s.term = b.Term
	s.leader = s.intern(writer)
	s.lastLeaderOffset = off
	return Folded
}

// foldAlive folds a LeaderAlive record, which only updates the offset of the
// leader's last record.
func (s *State) foldAlive(off ident.Offset, writer ident.Member, b *record.LeaderAlive) Outcome {
	if !s.acceptLeader(off, writer, b.Term) {
		return Stale
	}
	return Folded
}

// foldChunk checks only that the leader wrote the snapshot chunk. An Assembler
// reassembles the snapshot.
func (s *State) foldChunk(off ident.Offset, writer ident.Member, b *record.SnapshotChunk) Outcome {
	if !s.acceptLeader(off, writer, b.Term) {
		return Stale
	}
	return Folded
}

// markAbsent marks a member as no longer present. Its lease group remains until
// all its slices have been moved out.
func (s *State) markAbsent(off ident.Offset, m ident.Member) {
	info, ok := s.shared.members.get(m)
	if !ok || !info.Present {
		return
	}
	left := *info
	left.Present = false
	s.setMember(left)
	s.removeGroupIfUnused(off, m)
	s.queueForgetting(off, m)
}

// queueForgetting adds m to forgetQueue if m is absent, has no lease group and is
// not in the queue yet.
func (s *State) queueForgetting(off ident.Offset, m ident.Member) {
	w := s.writers[m]
	if w == nil || w.forgettable || s.isPresent(m) {
		return
	}
	if _, ok := s.shared.groups.get(m); ok {
		return
	}
	w.forgettable, w.forgettableSince = true, off
	s.forgetQueue = append(s.forgetQueue, forgettableMember{since: off, member: m})
}

// forgetMembers removes the members that have been in forgetQueue for more than
// forgetAfter records before offset off.
func (s *State) forgetMembers(off ident.Offset) {
	for len(s.forgetQueue) > 0 && off > s.forgetQueue[0].since+forgetAfter {
		m := s.forgetQueue[0].member
		s.forgetQueue = s.forgetQueue[1:]
		delete(s.writers, m)
		s.invalidateFrozen()
		s.shared.members.remove(s.generation, m)
		s.relinkHost(m)
	}
}

// relinkHost updates memberByHost for the host of a forgotten member. The entry
// then refers to the greatest incarnation that is still known, or is removed if
// there is none. Members of one host are in one shard, because hashMember hashes
// only the host.
func (s *State) relinkHost(forgotten ident.Member) {
	if latest, _ := s.shared.memberByHost.get(forgotten.Host); latest != forgotten {
		return
	}
	var latest ident.Member
	s.shared.members.eachInShard(forgotten, func(m ident.Member, _ *MemberInfo) {
		if m.Host == forgotten.Host && m.Incarnation > latest.Incarnation {
			latest = m
		}
	})
	if latest.IsZero() {
		s.shared.memberByHost.remove(s.generation, forgotten.Host)
		return
	}
	s.shared.memberByHost.set(s.generation, latest.Host, latest)
}
