package lease

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// maxRounds limits how many rounds are remembered; answers to older ones are
// ignored.
const maxRounds = 16

// round is a request that was sent to all witnesses at the same instant.
type round struct {
	seq    uint64
	sentAt ident.Instant
}

// rounds records when the latest requests were sent, because a grant counts from
// the instant at which the request was sent.
type rounds []round

// add appends a round and removes rounds older than validFor, whose grants have
// lapsed.
func (r *rounds) add(n round, validFor time.Duration) {
	*r = slices.DeleteFunc(*r, func(x round) bool { return !n.sentAt.Before(x.sentAt.Add(validFor)) })
	if len(*r) == maxRounds {
		*r = slices.Delete(*r, 0, 1)
	}
	*r = append(*r, n)
}

// sentAt returns the instant at which the round with the number seq was sent.
func (r rounds) sentAt(seq uint64) (ident.Instant, bool) {
	for _, x := range r {
		if x.seq == seq {
			return x.sentAt, true
		}
	}
	return 0, false
}

// ack is the confirmation of one witness.
type ack struct {
	witness ident.Member
	until   ident.Instant // the grant lapses at this instant
	seq     uint64        // greatest request number that the witness has granted
}

// acks holds one confirmation for each witness of one or two sets.
type acks []ack

// record adds a confirmation, or raises the values of the earlier one of the same
// witness.
func (a *acks) record(n ack) {
	for i := range *a {
		if (*a)[i].witness == n.witness {
			(*a)[i].until = max((*a)[i].until, n.until)
			(*a)[i].seq = max((*a)[i].seq, n.seq)
			return
		}
	}
	*a = append(*a, n)
}

// byWitness returns the confirmation of m, or the zero ack if there is none.
func (a acks) byWitness(m ident.Member) ack {
	for _, x := range a {
		if x.witness == m {
			return x
		}
	}
	return ack{}
}

// validUntil returns the latest instant before which the grants of a majority of
// the set are valid.
func (a acks) validUntil(s WitnessSet) ident.Instant {
	all := make([]ident.Instant, 0, len(s.Witnesses))
	for _, w := range s.Witnesses {
		all = append(all, a.byWitness(w).until)
	}
	slices.Sort(all)
	return all[len(all)-majority(len(all))]
}

// confirmedByMajority reports whether a majority of the set has granted the
// request with the number seq or a later one.
func (a acks) confirmedByMajority(s WitnessSet, seq uint64) bool {
	count := 0
	for _, w := range s.Witnesses {
		if a.byWitness(w).seq >= seq {
			count++
		}
	}
	return count >= majority(len(s.Witnesses))
}
