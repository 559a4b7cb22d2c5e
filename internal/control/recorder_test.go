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
	p := startMember(t, "a", log)
	assert.NilError(t, srv.SetFaults(logserver.Faults{LoseAnswers: 1}))
	p.mustRecord(p.poolRecord("x"))
	assert.Equal(t, p.pool(), ident.Pool("x"))
	assert.Equal(t, p.follower.Counters().Count(ownership.Folded), uint64(2))
}

func TestLogDownWritesNothing(t *testing.T) {
	srv, log := startLog(t, 1)
	gated := &gatedLog{Log: log}
	p := startMember(t, "a", gated)
	before := srv.Entries(string(logservice.ControlStream))
	assert.NilError(t, srv.SetFaults(logserver.Faults{Down: true}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gated.setAppend(func(ctx context.Context, records [][]byte) (ident.Offset, error) {
		at, err := log.Append(ctx, logservice.ControlStream, records)
		cancel()
		return at, err
	})
	first := p.startRecord(ctx, p.poolRecord("x"))
	err := waitResult(t, first)
	assert.ErrorIs(t, err, logservice.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, logservice.ErrOutcomeUnknown), "%v", err)
	assert.Assert(t, !p.LogAvailable())
	assert.NilError(t, srv.SetFaults(logserver.Faults{}))
	assert.DeepEqual(t, srv.Entries(string(logservice.ControlStream)), before)
	gated.setAppend(nil)
	p.mustRecord(p.poolRecord("y"))
	assert.Equal(t, p.pool(), ident.Pool("y"))
}

// callResult is a Record call of the concurrent test and its result.
type callResult struct {
	pool        ident.Pool
	fullTimeout bool // the call has the full testTimeout
	err         error
}

// TestConcurrentCallsFoldOnceInOrder compares the results of concurrent calls,
// under lost requests and answers, with a naive fold of the entries in the log.
func TestConcurrentCallsFoldOnceInOrder(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			srv, log := startLog(t, seed)
			p := startMember(t, "a", log)
			assert.NilError(t, srv.SetFaults(logserver.Faults{LoseAnswers: 0.3, LoseRequests: 0.3}))
			calls := recordConcurrently(p, seed)
			assert.NilError(t, srv.SetFaults(logserver.Faults{}))
			p.mustRecord(p.poolRecord("last"))

			order, written := naiveFold(t, srv.Entries(string(logservice.ControlStream)))
			for _, c := range calls {
				switch {
				case c.err == nil || c.fullTimeout:
					assert.NilError(t, c.err)
					assert.Equal(t, order[c.pool], 1, "%s", c.pool)
				case errors.Is(c.err, logservice.ErrUnavailable):
					assert.Assert(t, !written[c.pool], "%s", c.pool)
				default:
					assert.ErrorIs(t, c.err, logservice.ErrOutcomeUnknown)
				}
			}
			assert.Equal(t, p.pool(), ident.Pool("last"))
			assert.Equal(t, p.follower.Counters().Count(ownership.Folded), uint64(len(order)+1))
		})
	}
}

// recordConcurrently makes concurrent Record calls, some of which time out
// early, and returns their results.
func recordConcurrently(p *testProcess, seed uint64) []callResult {
	const workers, each = 8, 6
	var mu sync.Mutex // guards calls
	var calls []callResult
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			random := rand.New(rand.NewPCG(seed, uint64(w)))
			for i := range each {
				timeout, fullTimeout := testTimeout, random.IntN(4) > 0
				if !fullTimeout {
					timeout = time.Duration(random.IntN(300)) * time.Millisecond
				}
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				c := callResult{pool: ident.Pool(fmt.Sprintf("w%d-%d", w, i)), fullTimeout: fullTimeout}
				c.err = p.Record(ctx, p.poolRecord(c.pool))
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

// naiveFold folds entries by the rule that sequence numbers must increase. It
// returns how often each pool took effect and which pools were written.
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

// TestUnknownOutcomeTakesEffectLater lets an append with unknown outcome reach
// the log after its call has ended. The record takes effect if it arrives
// before the next record of the member, and has no effect if it arrives after
// it.
func TestUnknownOutcomeTakesEffectLater(t *testing.T) {
	for _, overtaken := range []bool{false, true} {
		srv, log := startLog(t, 1)
		gated := &gatedLog{Log: log}
		p := startMember(t, "a", gated)
		ctx, cancel := context.WithCancel(context.Background())
		var late [][]byte
		gated.setAppend(func(_ context.Context, records [][]byte) (ident.Offset, error) {
			late = records
			cancel()
			return 0, logservice.ErrOutcomeUnknown
		})
		assert.ErrorIs(t, p.Record(ctx, p.poolRecord("late")), logservice.ErrOutcomeUnknown)
		p.mustRecord() // nothing to write
		gated.setAppend(nil)
		want := ident.Pool("late")
		if overtaken {
			want = "next"
			p.mustRecord(p.poolRecord(want))
		}
		_, err := log.Append(context.Background(), logservice.ControlStream, late)
		assert.NilError(t, err)
		end := ident.Offset(len(srv.Entries(string(logservice.ControlStream))))
		eventually(t, "not folded", func() bool { return p.follower.Table().NextOffset() == end })
		assert.Equal(t, p.pool(), want)
		assert.Equal(t, p.follower.Counters().Count(ownership.Folded), uint64(2))
		p.mustRecord(p.poolRecord("after"))
		assert.Equal(t, p.pool(), ident.Pool("after"))
	}
}

// TestFoldWaitHoldsUpNoAppend checks that a call waiting for the follower does
// not delay the append of another call.
func TestFoldWaitHoldsUpNoAppend(t *testing.T) {
	srv, log := startLog(t, 1)
	gated := &gatedLog{Log: log}
	p := startMember(t, "a", gated)
	open := gated.holdReads()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	first := p.startRecord(ctx, p.poolRecord("x"))
	eventually(t, "first not appended", func() bool { return srv.Stats().Appends == 2 })
	second := p.startRecord(ctx, p.poolRecord("y"))
	eventually(t, "second not appended", func() bool { return srv.Stats().Appends == 3 })
	open()
	assert.NilError(t, waitResult(t, first))
	assert.NilError(t, waitResult(t, second))
	assert.Equal(t, p.pool(), ident.Pool("y"))
}

func TestStoppedRecorderAnswers(t *testing.T) {
	_, log := startLog(t, 1)
	p := startMember(t, "a", log)
	r := withStoppedRecorder(log, p)
	err := waitResult(t, r.startRecord(context.Background(), p.poolRecord("x")))
	assert.ErrorIs(t, err, logservice.ErrUnavailable)
}
