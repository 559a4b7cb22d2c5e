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

// joinLeader starts a member that leads.
func joinLeader(t *testing.T, host ident.Host, log logservice.Log) *process {
	t.Helper()
	p := join(t, host, log)
	p.must(&record.LeaderElected{Term: 1, Leader: p.self})
	return p
}

func TestDamagedRecordsAreCountedAndHarmNothing(t *testing.T) {
	_, log := startLog(t, 1)
	p := join(t, "a", log)
	_, err := log.Append(context.Background(), logservice.ControlStream, [][]byte{{}, {0xff}, []byte("no record")})
	assert.NilError(t, err)
	p.must(p.inPool("x"))
	assert.Equal(t, p.f.Counters().Count(ownership.Damaged), uint64(3))
	assert.Equal(t, p.pool(), ident.Pool("x"))
	startProcess(t, "b", log, zap.NewNop()).agrees(p)
}

// TestFollowerBehindTheRetentionReloads also has a call whose record is only
// part of the snapshot, so that its outcome is lost.
func TestFollowerBehindTheRetentionReloads(t *testing.T) {
	srv, log := startLog(t, 1)
	a := joinLeader(t, "a", log)
	gated := &gatedLog{Log: log}
	b := join(t, "b", gated)
	open := gated.shut()
	written := srv.Stats().Appends
	lost := b.start(context.Background(), b.inPool("x"))
	eventually(t, "not appended", func() bool { return srv.Stats().Appends == written+1 })
	a.must(a.inPool("y"))
	snapshot := a.chunks()
	a.must(snapshot...)
	a.must(a.inPool("z"))
	srv.Truncate(len(snapshot) + 1)
	open()
	b.agrees(a)
	assert.ErrorIs(t, result(t, lost), logservice.ErrOutcomeUnknown)
	assert.Equal(t, b.pool(), ident.Pool("x"))
	b.must(b.inPool("w"))
	assert.Equal(t, b.pool(), ident.Pool("w"))
}

func TestStartsFromTheNewestUsableSnapshot(t *testing.T) {
	srv, log := startLog(t, 1)
	a := joinLeader(t, "a", log)
	first := a.chunks()
	_, at, err := a.f.Snapshot()
	assert.NilError(t, err)
	a.must(first...)
	found, ok := a.f.NewestSnapshotOffset()
	assert.Assert(t, ok && found == at)
	srv.Truncate(len(first))
	startProcess(t, "b", log, zap.NewNop()).agrees(a)

	a.must(a.inPool("x"))
	incomplete := a.chunks()
	a.must(incomplete[1:]...)
	startProcess(t, "c", log, zap.NewNop()).agrees(a)

	_, next, err := a.f.Snapshot()
	assert.NilError(t, err)
	a.must(bodies(ownership.SplitSnapshot(1, next, []byte("cannot be restored"), 8))...)
	a.must(a.inPool("y"))
	startProcess(t, "d", log, zap.NewNop()).agrees(a)
	found, ok = a.f.NewestSnapshotOffset()
	assert.Assert(t, ok && found == next)
}

func TestWithoutUsableSnapshotTheLoadIsRetried(t *testing.T) {
	srv, log := startLog(t, 1)
	a := joinLeader(t, "a", log)
	a.must(a.inPool("x"))
	srv.Truncate(1)
	core, logs := observer.New(zapcore.WarnLevel)
	b := startProcess(t, "b", log, zap.New(core))
	eventually(t, "no second failure logged", func() bool {
		failed := logs.FilterMessage("log_read_failed")
		return failed.Len() >= 2 && failed.All()[0].ContextMap()["error"] == "no usable snapshot: records before offset 2 are gone"
	})
	a.must(a.chunks()...)
	b.agrees(a)
}
