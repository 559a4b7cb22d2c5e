package usage

import (
	"cmp"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// HopCounts contains what both ends of a hop count.
type HopCounts struct {
	Requests uint64 `json:"requests"`
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// add returns the counts with those of the line added.
func (c HopCounts) add(l Line) HopCounts {
	c.Requests += l.Requests
	c.BytesIn += l.BytesIn
	c.BytesOut += l.BytesOut
	return c
}

// MemberPair is the work of one service that one member forwarded to another, as
// counted by both.
type MemberPair struct {
	From     ident.Member  `json:"from"`
	To       ident.Member  `json:"to"`
	Service  ident.Service `json:"service"`
	Tenant   ident.Tenant  `json:"tenant"`
	Sent     HopCounts     `json:"sent"`
	Received HopCounts     `json:"received"`
	// Itemized reports whether both members named each other in all statements. If
	// not, their counts are partial, and only the counts of the regions can be
	// compared.
	Itemized bool `json:"itemized"`
	// FromUntil and ToUntil are the ends of the last statements of the members From
	// and To, in Unix milliseconds, or zero if a member has no statement. If a member
	// was lost, what it failed to record is at most what the other member counted
	// after that time.
	FromUntil int64 `json:"from_until"`
	ToUntil   int64 `json:"to_until"`
}

// Agrees reports whether both members counted the same. It is true if their
// counts cannot be compared because they are not itemized.
func (p MemberPair) Agrees() bool { return !p.Itemized || p.Sent == p.Received }

type pairKey struct {
	from, to ident.Member
	service  ident.Service
	tenant   ident.Tenant
}

// otherPeersKey identifies one end of the hops that a member counted, at least in
// part, under OtherPeers.
type otherPeersKey struct {
	member  ident.Member
	service ident.Service
	tenant  ident.Tenant
	sent    bool
}

// reconciler collects the counts of both ends of each hop.
type reconciler struct {
	pairs      map[pairKey]*MemberPair
	otherPeers map[otherPeersKey]bool
	lastEnd    map[ident.Member]int64
}

// ReconcileMembers returns the counts of both ends for each pair of members and
// each service, sorted by members, service and tenant. The statements must be
// sound ones, as Verify returns them.
func ReconcileMembers(statements []Statement) []MemberPair {
	c := reconciler{pairs: map[pairKey]*MemberPair{}, otherPeers: map[otherPeersKey]bool{}, lastEnd: map[ident.Member]int64{}}
	for _, s := range statements {
		c.lastEnd[s.Member] = max(c.lastEnd[s.Member], s.To)
		for _, l := range s.Lines {
			c.addLine(s.Member, l)
		}
	}
	list := make([]MemberPair, 0, len(c.pairs))
	for k, p := range c.pairs {
		p.FromUntil, p.ToUntil = c.lastEnd[p.From], c.lastEnd[p.To]
		sent := otherPeersKey{member: k.from, service: k.service, tenant: k.tenant, sent: true}
		received := otherPeersKey{member: k.to, service: k.service, tenant: k.tenant}
		p.Itemized = !c.otherPeers[sent] && !c.otherPeers[received]
		list = append(list, *p)
	}
	slices.SortFunc(list, func(a, b MemberPair) int {
		return cmp.Or(compareMembers(a.From, b.From), compareMembers(a.To, b.To),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tenant, b.Tenant))
	})
	return list
}

// addLine adds a line of a member's statement to the pair that it belongs to.
func (c *reconciler) addLine(member ident.Member, l Line) {
	if l.Peer.IsZero() {
		return
	}
	if l.Peer == OtherPeers {
		c.otherPeers[otherPeersKey{member: member, service: l.Service, tenant: l.Tenant, sent: l.Sent}] = true
		return
	}
	k := pairKey{from: l.Peer, to: member, service: l.Service, tenant: l.Tenant}
	if l.Sent {
		k.from, k.to = member, l.Peer
	}
	p := c.pairs[k]
	if p == nil {
		p = &MemberPair{From: k.from, To: k.to, Service: k.service, Tenant: k.tenant}
		c.pairs[k] = p
	}
	if l.Sent {
		p.Sent = p.Sent.add(l)
	} else {
		p.Received = p.Received.add(l)
	}
}

// RegionPair is the work of one service that the daemons of one region forwarded
// to the daemons of another region or of the same one, as counted by both ends.
type RegionPair struct {
	From     ident.Region  `json:"from"`
	To       ident.Region  `json:"to"`
	Service  ident.Service `json:"service"`
	Tenant   ident.Tenant  `json:"tenant"`
	Sent     HopCounts     `json:"sent"`
	Received HopCounts     `json:"received"`
}

// Agrees reports whether both ends counted the same.
func (p RegionPair) Agrees() bool { return p.Sent == p.Received }

type regionPairKey struct {
	from, to ident.Region
	service  ident.Service
	tenant   ident.Tenant
}

// ReconcileRegions returns the counts of both ends for each pair of regions and
// each service, sorted by regions, service and tenant. It covers all hops, also
// those that are counted under OtherPeers.
func ReconcileRegions(statements []Statement) []RegionPair {
	pairs := map[regionPairKey]*RegionPair{}
	for _, s := range statements {
		for _, l := range s.Lines {
			if !l.Peer.IsZero() {
				addRegionPair(pairs, s.Region, l)
			}
		}
	}
	list := make([]RegionPair, 0, len(pairs))
	for _, p := range pairs {
		list = append(list, *p)
	}
	slices.SortFunc(list, func(a, b RegionPair) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tenant, b.Tenant))
	})
	return list
}

// addRegionPair adds a line of a daemon in the given region to the pair of regions
// that it belongs to.
func addRegionPair(pairs map[regionPairKey]*RegionPair, region ident.Region, l Line) {
	k := regionPairKey{from: l.PeerRegion, to: region, service: l.Service, tenant: l.Tenant}
	if l.Sent {
		k.from, k.to = region, l.PeerRegion
	}
	p := pairs[k]
	if p == nil {
		p = &RegionPair{From: k.from, To: k.to, Service: k.service, Tenant: k.tenant}
		pairs[k] = p
	}
	if l.Sent {
		p.Sent = p.Sent.add(l)
	} else {
		p.Received = p.Received.add(l)
	}
}

// UnreconciledRatio returns the fraction of forwarded requests that only one end
// counted, from 0 to 1. It computes the fraction for the itemized pairs of members
// and for the pairs of regions, and returns the greater one.
func UnreconciledRatio(pairs []MemberPair, regions []RegionPair) float64 {
	var byDaemon, byRegion mismatch
	for _, p := range pairs {
		if p.Itemized {
			byDaemon.add(p.Sent, p.Received)
		}
	}
	for _, p := range regions {
		byRegion.add(p.Sent, p.Received)
	}
	return max(byDaemon.ratio(), byRegion.ratio())
}

// mismatch sums all requests and those that only one end counted.
type mismatch struct{ oneEnd, total uint64 }

func (m *mismatch) add(sent, received HopCounts) {
	high, low := max(sent.Requests, received.Requests), min(sent.Requests, received.Requests)
	m.oneEnd += high - low
	m.total += high
}

func (m mismatch) ratio() float64 {
	if m.total == 0 {
		return 0
	}
	return float64(m.oneEnd) / float64(m.total)
}
