package control_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/standin/logserver"
)

func TestLostAnswerFoldsOnce(t *testing.T) {
	srv, log := startLog(t, 1)
	p := join(t, "a", log)
	assert.NilError(t, srv.SetFaults(logserver.Faults{LoseAnswers: 1}))
	p.must(p.inPool("x"))
	assert.Equal(t, p.pool(), ident.Pool("x"))
	assert.Equal(t, p.f.Counters().Count(ownership.Folded), uint64(2))
}

func TestLogDownWritesNothing(t *testing.T) {
	srv, log := startLog(t, 1)
	gated := &gatedLog{Log: log}
	p := join(t, "a", gated)
	before := srv.Entries(string(logservice.ControlStream))
	assert.NilError(t, srv.SetFaults(logserver.Faults{Down: true}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gated.onAppend(func(ctx context.Context, records [][]byte) (ident.Offset, error) {
		at, err := log.Append(ctx, logservice.ControlStream, records)
		cancel()
		return at, err
	})
	first := p.start(ctx, p.inPool("x"))
	err := result(t, first)
	assert.ErrorIs(t, err, logservice.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, logservice.ErrOutcomeUnknown), "%v", err)
	assert.Assert(t, !p.LogAvailable())
	assert.NilError(t, srv.SetFaults(logserver.Faults{}))
	assert.DeepEqual(t, srv.Entries(string(logservice.ControlStream)), before)
	gated.onAppend(nil)
	p.must(p.inPool("y"))
	assert.Equal(t, p.pool(), ident.Pool("y"))
}

// call is a Record call of the concurrent test and what it was told.
type call struct {
	pool    ident.Pool
	patient bool // the caller waited as long as it took
	err     error
}

// TestConcurrentCallsFoldOnceInOrder compares what callers were told with a
// naive fold of what the log holds.
func TestConcurrentCallsFoldOnceInOrder(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			srv, log := startLog(t, seed)
			p := join(t, "a", log)
			assert.NilError(t, srv.SetFaults(logserver.Faults{LoseAnswers: 0.3, LoseRequests: 0.3}))
			calls := concurrently(p, seed)
			assert.NilError(t, srv.SetFaults(logserver.Faults{}))
			p.must(p.inPool("last"))

			order, written := naiveFold(t, srv.Entries(string(logservice.ControlStream)))
			for _, c := range calls {
				switch {
				case c.err == nil || c.patient:
					assert.NilError(t, c.err)
					assert.Equal(t, order[c.pool], 1, "%s", c.pool)
				case errors.Is(c.err, logservice.ErrUnavailable):
					assert.Assert(t, !written[c.pool], "%s", c.pool)
				default:
					assert.ErrorIs(t, c.err, logservice.ErrOutcomeUnknown)
				}
			}
			assert.Equal(t, p.pool(), ident.Pool("last"))
			assert.Equal(t, p.f.Counters().Count(ownership.Folded), uint64(len(order)+1))
		})
	}
}

// concurrently makes calls, some of which end early.
func concurrently(p *process, seed uint64) []call {
	const workers, each = 8, 6
	var mu sync.Mutex // guards calls
	var calls []call
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			random := rand.New(rand.NewPCG(seed, uint64(w)))
			for i := range each {
				patience, patient := limit, random.IntN(4) > 0
				if !patient {
					patience = time.Duration(random.IntN(300)) * time.Millisecond
				}
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				c := call{pool: ident.Pool(fmt.Sprintf("w%d-%d", w, i)), patient: patient}
				c.err = p.Record(ctx, p.inPool(c.pool))
				cancel()
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return calls
}

// naiveFold returns how often each pool took effect by the rule of increasing
// sequence numbers, and which pools were written at all.
func naiveFold(t *testing.T, entries []logserver.Entry) (effective map[ident.Pool]int, written map[ident.Pool]bool) {
	t.Helper()
	effective, written = map[ident.Pool]int{}, map[ident.Pool]bool{}
	last := uint64(0)
	for _, e := range entries {
		env, err := record.Decode(e.Data)
		assert.NilError(t, err)
		b, ok := env.Body.(*record.BackendChanged)
		if !ok {
			last = max(last, env.Seq)
			continue
		}
		written[b.Pool] = true
		if env.Seq > last {
			last = env.Seq
			effective[b.Pool]++
		}
	}
	return effective, written
}

// TestUnknownOutcomeTakesEffectLater lets an append arrive after its call has
// ended: before the next record it folds, after it no more.
func TestUnknownOutcomeTakesEffectLater(t *testing.T) {
	for _, overtaken := range []bool{false, true} {
		srv, log := startLog(t, 1)
		gated := &gatedLog{Log: log}
		p := join(t, "a", gated)
		ctx, cancel := context.WithCancel(context.Background())
		var late [][]byte
		gated.onAppend(func(_ context.Context, records [][]byte) (ident.Offset, error) {
			late = records
			cancel()
			return 0, logservice.ErrOutcomeUnknown
		})
		assert.ErrorIs(t, p.Record(ctx, p.inPool("late")), logservice.ErrOutcomeUnknown)
		p.must() // nothing to write
		gated.onAppend(nil)
		want := ident.Pool("late")
		if overtaken {
			want = "next"
			p.must(p.inPool(want))
		}
		_, err := log.Append(context.Background(), logservice.ControlStream, late)
		assert.NilError(t, err)
		end := ident.Offset(len(srv.Entries(string(logservice.ControlStream))))
		eventually(t, "not folded", func() bool { return p.f.Table().NextOffset() == end })
		assert.Equal(t, p.pool(), want)
		assert.Equal(t, p.f.Counters().Count(ownership.Folded), uint64(2))
		p.must(p.inPool("after"))
		assert.Equal(t, p.pool(), ident.Pool("after"))
	}
}

// TestFoldWaitHoldsUpNoAppend has a call that waits for the follower while
// another one is appended.
func TestFoldWaitHoldsUpNoAppend(t *testing.T) {
	srv, log := startLog(t, 1)
	gated := &gatedLog{Log: log}
	p := join(t, "a", gated)
	open := gated.shut()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	first := p.start(ctx, p.inPool("x"))
	eventually(t, "first not appended", func() bool { return srv.Stats().Appends == 2 })
	second := p.start(ctx, p.inPool("y"))
	eventually(t, "second not appended", func() bool { return srv.Stats().Appends == 3 })
	open()
	assert.NilError(t, result(t, first))
	assert.NilError(t, result(t, second))
	assert.Equal(t, p.pool(), ident.Pool("y"))
}

func TestStoppedRecorderAnswers(t *testing.T) {
	_, log := startLog(t, 1)
	p := join(t, "a", log)
	r := newStopped(log, p)
	err := result(t, r.start(context.Background(), p.inPool("x")))
	assert.ErrorIs(t, err, logservice.ErrUnavailable)
}
