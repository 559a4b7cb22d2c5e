package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

const (
	orderTimeout   = 500 * time.Millisecond
	cancelRingSize = 256
)

// cancelOrder is one cancellation to pass on.
type cancelOrder struct {
	addr string
	id   string
}

// CommandSender sends grants and cancellations to the backend server. A full ring of
// cancellations drops the oldest: the connection of a canceled request is cut in
// any case.
type CommandSender struct {
	self     ident.Member
	registry *Registry
	client   *fasthttp.Client
	cancels  *duty.Ring[cancelOrder]
	seq      atomic.Uint64
	log      *zap.Logger
}

// NewCommandSender returns the order sender of a member.
func NewCommandSender(self ident.Member, registry *Registry, log *zap.Logger) *CommandSender {
	return &CommandSender{
		self:     self,
		registry: registry,
		client:   &fasthttp.Client{NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1},
		cancels:  duty.NewRing[cancelOrder](cancelRingSize, duty.DropOldest),
		log:      log,
	}
}

// Grant tells the backend server which slices it may serve, at which epochs and
// for how long. Every error is of kind BackendUnavailable.
func (o *CommandSender) Grant(ctx context.Context, grants []SliceGrant, ttl time.Duration) error {
	reg, ok := o.registry.Current()
	if !ok {
		return errkind.New(errkind.BackendUnavailable, "no backend server is announced")
	}
	m := GrantMessage{
		Member: o.self,
		Seq:    o.seq.Add(1),
		TTLMS:  ttl.Milliseconds(),
		Grants: grants,
	}
	if err := o.post(ctx, reg.Announcement.Addr, PathGrants, m); err != nil {
		return errkind.New(errkind.BackendUnavailable, "grant: %w", err)
	}
	return nil
}

// Cancel queues a cancellation.
func (o *CommandSender) Cancel(addr, requestID string) {
	o.cancels.Put(context.Background(), cancelOrder{addr: addr, id: requestID})
}

// Run sends the queued cancellations until ctx ends.
func (o *CommandSender) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			o.client.CloseIdleConnections()
			return nil
		case c := <-o.cancels.C():
			o.sendCancel(ctx, c)
		}
	}
}

func (o *CommandSender) sendCancel(ctx context.Context, c cancelOrder) {
	err := o.post(ctx, c.addr, PathCancel, CancelMessage{RequestID: c.id})
	if err != nil {
		o.log.Debug("cancel_not_delivered", zap.String("request_id", c.id), zap.Error(err))
	}
}

func (o *CommandSender) post(ctx context.Context, addr, path string, body any) error {
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
	due := time.Now().Add(orderTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(due) {
		due = d
	}
	if err := o.client.DoDeadline(req, resp, due); err != nil {
		return err
	}
	if code := resp.StatusCode(); code/100 != 2 {
		return fmt.Errorf("status %d from %s", code, path)
	}
	return nil
}
