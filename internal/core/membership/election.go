package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// rankedCandidates is the number of members that start an election one after the
// other in the order of their ranks. All others wait longer, for a random time.
const rankedCandidates = 16

// election measures on the local clock how long the leader has appended nothing
// to the log. The rank of a candidate is its position in the order of a hash of
// the term and its host, so that only a few of thousands of members append at the
// same time.
type election struct {
	self ident.Member
	cfg  Config
	rng  *rand.Rand

	started          bool          // isDue has been called
	term             ident.Term    // term that the table showed last
	lastLeaderOffset ident.Offset  // last record of the leader that the table showed
	silentSince      ident.Instant // start of the measurement
	lastCallAt       ident.Instant // last call of isDue
	jitter           float64       // random, from 0 to 1
}

// isDue reports whether this member should start a new term. The measurement
// restarts when the log shows a new record of the leader or a new term, while the
// log is not current, and after a pause of this process. If the leader is
// present, the member waits for LeaderTimeout before the delay of its rank.
func (e *election) isDue(now ident.Instant, t *ownership.Table, live LiveView) bool {
	leader, term := t.Leader()
	paused := now.Sub(e.lastCallAt) >= e.cfg.LeaderTimeout
	changed := term != e.term || t.LastLeaderOffset() != e.lastLeaderOffset
	e.lastCallAt = now
	if !e.started || changed || paused || !live.LogCurrent() {
		e.started = true
		e.term, e.lastLeaderOffset, e.silentSince = term, t.LastLeaderOffset(), now
		e.jitter = e.rng.Float64()
		return false
	}
	silent := now.Sub(e.silentSince)
	if info, ok := t.Member(leader); ok && info.Present {
		silent -= e.cfg.LeaderTimeout
	}
	return silent >= 0 && silent >= e.candidacyDelay(t, live)
}

// candidacyDelay returns how long this member waits, in addition to the timeout
// of the leader, before it starts an election.
func (e *election) candidacyDelay(t *ownership.Table, live LiveView) time.Duration {
	next := e.term + 1
	ownHash := candidateHash(next, e.self)
	rank := 0
	for _, info := range t.Members() {
		if candidateHash(next, info.Member) < ownHash && !live.Suspected(info.Member) {
			rank++
		}
	}
	if rank < rankedCandidates {
		return time.Duration((float64(rank) + e.jitter) * float64(e.cfg.LeaderStagger))
	}
	return time.Duration(rankedCandidates * (1 + e.jitter) * float64(e.cfg.LeaderStagger))
}

// candidateHash returns a hash of a number, such as the next term, and the host
// of m.
func candidateHash(term ident.Term, m ident.Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(term))
	_, _ = d.Write(number[:])
	_, _ = d.WriteString(string(m.Host))
	return d.Sum64()
}
