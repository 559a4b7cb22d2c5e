package admin

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/gofiber/fiber/v3/middleware/pprof"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

const (
	// maxBodyBytes holds a signed change with the most entries allowed.
	maxBodyBytes = 64 << 20
	readTimeout  = 30 * time.Second
	writeTimeout = 120 * time.Second // a CPU profile takes 30 s by default
	idleTimeout  = 60 * time.Second
)

// Config limits the API.
type Config struct {
	RatePerSecond float64     // of requests to /v1
	Burst         int         // requests above the rate at once
	TLS           *tls.Config // nil: plain text
}

// Validate reports the first value that is not usable.
func (c Config) Validate() error {
	if !(c.RatePerSecond > 0) || c.Burst < 1 {
		return errors.New("admin: rate and burst must be greater than zero")
	}
	return nil
}

// Deps are what a Server works with.
type Deps struct {
	Cluster Cluster
	Log     logservice.Log
	Metrics http.Handler // nil: no /metrics
	Now     func() time.Time
	Logger  *zap.Logger
}

// Server is the administration API of one daemon.
type Server struct {
	config  Config
	deps    Deps
	app     *fiber.App
	limiter *rate.Limiter
	nonces  *nonceStore
}

// NewServer returns a server; Serve starts it.
func NewServer(c Config, d Deps) (*Server, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	s := &Server{
		config:  c,
		deps:    d,
		limiter: rate.NewLimiter(rate.Limit(c.RatePerSecond), c.Burst),
		nonces:  newNonceStore(),
	}
	s.app = fiber.New(fiber.Config{
		AppName:       "burdockd",
		BodyLimit:     maxBodyBytes,
		ReadTimeout:   readTimeout,
		WriteTimeout:  writeTimeout,
		IdleTimeout:   idleTimeout,
		CaseSensitive: true,
		Immutable:     true, // names outlive the request
		ErrorHandler:  s.writeError,
	})
	s.route()
	return s, nil
}

func (s *Server) route() {
	s.app.Get(api.PathHealth, s.health)
	s.app.Get(api.PathReady, s.ready)
	if s.deps.Metrics != nil {
		s.app.Get(api.PathMetrics, adaptor.HTTPHandler(s.deps.Metrics))
	}
	s.app.Get(api.PathStatus, s.page)
	s.app.Use("/debug/pprof", pprof.New())
	s.app.Use("/v1", s.limit)
	s.app.Get(api.PathOpenAPI, s.openAPI)
	s.app.Get(api.PathMembers, s.members)
	s.app.Post(api.PathMembers+"/:host/drain", s.drain)
	s.app.Get(api.PathServices, s.services)
	s.app.Get(api.PathLocate, s.locate)
	s.app.Get(api.PathSheet, s.sheet)
	s.app.Get(api.PathHistory, s.history)
	s.app.Post(api.PathChanges, s.change)
	s.app.Get(api.PathUsage, s.usage)
	s.app.Use(func(c fiber.Ctx) error {
		return errkind.New(errkind.NotFound, "no %s %s here", c.Method(), c.Path())
	})
}

// limit refuses requests above the rate.
func (s *Server) limit(c fiber.Ctx) error {
	if !s.limiter.AllowN(s.deps.Now(), 1) {
		return errkind.New(errkind.RateLimited, "more than %g requests/s", s.config.RatePerSecond)
	}
	return c.Next()
}

// Serve answers on the listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if s.config.TLS != nil {
		l = tls.NewListener(l, s.config.TLS)
	}
	if err := s.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Shutdown ends Serve once the requests in flight are answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.app.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("admin: shutdown: %w", err)
	}
	return nil
}
