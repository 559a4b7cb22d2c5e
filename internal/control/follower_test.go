package control_test

import (
	"context"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// startLeader starts a member and records that it was elected leader.
func startLeader(t *testing.T, host ident.Host, log logservice.Log) *testProcess {
	t.Helper()
	p := startMember(t, host, log)
	p.mustRecord(&record.LeaderElected{Term: 1, Leader: p.self})
	return p
}

func TestDamagedRecordsAreCountedAndHarmNothing(t *testing.T) {
	_, log := startLog(t, 1)
	p := startMember(t, "a", log)
	_, err := log.Append(context.Background(), logservice.ControlStream, [][]byte{{}, {0xff}, []byte("no record")})
	assert.NilError(t, err)
	p.mustRecord(p.poolRecord("x"))
	assert.Equal(t, p.follower.Counters().Count(ownership.Damaged), uint64(3))
	assert.Equal(t, p.pool(), ident.Pool("x"))
	startTestProcess(t, "b", log, zap.NewNop()).waitSameState(p)
}

// TestFollowerBehindTheRetentionReloads truncates the log beyond the position
// of a follower, which must load the newest snapshot. A record of that member
// is included in the snapshot only, so that the outcome of its call is lost.
func TestFollowerBehindTheRetentionReloads(t *testing.T) {
	srv, log := startLog(t, 1)
	a := startLeader(t, "a", log)
	gated := &gatedLog{Log: log}
	b := startMember(t, "b", gated)
	open := gated.holdReads()
	written := srv.Stats().Appends
	lost := b.startRecord(context.Background(), b.poolRecord("x"))
	eventually(t, "not appended", func() bool { return srv.Stats().Appends == written+1 })
	a.mustRecord(a.poolRecord("y"))
	snapshot := a.snapshotRecords()
	a.mustRecord(snapshot...)
	a.mustRecord(a.poolRecord("z"))
	srv.Truncate(len(snapshot) + 1)
	open()
	b.waitSameState(a)
	assert.ErrorIs(t, waitResult(t, lost), logservice.ErrOutcomeUnknown)
	assert.Equal(t, b.pool(), ident.Pool("x"))
	b.mustRecord(b.poolRecord("w"))
	assert.Equal(t, b.pool(), ident.Pool("w"))
}

func TestStartsFromTheNewestUsableSnapshot(t *testing.T) {
	srv, log := startLog(t, 1)
	a := startLeader(t, "a", log)
	first := a.snapshotRecords()
	_, at, err := a.follower.Snapshot()
	assert.NilError(t, err)
	a.mustRecord(first...)
	found, ok := a.follower.NewestSnapshotOffset()
	assert.Assert(t, ok && found == at)
	srv.Truncate(len(first))
	startTestProcess(t, "b", log, zap.NewNop()).waitSameState(a)

	a.mustRecord(a.poolRecord("x"))
	incomplete := a.snapshotRecords()
	a.mustRecord(incomplete[1:]...)
	startTestProcess(t, "c", log, zap.NewNop()).waitSameState(a)

	_, next, err := a.follower.Snapshot()
	assert.NilError(t, err)
	a.mustRecord(chunkBodies(ownership.SplitSnapshot(1, next, []byte("cannot be restored"), 8))...)
	a.mustRecord(a.poolRecord("y"))
	startTestProcess(t, "d", log, zap.NewNop()).waitSameState(a)
	found, ok = a.follower.NewestSnapshotOffset()
	assert.Assert(t, ok && found == next)
}

func TestWithoutUsableSnapshotTheLoadIsRetried(t *testing.T) {
	srv, log := startLog(t, 1)
	a := startLeader(t, "a", log)
	a.mustRecord(a.poolRecord("x"))
	srv.Truncate(1)
	core, logs := observer.New(zapcore.WarnLevel)
	b := startTestProcess(t, "b", log, zap.New(core))
	eventually(t, "no second failure logged", func() bool {
		failed := logs.FilterMessage("log_read_failed")
		return failed.Len() >= 2 && failed.All()[0].ContextMap()["error"] == "no usable snapshot: records before offset 2 are gone"
	})
	a.mustRecord(a.snapshotRecords()...)
	b.waitSameState(a)
}
