package admin

import (
	"context"
	"errors"
	"time"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/control"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// changeTimeout bounds the time from the append of a change to its fold here.
const changeTimeout = 10 * time.Second

// Tables gives the folded state of the control stream.
type Tables interface {
	Table() *ownership.Table
}

// Recorder appends records and returns once they are folded here.
type Recorder interface {
	Record(ctx context.Context, bodies ...record.Body) error
}

// ViewDeps are what a TableView works with.
type ViewDeps struct {
	Self     ident.Member
	Tables   Tables
	Recorder Recorder
	Ready    func() error // nil result: callers are served
	Drain    func()       // starts the drain of this daemon and returns
}

// TableView is the Cluster of a running daemon: its folded table.
type TableView struct{ deps ViewDeps }

var _ Cluster = (*TableView)(nil)

// NewTableView returns the view of a daemon.
func NewTableView(d ViewDeps) *TableView { return &TableView{deps: d} }

// Self implements Cluster.
func (v *TableView) Self() ident.Member { return v.deps.Self }

// Ready implements Cluster.
func (v *TableView) Ready() error { return v.deps.Ready() }

// InForce implements Cluster.
func (v *TableView) InForce() *config.View { return control.ConfigInForce(v.deps.Tables.Table()) }

// Members implements Cluster.
func (v *TableView) Members() []api.Member {
	table := v.deps.Tables.Table()
	slices := map[ident.Member]int{}
	for _, g := range table.Groups() {
		slices[g.Holder] += table.SliceCount(g.ID)
	}
	var list []api.Member
	for _, m := range table.Members() {
		list = append(list, api.Member{
			Host: m.Member.Host, Incarnation: m.Member.Incarnation,
			Region: m.Location.Region, FailureDomain: m.Location.FailureDomain,
			CallerAddr: m.CallerAddr, MeshAddr: m.MeshAddr, AdminAddr: m.AdminAddr, PublicKey: m.PublicKey,
			Pool: m.Pool, Draining: m.Draining, Slices: slices[m.Member],
		})
	}
	return list
}

// Locate implements Cluster.
func (v *TableView) Locate(service config.Service, key []byte) (api.Location, error) {
	table := v.deps.Tables.Table()
	slice := table.SliceFor(service, ownership.HashKey(key))
	location := api.Location{Service: service.Name, Key: string(key), Slice: slice.Index}
	info, ok := table.Slice(slice)
	if !ok {
		return location, nil
	}
	group, ok := table.Group(info.Group)
	if !ok {
		return location, nil
	}
	location.Epoch = ident.NewEpoch(info.Assignment, group.Claim).String()
	location.Owner = group.Holder
	if m, ok := table.Member(group.Holder); ok {
		location.CallerAddr = m.CallerAddr
	}
	return location, nil
}

// RecordChange implements Cluster.
func (v *TableView) RecordChange(ctx context.Context, c config.SignedChange) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := v.deps.Recorder.Record(ctx, &record.ConfigChanged{Change: c})
	var void *control.VoidError
	switch {
	case err == nil:
		return true, nil
	case errors.As(err, &void):
		return false, nil
	case errors.Is(err, logservice.ErrOutcomeUnknown):
		return false, errkind.New(errkind.OutcomeUnknown, "the change may still come into force; apply it again: %w", err)
	default:
		return false, errkind.New(errkind.LogUnavailable, "change: %w", err)
	}
}

// Drain implements Cluster. Each daemon drains itself alone.
func (v *TableView) Drain(_ context.Context, h ident.Host) error {
	if h == v.deps.Self.Host {
		v.deps.Drain()
		return nil
	}
	m, _ := v.deps.Tables.Table().MemberByHost(h)
	return errkind.New(errkind.NotFound, "host %q is drained by its own daemon at %q", h, m.AdminAddr)
}
