// Package daemon assembles one burdockd from its parts and runs it: the request
// path, the leases, the fold of the log, the mesh, the backend server's port and
// the administration port.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/control"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/mesh"
	"github.com/burdockfold/burdockfold/internal/settings"
)

// ErrRemoved means that the log no longer counts this member as present: it was
// away for too long or its host was replaced. The caller may run a new daemon,
// which joins as a later incarnation.
var ErrRemoved = errors.New("daemon: this member was removed")

// Options are what a daemon needs besides its settings.
type Options struct {
	Logger   *zap.Logger
	LinkHook mesh.LinkHook // nil in production
	Version  string        // of the build

	// Spans receives every sampled span besides the exporter of the settings; it
	// may be nil.
	Spans sdktrace.SpanProcessor

	// SkipDrain ends the daemon at once, without handing over or leaving, as a
	// crash does.
	SkipDrain bool
}

// Daemon is one router process beside one backend server.
type Daemon struct {
	settings settings.Settings
	opts     Options
	log      *zap.Logger
	clock    *ident.MonotonicClock
	ports    *ports
	follower atomic.Pointer[control.Follower] // nil until Run
}

// New opens the daemon's ports, so that their addresses are known. Run or Close
// must follow.
func New(s settings.Settings, o Options) (*Daemon, error) {
	p, err := openPorts(s)
	if err != nil {
		return nil, fmt.Errorf("daemon: %w", err)
	}
	return &Daemon{
		settings: s,
		opts:     o,
		log:      o.Logger,
		clock:    ident.NewMonotonicClock(),
		ports:    p,
	}, nil
}

// Close closes the ports of a daemon that was not run.
func (d *Daemon) Close() { d.ports.close() }

// Addresses returns the addresses on which the daemon listens.
func (d *Daemon) Addresses() settings.Addresses { return d.ports.addresses() }

// Serves reports whether a service is in the configuration in force here.
func (d *Daemon) Serves(name ident.Service) bool {
	f := d.follower.Load()
	if f == nil {
		return false
	}
	_, ok := f.Table().Config().Service(name)
	return ok
}

// Run serves until ctx ends and then drains: slices are handed over, requests in
// flight finish and the member leaves. It returns nil after a complete drain.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.ports.close()
	log, err := logservice.NewClient(logservice.ClientConfig{
		BaseURL:  d.settings.LogService.URL,
		Timeout:  d.settings.LogService.Timeout,
		PollTime: d.settings.LogService.PollTime,
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	defer log.Close()
	wake := newWaker()
	f, err := control.NewFollower(control.FollowerDeps{
		Log:        log,
		BuildState: control.NewStateBuilder(rootKeys(d.settings)),
		PollTime:   d.settings.LogService.PollTime,
		Clock:      d.clock,
		Logger:     d.log,
		OnChange:   wake.signal,
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	d.follower.Store(f)
	return d.runWith(ctx, log, f, wake)
}

// runWith loads the state, joins and serves. The duties outlive ctx until the
// drain has ended.
func (d *Daemon) runWith(ctx context.Context, log logservice.Log, f *control.Follower, wake *waker) error {
	g := duty.NewGroup(context.WithoutCancel(ctx))
	g.Go("follower", f.Run)
	if !d.awaitState(ctx, g, f) {
		g.Stop()
		return g.Wait()
	}
	self := d.newMember(f)
	f.SetSelf(self)
	n, err := d.build(ctx, self, log, f, wake)
	if err != nil {
		g.Stop()
		return errors.Join(err, g.Wait())
	}
	n.start(g)
	select {
	case <-n.drainAsked:
		n.drain(context.WithoutCancel(ctx))
	case <-ctx.Done():
		if !d.opts.SkipDrain {
			n.drain(context.WithoutCancel(ctx))
		}
	case <-g.Context().Done():
	}
	n.close()
	g.Stop()
	return g.Wait()
}

// awaitState waits for the first load of the log.
func (d *Daemon) awaitState(ctx context.Context, g *duty.Group, f *control.Follower) bool {
	d.log.Info("loading_state", zap.String("log_service", d.settings.LogService.URL))
	select {
	case <-f.CaughtUp():
		return true
	case <-ctx.Done():
	case <-g.Context().Done():
	}
	return false
}

// newMember picks an incarnation above every earlier one of this host, also when
// the wall clock has gone back.
func (d *Daemon) newMember(f *control.Follower) ident.Member {
	m := ident.Member{
		Host:        d.settings.Host.Name,
		Incarnation: ident.Incarnation(time.Now().UnixMilli()),
	}
	if info, ok := f.Table().MemberByHost(m.Host); ok && info.Member.Incarnation >= m.Incarnation {
		m.Incarnation = info.Member.Incarnation + 1
	}
	return m
}

func rootKeys(s settings.Settings) []config.Key {
	keys := make([]config.Key, 0, len(s.TenantKeys))
	for _, k := range s.TenantKeys {
		pub, ok := k.Ed25519()
		if !ok {
			continue
		}
		keys = append(keys, config.Key{Name: k.Name, Tenant: k.Tenant, PublicKey: pub})
	}
	return keys
}

// waker passes the follower's signal on to the duties that were built after it.
type waker struct{ sinks chan func() }

func newWaker() *waker { return &waker{sinks: make(chan func(), 1)} }

// set names the function that signal calls.
func (w *waker) set(f func()) { w.sinks <- f }

// signal calls the function once it is set.
func (w *waker) signal() {
	select {
	case f := <-w.sinks:
		w.sinks <- f
		f()
	default:
	}
}
