package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/origin"
)

// grantCallTimeout limits a grant. The server is on the same host and answers within
// milliseconds; the rest allows for a busy processor.
const grantCallTimeout = 500 * time.Millisecond

// Errors of a GrantCaller. Any other error leaves open whether the server carried out
// the call, or still will.
var (
	// ErrFenced means that the server has seen a greater fencing token.
	ErrFenced = errors.New("sidecar: the server has seen a greater fencing token")
	// ErrCallNotDone means that the server did not carry out the call and never will.
	ErrCallNotDone = errors.New("sidecar: the server did not carry out the call")
	// ErrDisconnected is wrapped beside the above if the connection could not be
	// established or broke, so that the server may have ended.
	ErrDisconnected = errors.New("sidecar: no connection to the server")
)

// GrantCaller grants keys to the backend server by calls, for services whose servers do
// not receive their grants in the answers to their heartbeats.
type GrantCaller interface {
	// Grant lets the server hold a range for the call's Hold, counted from its arrival.
	Grant(to origin.Server, c keyrange.Call, timeout time.Duration) error
	// Release takes a range back. It returns the transfer token once the server has ended
	// the work that ran on these keys.
	Release(to origin.Server, c keyrange.Call, timeout time.Duration) (token string, err error)
}

// callServer is the duty that makes the calls which the agents decide on. Each call has
// a goroutine of its own, because a release may wait for running work; the agents bound
// their number.
func (o *ownership) callServer(ctx context.Context) error {
	var calls conc.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.callsDue:
		}
		for _, s := range o.services() {
			to, due := o.dueCalls(s)
			for _, c := range due {
				calls.Go(func() { o.makeCall(s, to, c) })
			}
		}
	}
}

// requestCalls makes callServer ask the agents for calls soon.
func (o *ownership) requestCalls() {
	select {
	case o.callsDue <- struct{}{}:
	default: // a request is already pending
	}
}

// dueCalls returns the calls that the agent of a service decides on, and the server that
// they are for.
func (o *ownership) dueCalls(s ident.Service) (origin.Server, []keyrange.Call) {
	to, ok := o.localServer(s)
	if !ok {
		return to, nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[s]
	if i, known := a.Instance(); !known || i.ID != to.ID {
		return to, nil
	}
	return to, a.Calls(o.clock.Now())
}

// makeCall makes one call and reports its outcome to the agent.
func (o *ownership) makeCall(s ident.Service, to origin.Server, c keyrange.Call) {
	var token string
	var err error
	started := o.clock.Now()
	panicked := duty.Contain(func() {
		if c.Kind == keyrange.CallRelease {
			token, err = o.grantCaller.Release(to, c, max(c.Timeout, grantCallTimeout))
		} else {
			err = o.grantCaller.Grant(to, c, grantCallTimeout)
		}
	})
	err = errors.Join(err, panicked)
	outcome := callOutcome(err)
	now := o.clock.Now()
	o.applyCallOutcome(s, c, outcome, token, errors.Is(err, ErrDisconnected), now)
	o.metrics.countGrantCall(c.Kind, outcome)
	o.logCall(s, c, outcome, now.Sub(started), err)
	if c.Kind == keyrange.CallRelease && outcome == keyrange.CallDone {
		o.signalReleased()
	}
	o.requestCalls()
}

func (o *ownership) applyCallOutcome(s ident.Service, c keyrange.Call, outcome keyrange.CallOutcome, token string, disconnected bool, now ident.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.agents[s]
	a.ApplyCallOutcome(c, outcome, token, now)
	if disconnected {
		a.ServerDisconnected()
	}
}

// logCall logs releases, and grants that were not confirmed. Confirmed grants are
// renewed about once a second and are only counted.
func (o *ownership) logCall(s ident.Service, c keyrange.Call, outcome keyrange.CallOutcome, took time.Duration, err error) {
	if c.Kind == keyrange.CallGrant && outcome == keyrange.CallDone {
		return
	}
	event := "grant_failed"
	if c.Kind == keyrange.CallRelease {
		event = "keys_released"
	}
	o.log.Info(event, zap.String("service", string(s)), zap.String("server", c.Instance.ID), zap.Uint16("from", uint16(c.From)),
		zap.Uint16("to", uint16(c.To)), zap.Uint64("fence", c.Fence), zap.Stringer("outcome", outcome), zap.Duration("took", took), zap.Error(err))
}

// callOutcome maps the error of a GrantCaller to the outcome for the agent.
func callOutcome(err error) keyrange.CallOutcome {
	switch {
	case err == nil:
		return keyrange.CallDone
	case errors.Is(err, ErrFenced):
		return keyrange.CallFenced
	case errors.Is(err, ErrCallNotDone):
		return keyrange.CallNotDone
	default:
		return keyrange.CallUnclear
	}
}
