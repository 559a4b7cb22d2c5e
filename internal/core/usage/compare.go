package usage

import (
	"cmp"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// HopCounts are the counts that both ends of a hop make.
type HopCounts struct {
	Requests uint64 `json:"requests"`
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

func (c HopCounts) add(l Line) HopCounts {
	c.Requests += l.Requests
	c.BytesIn += l.BytesIn
	c.BytesOut += l.BytesOut
	return c
}

// MemberPair is the work of one service that one member forwarded to another, as
// counted by each.
type MemberPair struct {
	From     ident.Member  `json:"from"`
	To       ident.Member  `json:"to"`
	Service  ident.Service `json:"service"`
	Tenant   ident.Tenant  `json:"tenant"`
	Sent     HopCounts     `json:"sent"`
	Received HopCounts     `json:"received"`
	// Itemized says that both ends named each other in all statements. Else their
	// counts are partial, and only those of the regions can be compared.
	Itemized bool `json:"itemized"`
	// FromUntil and ToUntil are the ends of the last statements of both members,
	// in Unix milliseconds; zero without any. A difference of a member that was
	// lost is bounded by the other's counts after that time.
	FromUntil int64 `json:"from_until"`
	ToUntil   int64 `json:"to_until"`
}

// Agrees reports whether both ends counted the same, as far as they can be
// compared.
func (p MemberPair) Agrees() bool { return !p.Itemized || p.Sent == p.Received }

type pairKey struct {
	from, to ident.Member
	service  ident.Service
	tenant   ident.Tenant
}

// bulkKey is one end of hops whose peers were not all named.
type bulkKey struct {
	member  ident.Member
	service ident.Service
	tenant  ident.Tenant
	sent    bool
}

// comparison gathers the counts of both ends.
type comparison struct {
	pairs map[pairKey]*MemberPair
	bulk  map[bulkKey]bool
	until map[ident.Member]int64
}

// ReconcileMembers sets the counts of both ends of each hop side by side, sorted by
// members and service. The statements must be sound ones of Verify.
func ReconcileMembers(statements []Statement) []MemberPair {
	c := comparison{pairs: map[pairKey]*MemberPair{}, bulk: map[bulkKey]bool{}, until: map[ident.Member]int64{}}
	for _, s := range statements {
		c.until[s.Member] = max(c.until[s.Member], s.To)
		for _, l := range s.Lines {
			c.add(s.Member, l)
		}
	}
	list := make([]MemberPair, 0, len(c.pairs))
	for k, p := range c.pairs {
		p.FromUntil, p.ToUntil = c.until[p.From], c.until[p.To]
		sent := bulkKey{member: k.from, service: k.service, tenant: k.tenant, sent: true}
		received := bulkKey{member: k.to, service: k.service, tenant: k.tenant}
		p.Itemized = !c.bulk[sent] && !c.bulk[received]
		list = append(list, *p)
	}
	slices.SortFunc(list, func(a, b MemberPair) int {
		return cmp.Or(compareMembers(a.From, b.From), compareMembers(a.To, b.To),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Tenant, b.Tenant))
	})
	return list
}

func (c *comparison) add(member ident.Member, l Line) {
	if l.Peer.IsZero() {
		return
	}
	if l.Peer == OtherPeers {
		c.bulk[bulkKey{member: member, service: l.Service, tenant: l.Tenant, sent: l.Sent}] = true
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
// to those of another or of the same, as counted by both ends.
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

// ReconcileRegions sets the counts of both ends side by side for each pair of
// regions, sorted by regions and service. It covers all hops.
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

// UnreconciledRatio returns the part of the requests that only one end counted:
// the greater of that among pairs of daemons and among pairs of regions.
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

// mismatch sums requests and those that only one end counted.
type mismatch struct{ differ, all uint64 }

func (m *mismatch) add(sent, received HopCounts) {
	high, low := max(sent.Requests, received.Requests), min(sent.Requests, received.Requests)
	m.differ += high - low
	m.all += high
}

func (m mismatch) ratio() float64 {
	if m.all == 0 {
		return 0
	}
	return float64(m.differ) / float64(m.all)
}
