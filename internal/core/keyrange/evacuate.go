package keyrange

import (
	"math"
	"slices"
)

// An evacuated failure domain has several owners, which all hand off their rows at the same
// time and without a word between them. Each divides its load among all receivers in
// proportion to their room, so that together they do not fill one of them, as they would if
// each chose the one that is least loaded.

const (
	fullUse     = 0.9  // utilization up to which a server has room for keys of an evacuated domain
	minRoom     = 0.05 // of its slots that are counted as room at least: somebody has to take the keys
	minBucket   = 0.1  // of the mean load of a bucket that is counted of each: load varies
	ownersTable = 2    // part of maxRowsPerOwner that the rows of evacuated owners may add: half
)

// withoutEvacuated records whether this daemon's failure domain is evacuated, and returns the
// candidates with those of evacuated domains not ready.
func (a *Agent) withoutEvacuated(cs []Candidate) []Candidate {
	a.evacuated = false
	out := slices.Clone(cs)
	for i, c := range out {
		if c.Evacuated {
			out[i].Ready = false
			a.evacuated = a.evacuated || c.Owner.Member == a.member
		}
	}
	return out
}

// spreadRows plans handoffs of all rows of an evacuated server to all others, each in
// proportion to its room, and reports whether the server is an evacuated one.
func (a *Agent) spreadRows(cs []Candidate) bool {
	if !a.evacuated || a.draining || a.serverLost {
		return false
	}
	to := a.roomyReceivers(cs)
	total, room := 0.0, 0.0
	var pieces []bucket
	for _, r := range a.table.Rows {
		if r.Owner.Member.Host == a.member.Host {
			for _, rest := range a.withoutHandoffs(r.Span) {
				pieces = append(pieces, a.bucketsOf(r, rest)...)
			}
		}
	}
	mean := 0.0
	for _, p := range pieces {
		mean += p.load / float64(len(pieces))
	}
	for i, p := range pieces {
		pieces[i].load = p.load + max(mean*minBucket, math.SmallestNonzeroFloat32)*float64(p.Len())/(1<<bucketBits)
		total += pieces[i].load
	}
	for _, r := range to {
		room += r.utilization
	}
	i, given := 0, 0.0
	for _, p := range pieces {
		if len(to) == 0 {
			break
		}
		for i < len(to)-1 && given+p.load/2 > total*to[i].utilization/room {
			given -= total * to[i].utilization / room
			i++
		}
		given += p.load
		a.extendHandoff(p.row, p.Span, to[i].owner)
	}
	return true
}

// roomyReceivers returns the servers that receive keys of this one; utilization is the room
// of each, in slots. With many evacuated owners each chooses others of the receivers, so that
// none gets more rows than its grant can carry.
func (a *Agent) roomyReceivers(cs []Candidate) []*receiver {
	var to []*receiver
	givers, position := 0, 0
	for _, c := range withoutCold(withoutLimited(cs)) {
		if c.Ready && c.Alive && c.Owner.Member != a.member && a.rowCount(c.Owner) < maxRowsPerOwner {
			use := min(max(fullUse-c.Utilization, minRoom), 1)
			to = append(to, &receiver{owner: c.Owner, utilization: use * float64(max(c.Slots, 1))})
		}
	}
	for _, c := range cs {
		if c.Evacuated && a.table.KeyCount(c.Owner.Member.Host) > 0 {
			if c.Owner.Member == a.member {
				position = givers
			}
			givers++
		}
	}
	if len(to) == 0 {
		return nil
	}
	most := max(maxRowsPerOwner/ownersTable*len(to)/max(givers, 1), 1)
	most = min(most, max(maxDividedTable/max(givers, 1), 1), maxRowsPerOwner, len(to))
	first := position * most % len(to)
	if most == len(to) {
		first = position * most / max(givers, 1) // all begin with another one: the first may get a hot range
	}
	return slices.Concat(to[first:], to[:first])[:most]
}

// bucketsOf returns the buckets of a part of a row, with their load.
func (a *Agent) bucketsOf(row Row, part Span) (out []bucket) {
	for b := int(part.From) >> bucketBits; b <= int(part.To)>>bucketBits; b++ {
		s := Span{Key(b << bucketBits), Key(b<<bucketBits | (1<<bucketBits - 1))}.intersect(part)
		out = append(out, bucket{s, row, a.load.sumOver(s)})
	}
	return out
}

// extendHandoff plans a handoff of a part of a row, as one with the last if that is of the
// same row, to the same receiver and directly before it.
func (a *Agent) extendHandoff(row Row, s Span, to Owner) {
	if n := len(a.handoffs); n > 0 {
		last := &a.handoffs[n-1]
		if last.to == to && last.fence == row.Fence && !last.omittedFromGrant && int(last.To)+1 == int(s.From) && row.Contains(last.To) {
			last.To = s.To
			return
		}
	}
	a.addHandoff(row, s, to)
}
