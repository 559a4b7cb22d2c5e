package hop

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/bootclock"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// runCounter counts the requests that it serves.
type runCounter int

// Serve implements Handler.
func (h *runCounter) Serve(context.Context, *Request) *Answer {
	*h++
	return &Answer{Status: 200}
}

// A call that its caller waits 250 ms for and that spent 600 ms in a queue on its way is not
// run. It stated 250 ms left when it was sent, and would have run for nobody.
func TestRequestHeldUpOnItsWayIsNotRun(t *testing.T) {
	clock := ident.NewMonotonicClock()
	var served runCounter
	s := NewServer(&served, &BodyBudget{}, clock, zap.NewNop())
	from := ident.Member{Host: "a", Incarnation: 1}
	serve := func(heldUp time.Duration) *Answer {
		sent := bootclock.Clock{}.Now().Add(-heldUp)
		r := &Request{ID: "x", Method: "GET", URI: "/", Key: NoKey, Deadline: clock.Now().Add(250 * time.Millisecond), SentAt: sent}
		head, _, err := encodeRequest(r, clock.Now(), inlineBytes)
		assert.NilError(t, err)
		got, _, err := decodeRequest(head, clock.Now())
		assert.NilError(t, err)
		if e := s.subtractDelay(got, from); e != nil {
			return s.refuse(got, e)
		}
		return s.next.Serve(context.Background(), got)
	}
	assert.Assert(t, serve(0).Failure == nil)
	late := serve(600 * time.Millisecond)
	assert.Assert(t, late.Failure != nil && late.Failure.Kind == errkind.DeadlineBeforeStart && late.Failure.Answer().Truth == errkind.NotRun)
	assert.Assert(t, serve(0).Failure == nil)
	assert.Equal(t, served, runCounter(2))
}
