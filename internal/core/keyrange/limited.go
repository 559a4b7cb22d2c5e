package keyrange

import (
	"cmp"
	"slices"
)

// A server that states a limit on its requests per second has free slots, so that its
// utilization does not show that it gets more than it accepts. Its owner hands off the
// excess in few ranges, the busiest per key first, to servers without a limit.
const (
	limitUseTarget  = 0.8 // part of its limit that a limited server keeps in use: load varies, and what exceeds the limit is refused
	maxLimitUse     = 1.0 // a limited server hands off keys above this part of its limit
	excessReceiving = 0.7 // utilization up to which servers receive the excess of a limited one
)

// handOffExcess hands off the load by which this daemon's server exceeds its limit, and
// reports whether it hands off any.
func (a *Agent) handOffExcess(cs []Candidate) bool {
	i := slices.IndexFunc(cs, func(c Candidate) bool { return c.Owner == a.selfOwner() })
	if i < 0 || !cs[i].Limited || cs[i].LimitUse <= maxLimitUse {
		return false
	}
	giver := cs[i]
	rows, total := a.rowsByDensity()
	if total == 0 {
		return false
	}
	e := excess{
		load:      total * (1 - limitUseTarget/giver.LimitUse),
		receivers: excessReceivers(cs, giver),
		// The slots in use serve the limit; all its requests would take more.
		slotsPerLoad: max(giver.Utilization, minGiverUtilization) * giver.LimitUse * float64(giver.Slots) / total,
	}
	for _, r := range rows {
		a.handOffFrom(r, &e)
	}
	return len(a.handoffs) > 0
}

// excess is the load that a limited server has yet to hand off.
type excess struct {
	load         float64 // in the units of the recorded load
	slotsPerLoad float64 // slots that a unit of it occupies
	receivers    []*receiver
}

// handOffFrom hands off parts of a row, from its first key on, until no excess or no room
// for it is left.
func (a *Agent) handOffFrom(row bucket, e *excess) {
	rest := row.Span
	for e.load > 0 && len(e.receivers) > 0 && len(a.handoffs) < maxBalanceHandoffs && a.rowCount(a.selfOwner()) < maxRowsPerOwner {
		to := leastUtilized(e.receivers)
		room := (excessReceiving - to.utilization) * float64(to.slots) / e.slotsPerLoad
		if room <= 0 || a.rowCount(to.owner) >= maxRowsPerOwner {
			e.receivers = slices.DeleteFunc(e.receivers, func(r *receiver) bool { return r == to })
			continue
		}
		part := a.prefixWithLoad(rest, min(room, e.load))
		a.addHandoff(row.row, part, to.owner)
		load := a.load.sumOver(part)
		to.utilization += load * e.slotsPerLoad / float64(to.slots)
		e.load -= load
		if part.To >= rest.To {
			return
		}
		rest.From = part.To + 1
	}
}

// minGiverUtilization is assumed at least of a limited server: the average may not show
// yet that it serves its limit.
const minGiverUtilization = 0.05

// excessReceivers returns the servers that may receive keys of a limited one.
func excessReceivers(cs []Candidate, giver Candidate) []*receiver {
	var out []*receiver
	for _, c := range cs {
		if c.Ready && c.Alive && !c.Limited && !c.Cold && c.Slots > 0 && c.Owner != giver.Owner && c.Utilization < excessReceiving {
			out = append(out, &receiver{owner: c.Owner, utilization: c.Utilization, slots: c.Slots})
		}
	}
	return out
}

// rowsByDensity returns the rows of this daemon that have load, those with the most load
// per key first, and their total load.
func (a *Agent) rowsByDensity() (rows []bucket, total float64) {
	for _, r := range a.table.Rows {
		if r.Owner != a.selfOwner() {
			continue
		}
		if l := a.load.sumOver(r.Span); l > 0 {
			rows = append(rows, bucket{r.Span, r, l})
			total += l
		}
	}
	slices.SortStableFunc(rows, func(x, y bucket) int {
		return cmp.Compare(y.load/float64(y.Len()), x.load/float64(x.Len()))
	})
	return rows, total
}

// prefixWithLoad returns the shortest prefix of a span, in whole buckets, that has at least
// a load, or the whole span.
func (a *Agent) prefixWithLoad(s Span, load float64) Span {
	sum := 0.0
	for b := int(s.From) >> bucketBits; b < int(s.To)>>bucketBits; b++ {
		end := Key(b<<bucketBits | (1<<bucketBits - 1))
		sum += a.load.sumOver(Span{max(s.From, Key(b<<bucketBits)), end})
		if sum >= load {
			return Span{s.From, end}
		}
	}
	return s
}
