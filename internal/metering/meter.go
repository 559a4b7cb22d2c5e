// Package metering counts the use of requests and records it in the log service.
// The request pipeline passes the use of each request to a Meter. In each
// interval, the Writer turns the counts into a signed statement and appends it to
// the usage stream. Use that is counted while the log service is unavailable is
// kept: it goes into a later statement, or its statement is appended again. A
// statement that is appended twice is counted once, by its sequence.
package metering

import (
	"math/rand/v2"
	"sync"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/usage"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// shardCount is the number of shards of a Meter. Several shards keep concurrent
// requests from contending for one lock. It is a power of two.
const shardCount = 16

// Meter counts the use of requests. It is safe for concurrent use.
type Meter struct {
	shards [shardCount]shard

	mu    sync.Mutex // guards total; locked before any shard's mu
	total *usage.Meter
}

// shard counts a part of the requests.
type shard struct {
	mu     sync.Mutex // guards counts
	counts *usage.Meter
}

var _ pipeline.Meter = (*Meter)(nil)

// NewMeter returns an empty meter for a daemon in the given region.
func NewMeter(region ident.Region) *Meter {
	m := &Meter{total: usage.NewMeter(region)}
	for i := range m.shards {
		m.shards[i].counts = usage.NewMeter(region)
	}
	return m
}

// Record counts one request or one execution of a request.
func (m *Meter) Record(u pipeline.Usage) {
	s := &m.shards[rand.Uint32()%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Add(sampleOf(u))
}

// sampleOf converts u to a sample. It sets the peer only for requests that were
// forwarded to or received from another daemon.
func sampleOf(u pipeline.Usage) usage.Sample {
	s := usage.Sample{
		Service:  u.Service,
		Tenant:   u.Tenant,
		Sent:     u.Forwarded,
		Run:      u.Run,
		Refused:  u.Refused,
		Executed: u.Executed,
		SlotTime: u.SlotTime,
		BytesIn:  u.BytesIn,
		BytesOut: u.BytesOut,
	}
	if u.Forwarded || u.Origin == pipeline.FromPeer {
		s.Peer, s.PeerRegion = u.Peer, u.PeerRegion
	}
	return s
}

// TakeLines returns the lines counted since the previous call.
func (m *Meter) TakeLines() []usage.Line {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.shards {
		m.shards[i].drainInto(m.total)
	}
	return m.total.TakeLines()
}

// drainInto moves the shard's counts to total.
func (s *shard) drainInto(total *usage.Meter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.DrainInto(total)
}
