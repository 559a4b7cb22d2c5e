package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/httpconn"
)

const (
	commandTimeout  = 500 * time.Millisecond
	cancelQueueSize = 256
)

// cancellation is a queued cancellation of a request.
type cancellation struct {
	addr      string // of the backend server
	requestID string
}

// CommandSender sends grants and cancellations to the backend server. When the queue
// of cancellations is full, it drops the oldest one, which does no harm since the
// daemon closes the connection of a canceled request in any case.
type CommandSender struct {
	self     ident.Member
	registry *Registry
	client   *fasthttp.Client
	cancels  *duty.Ring[cancellation]
	seq      atomic.Uint64
	log      *zap.Logger
}

// NewCommandSender returns a sender for the member self.
func NewCommandSender(self ident.Member, registry *Registry, log *zap.Logger) *CommandSender {
	return &CommandSender{
		self:     self,
		registry: registry,
		client:   &fasthttp.Client{Dial: dialServer, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1},
		cancels:  duty.NewRing[cancellation](cancelQueueSize, duty.DropOldest),
		log:      log,
	}
}

// Grant sends the backend server the slices that it may serve for ttl, each with its
// epoch. Every error is of kind BackendUnavailable.
func (s *CommandSender) Grant(ctx context.Context, grants []SliceGrant, ttl time.Duration) error {
	reg, ok := s.registry.Current()
	if !ok {
		return errkind.New(errkind.BackendUnavailable, "no backend server is announced")
	}
	m := GrantMessage{
		Member: s.self,
		Seq:    s.seq.Add(1),
		TTLMS:  ttl.Milliseconds(),
		Grants: grants,
	}
	if err := s.post(ctx, reg.Announcement.Addr, PathGrants, m); err != nil {
		return errkind.New(errkind.BackendUnavailable, "grant: %w", err)
	}
	return nil
}

// dialServer connects to a backend server.
func dialServer(addr string) (net.Conn, error) {
	c, err := fasthttp.Dial(addr)
	if err != nil {
		return nil, err
	}
	return httpconn.NewAnswerConn(c), nil
}

// Cancel implements Canceler. It queues the cancellation and returns at once.
func (s *CommandSender) Cancel(addr, requestID string) {
	s.cancels.Put(context.Background(), cancellation{addr: addr, requestID: requestID})
}

// Run sends the queued cancellations until ctx ends.
func (s *CommandSender) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			s.client.CloseIdleConnections()
			return nil
		case c := <-s.cancels.C():
			s.sendCancel(ctx, c)
		}
	}
}

func (s *CommandSender) sendCancel(ctx context.Context, c cancellation) {
	err := s.post(ctx, c.addr, PathCancel, CancelMessage{RequestID: c.requestID})
	if err != nil {
		s.log.Debug("cancel_not_delivered", zap.String("request_id", c.requestID), zap.Error(err))
	}
}

// post sends body as JSON and returns an error unless the server answers with a
// status of class 2xx. It waits up to commandTimeout, or less if ctx has an earlier
// deadline.
func (s *CommandSender) post(ctx context.Context, addr, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + addr + path)
	req.SetBodyRaw(data)
	deadline := time.Now().Add(commandTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := s.client.DoDeadline(req, resp, deadline); err != nil {
		return err
	}
	if code := resp.StatusCode(); code/100 != 2 {
		return fmt.Errorf("status %d from %s", code, path)
	}
	return nil
}
