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

// prefetchLimit is the length of the part of a body that the HTTP library reads before
// the handler runs.
const prefetchLimit = 4 << 10 // bytes

// Port is the HTTP server for callers.
type Port struct {
	cfg       Config
	handler   pipeline.Handler
	catalog   pipeline.Catalog
	clock     ident.Clock
	log       *zap.Logger
	app       *fiber.App
	ids       idSource
	watch     *connwatch.Watcher
	duties    *duty.Group
	openConns atomic.Int64

	retiring atomic.Bool // set by Retire
}

// New returns a port that passes requests to h, the pipeline's handler for callers.
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
	server.ErrorHandler = p.handleReadError
	server.CloseOnShutdown = true
	server.SecureErrorLogMessage = true // keep input of callers out of error texts
	app.Use(p.serve)
	return app
}

// Serve accepts connections of callers until Shutdown, after which it returns nil.
func (p *Port) Serve(ln net.Listener) error {
	p.duties.Go("caller-watch", p.watch.Run)
	err := p.app.Listener(&listener{Listener: ln, openConns: &p.openConns}, fiber.ListenConfig{DisableStartupMessage: true})
	if err != nil {
		return fmt.Errorf("callerport: serve: %w", err)
	}
	return nil
}

// Shutdown stops accepting connections, closes idle ones and waits until the requests in
// flight have been answered or ctx ends.
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
func (p *Port) Connections() int64 { return p.openConns.Load() }

// serve handles one request whose header has been read. It answers a request that
// headerReceived refused and recovers panics of the pipeline.
func (p *Port) serve(c fiber.Ctx) error {
	fctx := c.RequestCtx()
	p.closeIfRetiring(fctx)
	if e := storedRefusal(&fctx.Request.Header); e != nil {
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
		p.writeError(fctx, call.req.ID, errkind.New(errkind.Internal, "panic"))
		call.release()
	}
	return nil
}

// handle runs the pipeline and writes its answer or error.
func (p *Port) handle(c *call) {
	resp, err := p.handler.Handle(pipeline.ExtractTrace(c.ctx, c.req), c.req)
	if err != nil {
		p.writeError(c.fctx, c.req.ID, c.preferBodyError(err))
		c.release()
		return
	}
	p.writeAnswer(c, resp)
}

// refuse answers a request that does not enter the pipeline.
func (p *Port) refuse(fctx *fasthttp.RequestCtx, err error) {
	p.writeError(fctx, p.requestID(&fctx.Request.Header), err)
	closeAfterAnswer(fctx)
}

// handleReadError answers a request that the HTTP library could not read.
func (p *Port) handleReadError(fctx *fasthttp.RequestCtx, err error) {
	p.writeError(fctx, p.ids.next(), classifyReadError(err))
	closeAfterAnswer(fctx)
}

// logRefusal logs an error answer.
func (p *Port) logRefusal(fctx *fasthttp.RequestCtx, id string, e *errkind.Error) {
	p.log.Info("caller_request_refused",
		zap.String("request_id", id),
		zap.String("kind", e.Kind.String()),
		zap.String("truth", string(e.Answer().Truth)),
		zap.String("caller", fctx.RemoteAddr().String()),
		zap.String("detail", e.Detail))
}
