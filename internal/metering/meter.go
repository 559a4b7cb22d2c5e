// Package metering counts the use of requests and writes it as signed statements
// to the log service.
package metering

import (
	"math/rand/v2"
	"sync"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/usage"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// shardCount keeps concurrent requests from waiting for one lock. It is a power
// of two.
const shardCount = 16

// Meter counts the use of requests. It is safe for concurrent use.
type Meter struct {
	shards [shardCount]shard

	mu    sync.Mutex // guards total; taken before any shard's lock
	total *usage.Meter
}

type shard struct {
	mu  sync.Mutex // guards sum
	sum *usage.Meter
}

var _ pipeline.Meter = (*Meter)(nil)

// NewMeter returns an empty meter of a daemon in the region.
func NewMeter(region ident.Region) *Meter {
	m := &Meter{total: usage.NewMeter(region)}
	for i := range m.shards {
		m.shards[i].sum = usage.NewMeter(region)
	}
	return m
}

// Record counts one request or one run of it.
func (m *Meter) Record(u pipeline.Usage) {
	s := &m.shards[rand.Uint32()%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sum.Add(sampleOf(u))
}

// sampleOf leaves out the peer of work that stayed on this daemon.
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

// TakeLines returns the lines counted since the last call.
func (m *Meter) TakeLines() []usage.Line {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.shards {
		m.shards[i].moveTo(m.total)
	}
	return m.total.TakeLines()
}

func (s *shard) moveTo(total *usage.Meter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sum.DrainInto(total)
}
