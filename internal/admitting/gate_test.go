package admitting_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestNoMoreThanTheSlotsRunAndNoneLeak lets many callers with short contexts compete
// for the slots. It checks that no more requests run than there are slots, and that
// all slots are free at the end.
func TestNoMoreThanTheSlotsRunAndNoneLeak(t *testing.T) {
	const slots, callers, rounds = 4, 32, 50
	clock := ident.NewMonotonicClock()
	g := admitting.NewGate(admission.DefaultConfig(slots), clock)
	var running, started atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		wg.Go(func() {
			for range rounds {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(3000))*time.Microsecond)
				r := &pipeline.Request{Method: "GET", URI: fmt.Sprintf("/s/%d", random.IntN(3)), Deadline: clock.Now().Add(time.Second)}
				release, err := g.Acquire(ctx, r)
				if err == nil {
					started.Add(1)
					assert.Check(t, running.Add(1) <= slots)
					time.Sleep(time.Duration(random.IntN(500)) * time.Microsecond)
					running.Add(-1)
					release(time.Duration(random.IntN(2)))
				}
				cancel()
			}
		})
	}
	wg.Wait()
	assert.Equal(t, g.SlotUsage(), admitting.SlotUsage{})
	assert.Assert(t, started.Load() > 0)
}

// TestWithoutABackendServerNothingWaits checks that a gate without slots refuses a
// request at once, however distant its deadline is.
func TestWithoutABackendServerNothingWaits(t *testing.T) {
	clock := ident.NewMonotonicClock()
	g := admitting.NewGate(admission.DefaultConfig(0), clock)
	_, err := g.Acquire(context.Background(), &pipeline.Request{URI: "/s/x", Deadline: clock.Now().Add(time.Hour)})
	assert.Equal(t, errkind.Of(err), errkind.BackendUnavailable)
}

func TestClassIsTheRouteAfterTheKey(t *testing.T) {
	keyed := config.Service{Name: "bins", Mode: config.Keyed, KeyFrom: config.KeyFromPath}
	pooled := config.Service{Name: "jobs", Mode: config.Pooled}
	for _, tc := range []struct {
		service config.Service
		uri     string
		want    admission.Class
	}{
		{keyed, "/bins/k-17/bids?x=1", "bins GET bids"},
		{keyed, "/bins/k-18", "bins GET "},
		{pooled, "/jobs/reports/2026", "jobs GET reports"},
		{pooled, "/jobs/4711/parts", "jobs GET *"},
	} {
		r := &pipeline.Request{Method: "GET", URI: tc.uri, Service: tc.service}
		assert.Equal(t, admitting.ClassOf(r), tc.want)
	}
}
