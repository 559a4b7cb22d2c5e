package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Sample is the use of one request at one end of a hop, where it came from a
// caller, or of one run of it.
type Sample struct {
	Service    ident.Service
	Tenant     ident.Tenant
	Peer       ident.Member // zero for work from a caller
	PeerRegion ident.Region
	Sent       bool // counted at the forwarding end
	Run        bool // one run of a request that another sample counts
	Refused    bool
	Executed   bool
	SlotTime   time.Duration
	BytesIn    int64
	BytesOut   int64
}

// maxItemized bounds the lines of a statement that name a peer, and with them
// the memory of a meter and the bytes of a statement among thousands of peers.
const maxItemized = 256

// OtherPeers stands in a line for the peers of a region that the statement does
// not name one by one.
var OtherPeers = ident.Member{Host: "*"}

// lineKey is what distinguishes the lines of a statement.
type lineKey struct {
	service ident.Service
	tenant  ident.Tenant
	peer    ident.Member
	region  ident.Region
	sent    bool
}

// counts are the sums of one line. Slot time is kept in full, so that rounding
// to milliseconds does not add up over the statements.
type counts struct {
	line     Line
	slotTime time.Duration
}

// Meter sums samples until they are taken. It is not safe for concurrent use.
type Meter struct {
	region ident.Region
	sums   map[lineKey]*counts
}

// NewMeter returns an empty meter of a daemon in the region.
func NewMeter(region ident.Region) *Meter {
	return &Meter{region: region, sums: map[lineKey]*counts{}}
}

// Add counts a sample.
func (m *Meter) Add(s Sample) {
	c := m.sum(lineKey{service: s.Service, tenant: s.Tenant, peer: s.Peer, region: s.PeerRegion, sent: s.Sent})
	if !s.Run {
		c.line.Requests++
	}
	c.line.BytesIn += uint64(max(s.BytesIn, 0))
	c.line.BytesOut += uint64(max(s.BytesOut, 0))
	c.slotTime += max(s.SlotTime, 0)
	if s.Refused {
		c.line.Refusals++
	}
	if s.Executed {
		c.line.Executed++
	}
	if !s.Peer.IsZero() && s.PeerRegion != m.region {
		c.line.InterregionBytes += uint64(max(s.BytesIn, 0)) + uint64(max(s.BytesOut, 0))
	}
}

// sum returns the counts of a line. When too many peers are named, a further one
// is counted under OtherPeers of its region.
func (m *Meter) sum(k lineKey) *counts {
	c := m.sums[k]
	if c == nil && len(m.sums) >= maxItemized && !k.peer.IsZero() && k.peer != OtherPeers {
		k.peer = OtherPeers
		c = m.sums[k]
	}
	if c == nil {
		c = &counts{line: Line{Service: k.service, Tenant: k.tenant, Peer: k.peer, PeerRegion: k.region, Sent: k.sent}}
		m.sums[k] = c
	}
	return c
}

// DrainInto adds the sums to another meter and empties this one.
func (m *Meter) DrainInto(to *Meter) {
	for k, c := range m.sums {
		sum := to.sum(k)
		sum.line = addLines(sum.line, c.line)
		sum.slotTime += c.slotTime
	}
	clear(m.sums)
}

// counted reports whether anything was counted.
func (l Line) counted() bool {
	return l.Requests > 0 || l.Executed > 0 || l.SlotMillis > 0 || l.BytesIn > 0 || l.BytesOut > 0
}

// addLines returns a with the counts of b added.
func addLines(a, b Line) Line {
	a.Requests += b.Requests
	a.Refusals += b.Refusals
	a.Executed += b.Executed
	a.SlotMillis += b.SlotMillis
	a.BytesIn += b.BytesIn
	a.BytesOut += b.BytesOut
	a.InterregionBytes += b.InterregionBytes
	return a
}

// TakeLines returns the lines of an interval in canonical order and starts the next.
// The rest of slot time below a millisecond is carried over.
func (m *Meter) TakeLines() []Line {
	var lines []Line
	taken := m.sums
	m.sums = map[lineKey]*counts{}
	for k, c := range taken {
		c.line.SlotMillis = uint64(c.slotTime / time.Millisecond)
		if c.line.counted() {
			lines = append(lines, c.line)
		}
		if rest := c.slotTime % time.Millisecond; rest > 0 {
			m.sum(k).slotTime = rest
		}
	}
	slices.SortFunc(lines, compareLines)
	return lines
}

func compareLines(a, b Line) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Tenant, b.Tenant),
		cmp.Compare(a.Peer.Host, b.Peer.Host),
		cmp.Compare(a.Peer.Incarnation, b.Peer.Incarnation),
		cmp.Compare(a.PeerRegion, b.PeerRegion),
		compareBool(a.Sent, b.Sent),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
