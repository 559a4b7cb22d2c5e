// Package logserver is a stand-in for the platform's log service: append-only
// streams in memory behind HTTP, with failures that can be set at run time. It
// serves tests, the demo and the benchmark, never production.
package logserver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	maxRequestBytes = 64 << 20
	shutdownTime    = 5 * time.Second
)

// Config sets up a server.
type Config struct {
	// Seed starts the random source that decides which calls a fraction hits.
	Seed   uint64
	Faults Faults
}

// Stats counts what the server did.
type Stats struct {
	Appends  uint64 `json:"appends"`   // batches written
	Records  uint64 `json:"records"`   // records written
	Reads    uint64 `json:"reads"`     // reads answered
	BytesIn  uint64 `json:"bytes_in"`  // bytes of the records written
	BytesOut uint64 `json:"bytes_out"` // bytes of the records read
}

type counters struct {
	appends, records, reads, bytesIn, bytesOut atomic.Uint64
}

// Server is the stand-in log service. It is safe for concurrent use.
type Server struct {
	store  *store
	http   *fasthttp.Server
	counts counters
	closed chan struct{} // closed by Close; ends every wait
	once   sync.Once

	mu      sync.Mutex // guards the fields below
	faults  Faults
	changed chan struct{} // closed and replaced by each change of the faults
	random  *rand.Rand
}

// New returns a server that serves nothing yet.
func New(cfg Config) *Server {
	s := &Server{
		store:   newStore(),
		closed:  make(chan struct{}),
		faults:  cfg.Faults,
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "logserver",
		MaxRequestBodySize:    maxRequestBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
	}
	return s
}

// Serve answers calls on ln until Close.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Close stops the server and ends the calls that wait.
func (s *Server) Close() error {
	s.once.Do(func() { close(s.closed) })
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	return s.http.ShutdownWithContext(ctx)
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	f, _ := s.currentFaults()
	return f
}

func (s *Server) currentFaults() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Truncate drops all but the newest keep records of each stream.
func (s *Server) Truncate(keep int) {
	s.store.each(func(st *stream) { st.keep(keep) })
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	return Stats{
		Appends:  s.counts.appends.Load(),
		Records:  s.counts.records.Load(),
		Reads:    s.counts.reads.Load(),
		BytesIn:  s.counts.bytesIn.Load(),
		BytesOut: s.counts.bytesOut.Load(),
	}
}

// Entries returns every record kept in a stream.
func (s *Server) Entries(name string) []Entry {
	st := s.store.stream(name)
	b := st.bounds()
	entries, _, err := st.read(b.Oldest, int(b.Next-b.Oldest))
	if errors.Is(err, errTruncated) {
		return nil
	}
	return entries
}

// hits reports whether a fault with the given fraction hits this call.
func (s *Server) hits(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < fraction
}

// sleep waits for d or until the server closes.
func (s *Server) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.closed:
	}
}

// retain applies the retention in force to a stream.
func (s *Server) retain(st *stream, f Faults) {
	if f.RetainRecords > 0 {
		st.keep(f.RetainRecords)
	}
	if f.RetainMS > 0 {
		st.expire(time.Now().Add(-f.retainAge()))
	}
}
