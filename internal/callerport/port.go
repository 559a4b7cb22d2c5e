package callerport

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/connwatch"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// prefetchLimit is the part of a body that the HTTP library reads before the
// handler runs.
const prefetchLimit = 4 << 10 // bytes

// Port is the HTTP server towards callers.
type Port struct {
	cfg     Config
	handler pipeline.Handler
	catalog pipeline.Catalog
	clock   ident.Clock
	log     *zap.Logger
	app     *fiber.App
	ids     idSource
	watch   *connwatch.Watcher
	duties  *duty.Group
	conns   atomic.Int64

	retiring atomic.Bool // see Retire
}

// New returns a port that hands requests to the pipeline's caller chain.
func New(cfg Config, h pipeline.Handler, catalog pipeline.Catalog, clock ident.Clock, log *zap.Logger) (*Port, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("callerport: %w", err)
	}
	ids, err := newIDSource()
	if err != nil {
		return nil, fmt.Errorf("callerport: %w", err)
	}
	p := &Port{
		cfg:     cfg,
		handler: h,
		catalog: catalog,
		clock:   clock,
		log:     log,
		ids:     ids,
		watch:   connwatch.New(cfg.WatchInterval),
		duties:  duty.NewGroup(context.Background()),
	}
	p.app = p.newApp()
	return p, nil
}

func (p *Port) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		DisableDefaultContentType:    true,
		BodyLimit:                    prefetchLimit, // larger bodies are streamed
		ReadTimeout:                  p.cfg.HeaderTimeout,
		WriteTimeout:                 p.cfg.AnswerTimeout,
		IdleTimeout:                  p.cfg.IdleTimeout,
		ReadBufferSize:               p.cfg.MaxHeaderBytes,
		Concurrency:                  p.cfg.MaxConnections,
	})
	server := app.Server()
	server.HeaderReceived = p.headerReceived
	server.ErrorHandler = p.readFailed
	server.CloseOnShutdown = true
	server.SecureErrorLogMessage = true // errors never repeat what a caller sent
	app.Use(p.serve)
	return app
}

// Serve accepts callers until Shutdown. It returns nil after a shutdown.
func (p *Port) Serve(ln net.Listener) error {
	p.duties.Go("caller-watch", p.watch.Run)
	err := p.app.Listener(&listener{Listener: ln, open: &p.conns}, fiber.ListenConfig{DisableStartupMessage: true})
	if err != nil {
		return fmt.Errorf("callerport: serve: %w", err)
	}
	return nil
}

// Shutdown stops accepting, closes idle connections and waits until the
// requests in flight have been answered or ctx ends.
func (p *Port) Shutdown(ctx context.Context) error {
	err := p.app.ShutdownWithContext(ctx)
	p.duties.Stop()
	if werr := p.duties.Wait(); err == nil {
		err = werr
	}
	if err != nil {
		return fmt.Errorf("callerport: shutdown: %w", err)
	}
	return nil
}

// Connections returns the number of open connections.
func (p *Port) Connections() int64 { return p.conns.Load() }

// serve handles one request whose header was read and accepted.
func (p *Port) serve(c fiber.Ctx) error {
	fctx := c.RequestCtx()
	p.lastOnConn(fctx)
	if e := refusalOf(&fctx.Request.Header); e != nil {
		p.refuse(fctx, e)
		return nil
	}
	call, err := p.newCall(fctx)
	if err != nil {
		p.refuse(fctx, err)
		return nil
	}
	var catcher panics.Catcher
	catcher.Try(func() { p.handle(call) })
	if r := catcher.Recovered(); r != nil {
		p.log.Error("caller_request_panic", zap.String("request_id", call.req.ID), zap.Error(r.AsError()))
		p.answerError(fctx, call.req.ID, errkind.New(errkind.Internal, "panic"))
		call.end()
	}
	return nil
}

// handle runs the pipeline and writes its answer.
func (p *Port) handle(c *call) {
	resp, err := p.handler.Handle(pipeline.ExtractTrace(c.ctx, c.req), c.req)
	if err != nil {
		p.answerError(c.fctx, c.req.ID, c.blame(err))
		c.end()
		return
	}
	p.answer(c, resp)
}

// refuse answers a request that does not enter the pipeline.
func (p *Port) refuse(fctx *fasthttp.RequestCtx, err error) {
	p.answerError(fctx, p.requestID(&fctx.Request.Header), err)
	lingerClose(fctx)
}

// readFailed answers a request that could not be read.
func (p *Port) readFailed(fctx *fasthttp.RequestCtx, err error) {
	p.answerError(fctx, p.ids.next(), readError(err))
	lingerClose(fctx)
}

// logRefused writes the log line of an error answer.
func (p *Port) logRefused(fctx *fasthttp.RequestCtx, id string, e *errkind.Error) {
	p.log.Info("caller_request_refused",
		zap.String("request_id", id),
		zap.String("kind", e.Kind.String()),
		zap.String("truth", string(e.Answer().Truth)),
		zap.String("caller", fctx.RemoteAddr().String()),
		zap.String("detail", e.Detail))
}
