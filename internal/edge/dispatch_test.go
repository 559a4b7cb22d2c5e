package edge

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// oneOwner chooses this daemon for every request of a sharded service.
type oneOwner struct{}

func (oneOwner) ChooseTarget(*hop.Request, []ident.Host) (Target, bool, *errkind.Error) {
	return Target{Local: true}, false, nil
}
func (oneOwner) RecordSent(Target, *hop.Request)                {}
func (oneOwner) RecordAnswer(Target, *hop.Request, *hop.Answer) {}
func (oneOwner) DaemonCount() int                               { return 1 }
func (oneOwner) IsSharded(ident.Service) bool                   { return true }

type noMetrics struct{}

func (noMetrics) CountRequest(string, string, time.Duration) {}
func (noMetrics) CountRepeat(string)                         {}

type noSender struct{}

func (noSender) Send(context.Context, mesh.Peer, *hop.Request) *hop.Answer { panic("not local") }

// shedding is a server that fails the sends for which fail says so.
type shedding struct {
	sends int
	fail  func(send int) *errkind.Error
}

func (s *shedding) Serve(context.Context, *hop.Request) *hop.Answer {
	s.sends++
	if e := s.fail(s.sends); e != nil {
		return &hop.Answer{Failure: e, Reached: true}
	}
	return &hop.Answer{Status: 200, Reached: true}
}

type realClock struct{}

func (realClock) Now() ident.Instant { return ident.Instant(time.Since(time.Unix(0, 0))) }

func newTestDispatcher(s *shedding, ratio float64) *Dispatcher {
	b := Budget{Window: 10 * time.Second, Ratio: ratio}
	return NewDispatcher("h", oneOwner{}, s, noSender{}, b, noMetrics{}, realClock{}, zap.NewNop())
}

func serve(d *Dispatcher, idempotent bool) *hop.Answer {
	route := &routes.Route{Name: "r", MaxAttempts: 1, Idempotent: idempotent, Shares: []routes.Share{{Service: "s", Weight: 1}}}
	r := &hop.Request{ID: "i", Key: 1, Deadline: realClock{}.Now().Add(time.Second)}
	return d.Serve(context.Background(), r, route)
}

func refusedByServer() *errkind.Error { return errkind.New(errkind.BackendRefused, "full") }

// Load pattern: an owner sheds half of its requests. No other server may run them,
// so they are sent to it again; what it refused has not run, whatever the route
// allows. On a day of this kind 2,897 requests were returned to their callers.
func TestWhatTheOwnerShedsIsSentAgain(t *testing.T) {
	s := &shedding{fail: func(send int) *errkind.Error {
		if send%2 == 1 {
			return refusedByServer()
		}
		return nil
	}}
	a := serve(newTestDispatcher(s, 100), false)
	assert.Equal(t, a.Status, 200)
	assert.Equal(t, s.sends, 2)
}

func TestRepeatsOfShedRequestsAreBounded(t *testing.T) {
	s := &shedding{fail: func(int) *errkind.Error { return refusedByServer() }}
	a := serve(newTestDispatcher(s, 100), true)
	assert.Equal(t, a.Failure.Kind, errkind.BackendRefused)
	assert.Equal(t, a.Failure.Answer().Truth, errkind.NotRun)
	assert.Equal(t, s.sends, maxRefused)

	s.sends = 0
	serve(newTestDispatcher(s, 0), true)
	assert.Equal(t, s.sends, 1, "the budget is used up")
}

// A request whose first run may have happened is not sent again to be refused.
func TestLostAnswerIsNotRepeatedBeyondTheRoute(t *testing.T) {
	s := &shedding{fail: func(int) *errkind.Error { return errkind.New(errkind.OutcomeUnknown, "cut") }}
	a := serve(newTestDispatcher(s, 100), true)
	assert.Equal(t, a.Failure.Answer().Truth, errkind.Unknown)
	assert.Equal(t, s.sends, 1)
}
