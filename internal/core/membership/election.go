package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// rankedCandidates is the number of members that wait for an election in a
// fixed order; the others wait longer, at random.
const rankedCandidates = 16

// election measures on the local clock how long the leader has been silent in
// the log. Candidates wait in the order of a hash of the term, so that few of
// thousands of members append at once.
type election struct {
	self ident.Member
	cfg  Config
	rng  *rand.Rand

	begun  bool
	term   ident.Term
	seen   ident.Offset
	seenAt ident.Instant
	called ident.Instant
	jitter float64 // from 0 to 1
}

// due reports whether this member should start a term. The silence begins anew
// when the leader is seen, when the log does not answer, and after a pause of
// this process.
func (e *election) due(now ident.Instant, t *ownership.Table, live LiveView) bool {
	leader, term := t.Leader()
	paused := now.Sub(e.called) >= e.cfg.LeaderTimeout
	news := term != e.term || t.LastLeaderOffset() != e.seen
	e.called = now
	if !e.begun || news || paused || !live.LogCurrent() {
		e.begun = true
		e.term, e.seen, e.seenAt = term, t.LastLeaderOffset(), now
		e.jitter = e.rng.Float64()
		return false
	}
	silent := now.Sub(e.seenAt)
	if info, ok := t.Member(leader); ok && info.Present {
		silent -= e.cfg.LeaderTimeout
	}
	return silent >= 0 && silent >= e.wait(t, live)
}

// wait returns how long after the leader's timeout this member stands for
// election.
func (e *election) wait(t *ownership.Table, live LiveView) time.Duration {
	next := e.term + 1
	own := candidateHash(next, e.self)
	rank := 0
	for _, info := range t.Members() {
		if candidateHash(next, info.Member) < own && !live.Suspected(info.Member) {
			rank++
		}
	}
	if rank < rankedCandidates {
		return time.Duration((float64(rank) + e.jitter) * float64(e.cfg.LeaderStagger))
	}
	return time.Duration(rankedCandidates * (1 + e.jitter) * float64(e.cfg.LeaderStagger))
}

func candidateHash(term ident.Term, m ident.Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(term))
	_, _ = d.Write(number[:])
	_, _ = d.WriteString(string(m.Host))
	return d.Sum64()
}
