package metering_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/usage"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/metering"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// faultyLog is a log service that treats successive appends in turn as follows: it
// refuses the append, loses the request, stores the records but loses the answer,
// and stores the records.
type faultyLog struct {
	logservice.Log
	mu      sync.Mutex // guards the fields below
	calls   int
	entries []usage.Entry
}

func (l *faultyLog) Append(_ context.Context, s logservice.Stream, records [][]byte) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	switch l.calls % 4 {
	case 1:
		return 0, logservice.ErrUnavailable
	case 2:
		return 0, logservice.ErrOutcomeUnknown
	}
	for _, r := range records {
		var statement usage.SignedStatement
		if err := codec.Unmarshal(r, &statement); err != nil || s != logservice.UsageStream {
			return 0, fmt.Errorf("stream %s: %w", s, err)
		}
		l.entries = append(l.entries, usage.Entry{Offset: ident.Offset(len(l.entries)), Statement: statement})
	}
	if l.calls%4 == 3 {
		return 0, logservice.ErrOutcomeUnknown
	}
	return 0, nil
}

func (l *faultyLog) callsAndEntries() (int, []usage.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls, l.entries
}

var member = ident.Member{Host: "a", Incarnation: 1}

func newWriter(meter *metering.Meter, log logservice.Log, key ed25519.PrivateKey, interval time.Duration) *metering.Writer {
	return metering.NewWriter(
		metering.Config{MinInterval: interval, AppendsPerSecond: 1e6, AppendTimeout: time.Second, FinishTimeout: time.Minute},
		metering.Deps{
			Meter: meter, Chain: usage.NewChain(member, "north", key), Log: log,
			DaemonCount: func() int { return 1 }, Now: time.Now, Logger: zap.NewNop(),
		})
}

func TestLastStatementIsWrittenAtShutdownThroughFaults(t *testing.T) {
	meter, log := metering.NewMeter("north"), &faultyLog{}
	g := duty.NewGroup(context.Background())
	g.Go("usage", newWriter(meter, log, ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)), time.Hour).Run)
	meter.Record(pipeline.Usage{Service: "s", Tenant: "t"})
	g.Stop()
	assert.NilError(t, g.Wait())
	_, entries := log.callsAndEntries()
	assert.Equal(t, len(entries), 2, "once with the answer lost, once more")
}

// TestStatementsAreCompleteThroughFaults records requests from several goroutines
// while appends fail, and expects a sound chain with exact totals.
func TestStatementsAreCompleteThroughFaults(t *testing.T) {
	public, private, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	meter, log := metering.NewMeter("north"), &faultyLog{}
	writer := newWriter(meter, log, private, time.Millisecond)
	g := duty.NewGroup(context.Background())
	g.Go("usage", writer.Run)

	const callerCount, requestsPerCaller = 8, 500
	callers := duty.NewGroup(context.Background())
	for range callerCount {
		callers.Go("caller", func(context.Context) error {
			for range requestsPerCaller {
				meter.Record(pipeline.Usage{Service: "s", Tenant: "t", Executed: true, BytesIn: 2, Peer: member})
			}
			return nil
		})
	}
	assert.NilError(t, callers.Wait())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if calls, _ := log.callsAndEntries(); calls >= 8 {
			return poll.Success()
		}
		meter.Record(pipeline.Usage{Service: "s", Tenant: "t", Refused: true})
		return poll.Continue("too few appends")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
	g.Stop()
	assert.NilError(t, g.Wait())

	_, entries := log.callsAndEntries()
	report := usage.Verify(usage.Input{
		Entries: entries, FromStart: true, Keys: map[ident.Member]ed25519.PublicKey{member: public},
	})
	assert.Assert(t, report.Sound(), "%v", report.Findings)
	totals := usage.SumTotals(report.Statements)
	assert.Equal(t, len(totals), 1)
	assert.Equal(t, totals[0].Executed, uint64(callerCount*requestsPerCaller))
	assert.Equal(t, totals[0].BytesIn, uint64(2*callerCount*requestsPerCaller))
	assert.Equal(t, totals[0].InterregionBytes, uint64(0))
}

func TestIntervalKeepsToTheAppendBudget(t *testing.T) {
	c := metering.Config{MinInterval: 10 * time.Second, AppendsPerSecond: 50, AppendTimeout: time.Second, FinishTimeout: time.Minute}
	assert.NilError(t, c.Validate())
	assert.Equal(t, c.Interval(12), 10*time.Second)
	assert.Equal(t, c.Interval(6200), 124*time.Second)
}
