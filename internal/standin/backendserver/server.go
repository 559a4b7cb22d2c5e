// Package backendserver is a small stand-in for a keyed or pooled backend
// server. It announces itself to the daemon beside it, checks fenced grants, runs
// requests for as long as they ask, keeps a record of what it ran and when, and
// can fail in the ways real servers do.
package backendserver

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/backend"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
)

// Config describes a stand-in server.
type Config struct {
	Name         string
	Pool         ident.Pool
	DaemonLocal  string // host:port of the daemon's local port
	Slots        uint32
	Connections  uint32
	ChecksGrants bool
	ColdStart    time.Duration
	Journal      Journal // receives what the server ran; may be nil
}

// Server is a stand-in backend server.
type Server struct {
	cfg      Config
	instance string
	http     *fasthttp.Server
	ln       net.Listener
	slots    chan struct{} // one token for each request that runs; full: shed
	grants   grantTable
	faults   faultSet
	journal  Journal

	mu       sync.Mutex // guards counts, draining
	counts   map[string]uint64
	draining bool
	canceled map[string]context.CancelFunc
}

// New returns a server that listens on ln once Run is called.
func New(cfg Config, ln net.Listener) *Server {
	s := &Server{
		cfg:      cfg,
		instance: fmt.Sprintf("%s-%d", cfg.Name, time.Now().UnixNano()),
		ln:       ln,
		slots:    make(chan struct{}, cfg.Slots),
		journal:  cfg.Journal,
		counts:   map[string]uint64{},
		canceled: map[string]context.CancelFunc{},
	}
	if s.journal == nil {
		s.journal = discard{}
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		StreamRequestBody:     true,
		MaxRequestBodySize:    1 << 30,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s
}

// Addr is the address that serves requests.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Run serves and announces until ctx ends, then withdraws and closes.
func (s *Server) Run(ctx context.Context) error {
	g := duty.NewGroup(ctx)
	g.Go("serve", func(context.Context) error { return s.http.Serve(s.ln) })
	g.Go("announce", s.announceLoop)
	g.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		return s.http.Shutdown()
	})
	return g.Wait()
}

// Drain marks the server as leaving with its next announcement.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.announce()
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case backend.PathGrants:
		s.handleGrants(c)
	case backend.PathCancel:
		s.handleCancel(c)
	case pathFaults:
		s.handleFaults(c)
	default:
		s.handleWork(c)
	}
}
