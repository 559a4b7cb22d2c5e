package routing

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// errMemberLost is the cancellation cause of a request that waits for the answer
// of a member whose lease group another member claimed.
var errMemberLost = errors.New("routing: the member was lost")

// ObservePeers wraps p. The wrapper records the end of each forwarded request for
// the choice of pool targets, and cancels a repeatable request as soon as its
// target is lost, so that the request does not wait until its deadline.
func (r *Router) ObservePeers(p pipeline.Peers) pipeline.Peers {
	return &observedPeers{next: p, router: r}
}

type observedPeers struct {
	next   pipeline.Peers
	router *Router
}

// Forward forwards the request and records its start and its end.
func (o *observedPeers) Forward(ctx context.Context, to pipeline.Target, q *pipeline.Request) (*pipeline.Response, error) {
	o.router.recordSent(to.Member)
	forward := o.next.Forward
	if q.Repeatable {
		forward = o.forwardUntilLost
	}
	resp, err := forward(ctx, to, q)
	o.router.recordEnd(to.Member, err)
	return resp, err
}

// forwardUntilLost forwards the request and returns an OutcomeUnknown error once
// the log shows that the target was lost. It is used only for repeatable
// requests. A request that must not run twice keeps waiting, since its answer may
// still arrive.
func (o *observedPeers) forwardUntilLost(ctx context.Context, to pipeline.Target, q *pipeline.Request) (*pipeline.Response, error) {
	lossCtx, cancel := context.WithCancelCause(ctx)
	req := o.router.pending.add(to.Member, cancel)
	resp, err := o.next.Forward(lossCtx, to, q)
	o.router.pending.remove(to.Member, req)
	if err == nil {
		resp.Body = &cancelingBody{ReadCloser: resp.Body, cancel: cancel}
		return resp, nil
	}
	lost := ctx.Err() == nil && errors.Is(context.Cause(lossCtx), errMemberLost)
	cancel(nil)
	if lost && errkind.As(err).Answer().Truth != errkind.NotRun {
		return nil, errkind.New(errkind.OutcomeUnknown, "%s was lost: %w", to.Member, err)
	}
	return nil, err
}

// cancelingBody is an answer's body that cancels the context of its request when
// it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and cancels the context.
func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// pendingRequests holds, for each member, the repeatable requests that wait for
// its answer.
type pendingRequests struct {
	mu       sync.Mutex // guards byMember
	byMember map[ident.Member]map[*pendingRequest]struct{}
}

// pendingRequest is one request that waits for an answer.
type pendingRequest struct{ cancel context.CancelCauseFunc }

func (p *pendingRequests) add(m ident.Member, cancel context.CancelCauseFunc) *pendingRequest {
	req := &pendingRequest{cancel: cancel}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byMember == nil {
		p.byMember = map[ident.Member]map[*pendingRequest]struct{}{}
	}
	if p.byMember[m] == nil {
		p.byMember[m] = map[*pendingRequest]struct{}{}
	}
	p.byMember[m][req] = struct{}{}
	return req
}

func (p *pendingRequests) remove(m ident.Member, req *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byMember[m], req)
	if len(p.byMember[m]) == 0 {
		delete(p.byMember, m)
	}
}

// cancelLost cancels the requests to members for which lost returns true.
func (p *pendingRequests) cancelLost(lost func(ident.Member) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for m, reqs := range p.byMember {
		if !lost(m) {
			continue
		}
		for req := range reqs {
			req.cancel(errMemberLost)
		}
	}
}

// TableChanged cancels the repeatable requests that wait for a member which is
// lost in the new ownership table: the member is absent, its group was lost, or
// another member holds its group. TableChanged does not block.
func (r *Router) TableChanged() {
	table := r.tables.Table()
	r.pending.cancelLost(func(m ident.Member) bool {
		if info, ok := table.Member(m); !ok || !info.Present || info.LostGroup {
			return true
		}
		g, ok := table.Group(m)
		return ok && g.Holder != m
	})
}
