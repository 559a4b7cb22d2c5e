package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Sample is the use of one request as counted at one end of a hop or where the
// caller's request arrived, or the use of one execution of a request.
type Sample struct {
	Service    ident.Service
	Tenant     ident.Tenant
	Peer       ident.Member // zero for a request from a caller
	PeerRegion ident.Region
	Sent       bool // counted at the forwarding end
	Run        bool // an execution of a request that another sample counts
	Refused    bool
	Executed   bool
	SlotTime   time.Duration
	BytesIn    int64
	BytesOut   int64
}

// maxItemizedLines is the number of lines from which on further peers are counted
// under OtherPeers. It bounds the memory of a meter and the size of a statement in
// a cluster of thousands of peers.
const maxItemizedLines = 256

// OtherPeers is the peer of a line that sums the peers of a region that the
// statement does not name individually.
var OtherPeers = ident.Member{Host: "*"}

// lineKey identifies a line within a statement.
type lineKey struct {
	service ident.Service
	tenant  ident.Tenant
	peer    ident.Member
	region  ident.Region
	sent    bool
}

// counts contains the sums of one line. The slot time is kept in nanoseconds, so
// that errors of rounding to milliseconds do not add up over the statements.
type counts struct {
	line     Line
	slotTime time.Duration
}

// Meter sums samples into lines until TakeLines returns them. It is not safe for
// concurrent use.
type Meter struct {
	region ident.Region
	sums   map[lineKey]*counts
}

// NewMeter returns an empty meter for a daemon in the given region.
func NewMeter(region ident.Region) *Meter {
	return &Meter{region: region, sums: map[lineKey]*counts{}}
}

// Add adds a sample to the line that it belongs to. Negative byte counts and slot
// times are ignored.
func (m *Meter) Add(s Sample) {
	c := m.countsFor(lineKey{service: s.Service, tenant: s.Tenant, peer: s.Peer, region: s.PeerRegion, sent: s.Sent})
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

// countsFor returns the counts of a line and creates them if there are none. If the
// meter has maxItemizedLines lines, it counts further peers under OtherPeers of
// their region.
func (m *Meter) countsFor(k lineKey) *counts {
	c := m.sums[k]
	if c == nil && len(m.sums) >= maxItemizedLines && !k.peer.IsZero() && k.peer != OtherPeers {
		k.peer = OtherPeers
		c = m.sums[k]
	}
	if c == nil {
		c = &counts{line: Line{Service: k.service, Tenant: k.tenant, Peer: k.peer, PeerRegion: k.region, Sent: k.sent}}
		m.sums[k] = c
	}
	return c
}

// DrainInto adds all counts to the meter to and empties this one.
func (m *Meter) DrainInto(to *Meter) {
	for k, c := range m.sums {
		target := to.countsFor(k)
		target.line = addLines(target.line, c.line)
		target.slotTime += c.slotTime
	}
	clear(m.sums)
}

// hasCounts reports whether the line has any counts to report.
func (l Line) hasCounts() bool {
	return l.Requests > 0 || l.Executed > 0 || l.SlotMillis > 0 || l.BytesIn > 0 || l.BytesOut > 0
}

// addLines returns line a with the counts of line b added to it.
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

// TakeLines returns the lines of the current interval in canonical order and starts
// the next interval. The part of a line's slot time below a millisecond is carried
// over to the next interval.
func (m *Meter) TakeLines() []Line {
	var lines []Line
	closed := m.sums
	m.sums = map[lineKey]*counts{}
	for k, c := range closed {
		c.line.SlotMillis = uint64(c.slotTime / time.Millisecond)
		if c.line.hasCounts() {
			lines = append(lines, c.line)
		}
		if remainder := c.slotTime % time.Millisecond; remainder > 0 {
			m.countsFor(k).slotTime = remainder
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
