package admin_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/burdockfold/burdockfold/internal/admin"
	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/control"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// foldingRecorder folds records at once.
type foldingRecorder struct {
	state *ownership.State
	next  ident.Offset
	fail  error
}

func (f *foldingRecorder) Table() *ownership.Table { return f.state.Table() }

func (f *foldingRecorder) Record(_ context.Context, bodies ...record.Body) error {
	if f.fail != nil {
		return f.fail
	}
	for _, b := range bodies {
		f.next++
		e := record.Envelope{Writer: ident.Member{Host: "h1", Incarnation: 1}, Seq: uint64(f.next), Body: b}
		if o := f.state.Apply(f.next, e); o != ownership.Folded {
			return &control.VoidError{Outcome: o}
		}
	}
	return nil
}

func TestTableViewShowsTheFoldedTable(t *testing.T) {
	ctx := context.Background()
	self := ident.Member{Host: "h1", Incarnation: 1}
	r := &foldingRecorder{state: ownership.NewState(control.NewConfigFold(newCluster().state.View().Keys()))}
	drained := 0
	view := admin.NewTableView(admin.ViewDeps{
		Self: self, Tables: r, Recorder: r, Drain: func() { drained++ }, Ready: func() error { return nil },
	})
	doc := config.Document{
		Pools: []config.Pool{{Name: "catalog", Tenant: "siamsaw"}},
		Services: []config.Service{{
			Name: "catalog", Tenant: "siamsaw", Mode: config.Keyed, Pool: "catalog", Slices: 4,
			KeyFrom: config.KeyFromPath, Deadline: 1e9, MaxBody: 1,
		}},
	}
	var change config.SignedChange
	data := signed(t, config.Change{Scope: "siamsaw", Document: doc}, "a", keyA)
	assert.NilError(t, codec.Unmarshal(data, &change))
	assert.NilError(t, r.Record(ctx,
		&record.MemberJoined{Member: self, CallerAddr: "c:1", AdminAddr: "a:1"},
		&record.BackendChanged{Member: self, Pool: "catalog"},
		&record.LeaderElected{Term: 1, Leader: self},
		&record.ConfigChanged{Change: change},
		&record.GroupSet{Term: 1, Group: self, Version: 1, Witnesses: []ident.Member{self}},
	))
	svc, ok := view.InForce().Service("catalog")
	assert.Assert(t, ok)
	location, err := view.Locate(svc, []byte("bin"))
	assert.NilError(t, err)
	assert.Assert(t, location.Owner.IsZero())

	moves := make([]record.Move, svc.Slices)
	for i := range moves {
		moves[i].Slice = ident.Slice{Service: "catalog", Index: uint32(i)}
	}
	assert.NilError(t, r.Record(ctx, &record.Assigned{Term: 1, To: self, Moves: moves}))
	location, err = view.Locate(svc, []byte("bin"))
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprintf("%s %s %s", location.Owner, location.Epoch, location.CallerAddr), "h1/1 1.1 c:1")
	assert.DeepEqual(t, view.Members(), []api.Member{{
		Host: "h1", Incarnation: 1, CallerAddr: "c:1", AdminAddr: "a:1", Pool: "catalog", Slices: 4,
	}})

	accepted, err := view.RecordChange(ctx, change)
	assert.NilError(t, err)
	assert.Assert(t, !accepted, "applied twice")
	for fail, kind := range map[error]errkind.Kind{
		logservice.ErrUnavailable: errkind.LogUnavailable, logservice.ErrOutcomeUnknown: errkind.OutcomeUnknown,
	} {
		r.fail = fail
		_, err := view.RecordChange(ctx, change)
		assert.Equal(t, errkind.Of(err), kind)
	}
	assert.NilError(t, view.Drain(ctx, "h1"))
	assert.Assert(t, cmp.ErrorContains(view.Drain(ctx, "h2"), "own daemon"))
	assert.Equal(t, drained, 1)
}
