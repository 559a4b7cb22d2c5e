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

// oneOwner implements Chooser: it chooses this daemon for every request, as if one
// server owned all keys of a sharded service.
type oneOwner struct{}

func (oneOwner) ChooseTarget(*hop.Request, []ident.Host) (Target, bool, *errkind.Error) {
	return Target{Local: true}, false, nil
}
func (oneOwner) RecordSent(Target, *hop.Request)                               {}
func (oneOwner) RecordAnswer(Target, *hop.Request, *hop.Answer, time.Duration) {}
func (oneOwner) LeastTime(Target, *hop.Request) (way, service time.Duration)   { return 0, 0 }
func (oneOwner) DaemonCount() int                                              { return 1 }
func (oneOwner) IsSharded(ident.Service) bool                                  { return true }

type noMetrics struct{}

func (noMetrics) CountRequest(string, string, time.Duration) {}
func (noMetrics) CountRepeat(string)                         {}

type noSender struct{}

func (noSender) Send(context.Context, mesh.Peer, *hop.Request) *hop.Answer { panic("not local") }

// failingServer implements hop.Handler. It counts the requests and fails each one for
// which failure returns an error.
type failingServer struct {
	sends   int
	failure func(send int) *errkind.Error
}

func (s *failingServer) Serve(context.Context, *hop.Request) *hop.Answer {
	s.sends++
	if e := s.failure(s.sends); e != nil {
		return &hop.Answer{Failure: e, ReachedBackend: true}
	}
	return &hop.Answer{Status: 200, ReachedBackend: true}
}

type realClock struct{}

func (realClock) Now() ident.Instant { return ident.Instant(time.Since(time.Unix(0, 0))) }

func newTestDispatcher(s *failingServer, ratio float64) *Dispatcher {
	b := Budget{Window: 10 * time.Second, Ratio: ratio}
	return NewDispatcher("h", oneOwner{}, s, noSender{}, b, noMetrics{}, realClock{}, zap.NewNop())
}

func serve(d *Dispatcher, idempotent bool) *hop.Answer {
	route := &routes.Route{Name: "r", MaxAttempts: 1, Idempotent: idempotent, Shares: []routes.Share{{Service: "s", Weight: 1}}}
	r := &hop.Request{ID: "i", Key: 1, Deadline: realClock{}.Now().Add(time.Second)}
	return d.Serve(context.Background(), r, route)
}

func newRefusal() *errkind.Error { return errkind.New(errkind.BackendRefused, "full") }

// An owner sheds half of its requests. No other server may run them, so the
// dispatcher must send refused requests to the owner again, also if the route allows
// only one attempt: a refused request has not run. Without this, a day with such a
// load pattern returned 2,897 refusals to callers.
func TestRefusedRequestIsSentToOwnerAgain(t *testing.T) {
	s := &failingServer{failure: func(send int) *errkind.Error {
		if send%2 == 1 {
			return newRefusal()
		}
		return nil
	}}
	a := serve(newTestDispatcher(s, 100), false)
	assert.Equal(t, a.Status, 200)
	assert.Equal(t, s.sends, 2)
}

func TestRepeatsOfRefusedRequestsAreBounded(t *testing.T) {
	s := &failingServer{failure: func(int) *errkind.Error { return newRefusal() }}
	a := serve(newTestDispatcher(s, 100), true)
	assert.Equal(t, a.Failure.Kind, errkind.BackendRefused)
	assert.Equal(t, a.Failure.Answer().Truth, errkind.NotRun)
	assert.Equal(t, s.sends, maxRefused)

	s.sends = 0
	serve(newTestDispatcher(s, 0), true)
	assert.Equal(t, s.sends, 1, "the budget is used up")
}

// An attempt that may have run counts against the attempts that the route allows,
// unlike a refused attempt, so the request is not sent again.
func TestLostAnswerIsNotRepeatedBeyondTheRoute(t *testing.T) {
	s := &failingServer{failure: func(int) *errkind.Error { return errkind.New(errkind.OutcomeUnknown, "cut") }}
	a := serve(newTestDispatcher(s, 100), true)
	assert.Equal(t, a.Failure.Answer().Truth, errkind.Unknown)
	assert.Equal(t, s.sends, 1)
}
