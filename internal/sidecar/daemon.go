package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"

	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/bootclock"
	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/balance"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/edge"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/mesh"
	"github.com/burdockfold/burdockfold/internal/origin"
	"github.com/burdockfold/burdockfold/internal/settings"
	"github.com/burdockfold/burdockfold/internal/telemetry"
)

// clusterName keeps daemons of different installations apart.
const clusterName = "burdockfold"

// Times of the mesh: a silent connection is found before a request on it has
// waited for most of its deadline, at a few bytes a second.
const (
	meshPing    = 1 * time.Second
	meshTimeout = 2500 * time.Millisecond
	meshDial    = 1 * time.Second
)

// Times of a graceful shutdown.
const (
	unreadyTime   = 2300 * time.Millisecond // two questions for readiness, a second apart, and the way
	shutdownSpare = 500 * time.Millisecond  // kept of the grace time for the end itself
	shutdownPoll  = 20 * time.Millisecond
)

// firstSlots hold until the backend server tells its own.
const firstSlots = 1

// serverConnections bounds the connections to the backend server: its slots, and
// as many that are about to close.
const serverConnections = 64

// Daemon is one sidecar process.
type Daemon struct {
	cfg    settings.Sidecar
	log    *zap.Logger
	member ident.Member
	clock  *ident.MonotonicClock

	server  *server
	owners  *owners
	configs *configs
	peers   *peers
	gate    *admitting.Gate
	edge    *edge.Server
	exit    *exit
	mesh    *mesh.Mesh
	metrics *metrics
	origin  *origin.Client
	adapter Adapter
	export  *telemetry.Providers // where the metrics are read

	service  atomic.Pointer[ident.Service] // on this host, as the settings say
	stopping atomic.Bool
}

// New returns a daemon that has opened no port yet.
func New(cfg settings.Sidecar, adapter Adapter, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, adapter: adapter, log: log,
		member: ident.Member{Host: cfg.Host.Name, Incarnation: ident.Incarnation(time.Now().UnixMilli())},
		clock:  ident.NewMonotonicClock(),
	}
	d.service.Store(&cfg.Service)
	d.gate = admitting.NewGate(admission.DefaultConfig(firstSlots), d.clock)
	if err := d.buildMetrics(); err != nil {
		return nil, err
	}
	d.buildOwners()
	d.server = &server{clock: d.clock, owners: d.owners, gate: d.gate, log: log, drainTime: cfg.Drain.ServerTime, change: func() { d.peers.changed() }}
	d.configs = &configs{
		store: adapter.Log, decode: adapter.DecodeConfig, log: log,
		pollTime: func() time.Duration { return d.peers.configWait() },
		changed: func(t *routes.Table, source string) {
			d.owners.configure(sharded(t))
			if source == sourceStore {
				d.peers.hintConfig(t.Version)
			}
		},
	}
	if err := d.buildMesh(); err != nil {
		return nil, err
	}
	d.buildPeers()
	d.buildPath()
	return d, nil
}

// buildMetrics comes before the parts that are counted, the log service among them.
func (d *Daemon) buildMetrics() error {
	p, err := telemetry.New(context.Background(), telemetry.Config{
		Settings: d.cfg.Telemetry, Member: d.member, Location: d.place(), Stdout: os.Stdout, Logger: d.log,
	})
	if err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	d.export = p
	d.metrics, err = newMetrics(p.Meter(), func() (int, int) { l := d.gate.SlotUsage(); return l.Running, l.Waiting })
	if err != nil {
		return err
	}
	d.adapter.Log = countedLog{KeyedLog: d.adapter.Log, calls: d.metrics.calls}
	return nil
}

func (d *Daemon) place() ident.Location {
	return ident.Location{Region: d.cfg.Host.Region, FailureDomain: d.cfg.Host.FailureDomain}
}

func (d *Daemon) buildOwners() {
	o := d.cfg.Ownership
	d.owners = &owners{
		cfg: keyrange.Config{
			Lease: o.Lease, UnsupportedLease: o.Confirm, SupportDuration: o.Support, MaxHold: o.Hold, DriftPerMille: o.DriftPerMille, SuspectAfter: o.SuspectAfter,
			StartupDelay: o.Settle, RankDelay: o.Stagger, BalanceInterval: o.BalanceEvery, BalanceCooldown: o.BalanceRest,
		},
		self: d.member, clock: bootclock.Clock{}, store: d.adapter.Log, log: d.log, metrics: d.metrics,
		candidates: func(s ident.Service) []keyrange.Candidate { return d.peers.candidates(s) },
		tell:       func(to []ident.Host, g given) { d.peers.tellGiven(to, g) },
		pollTime:   d.cfg.Store.PollTime, leasePoll: o.LeasePoll,
		agents: make(map[ident.Service]*keyrange.Agent), tables: make(map[ident.Service]version),
		freed: make(chan struct{}, 1),
	}
}

func (d *Daemon) buildMesh() error {
	m, err := mesh.New(mesh.Config{
		Self:         mesh.Peer{Member: d.member, Addr: d.cfg.Listen.Mesh},
		Cluster:      clusterName,
		Plain:        true,
		DialTimeout:  meshDial,
		PingInterval: meshPing,
		PingTimeout:  meshTimeout,
		Logger:       d.log,
	})
	if err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	d.mesh = m
	return nil
}

func (d *Daemon) buildPeers() {
	d.peers = &peers{
		self: d.member, addr: d.cfg.Listen.Mesh,
		place: d.place(),
		clock: d.clock, store: d.adapter.Log, mesh: d.mesh, server: d.server, gate: d.gate,
		owners: d.owners, configs: d.configs, log: d.log,
		pollTime: d.cfg.Store.PollTime, watchPoll: d.cfg.Store.WatchPoll,
		wake:    make(chan struct{}, 1),
		roster:  roster.New(d.member.Host),
		found:   make(map[ident.Host]ident.Instant),
		greeted: make(map[ident.Host]ident.Instant),
	}
}

// buildPath joins the request path: port for callers, choice, hop, exit.
func (d *Daemon) buildPath() {
	d.origin = origin.NewClient(d.adapter.HeaderNames, serverConnections, d.clock)
	d.exit = &exit{server: d.server, owners: d.owners, gate: d.gate, client: d.origin, clock: d.clock, metrics: d.metrics, log: d.log}
	choose := &chooser{
		peers: d.peers, owners: d.owners, clock: d.clock,
		estimate: balance.NewEstimator(balance.DefaultCosts()),
		rng:      rand.New(rand.NewPCG(uint64(d.member.Incarnation), uint64(os.Getpid()))),
	}
	budget := edge.Budget{Window: d.cfg.Retries.Window, Ratio: d.cfg.Retries.Ratio, Allowance: d.cfg.Retries.Allowance}
	dispatch := edge.NewDispatcher(d.member.Host, choose, d.exit, hop.NewClient(d.mesh, d.clock), budget, d.metrics, d.clock, d.log)
	if d.export.Tracing() {
		d.exit.spans = hop.NewSpans(d.export.Tracer())
		dispatch.SetSpans(d.exit.spans)
	}
	caller := func() string { return string(*d.service.Load()) }
	d.edge = edge.NewServer(d.adapter.HeaderNames, d.configs, dispatch, caller, d.clock, d.log)
	d.mesh.SetHandlers(d.peers, hop.NewServer(d.exit, d.clock, d.log))
}

// SetService changes the service on this host, as after new settings.
func (d *Daemon) SetService(s ident.Service) {
	d.service.Store(&s)
	d.log.Info("settings_reloaded", telemetry.Service(s))
}

// ready reports whether callers may be sent here.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.configs.Routes() != nil && d.peers.ready()
}

// Run serves until ctx ends, and then until the requests in progress are done or
// the grace time is over.
func (d *Daemon) Run(ctx context.Context) error {
	ports, err := d.listen()
	if err != nil {
		return err
	}
	d.log.Info("daemon_started", telemetry.Member(d.member), telemetry.Region(d.cfg.Host.Region),
		telemetry.FailureDomain(d.cfg.Host.FailureDomain), telemetry.Service(d.cfg.Service))
	g := duty.NewGroup(context.Background())
	d.serve(g, ports)
	select {
	case <-ctx.Done():
	case <-g.Context().Done():
	}
	d.drain(g.Context())
	return d.stop(g, ports)
}

// ports are the open listeners and the servers on them.
type ports struct {
	caller, mesh, local, ready, metrics net.Listener
	http                                []*fasthttp.Server
}

func (d *Daemon) listen() (*ports, error) {
	p := &ports{}
	var errs []error
	open := func(addr string) net.Listener {
		ln, err := net.Listen("tcp4", addr)
		errs = append(errs, err)
		return ln
	}
	l := d.cfg.Listen
	p.caller, p.mesh, p.local = open(l.Caller), open(l.Mesh), open(l.Local)
	p.ready, p.metrics = open(l.Ready), open(l.Metrics)
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	return p, nil
}

// serve starts the duties.
func (d *Daemon) serve(g *duty.Group, p *ports) {
	handlers := map[net.Listener]fasthttp.RequestHandler{
		p.local:   d.adapter.HeartbeatHandler(d.server),
		p.ready:   d.adapter.ReadinessHandler(d.ready),
		p.metrics: fasthttpadaptor.NewFastHTTPHandler(d.export.MetricsHandler()),
	}
	for ln, h := range handlers {
		s := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true, NoDefaultDate: true, ReadBufferSize: 4 << 10, IdleTimeout: time.Minute}
		p.http = append(p.http, s)
		g.Go("port "+ln.Addr().String(), func(context.Context) error { return s.Serve(ln) })
	}
	g.Go("callers", func(context.Context) error { return d.edge.Serve(p.caller) })
	g.Go("mesh", func(context.Context) error { return d.mesh.Serve(p.mesh) })
	g.Go("caller-watch", d.edge.WatchCallers)
	g.Go("slots", d.gate.Run)
	g.Go("config", d.configs.follow)
	g.Go("register", d.peers.register)
	g.Go("speak", d.peers.speak)
	g.Go("ownership-read", d.owners.follow)
	g.Go("ownership-plan", d.owners.plan)
	g.Go("server-watch", d.watchServer)
}

// watchServer is the duty that notices a silent backend server.
func (d *Daemon) watchServer(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval / silentBeats)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.server.check()
		}
	}
}

// drain lets callers go elsewhere, then takes nothing new and waits for what is in
// progress. Until then other daemons' requests for keys that only the server here
// holds are served.
func (d *Daemon) drain(ctx context.Context) {
	d.stopping.Store(true)
	d.log.Info("daemon_drains", zap.Int64("requests", d.edge.OpenRequests()))
	d.peers.leave()
	d.edge.CloseConnectionsAfterAnswers()
	sleep(ctx, unreadyTime)
	d.edge.RefuseNewRequests()
	d.exit.closed.Store(true)
	left := d.cfg.Drain.GraceTime - unreadyTime - shutdownSpare
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	for ctx.Err() == nil && (d.edge.OpenRequests() > 0 || d.gate.SlotUsage().Running > 0) {
		sleep(ctx, shutdownPoll)
	}
	d.log.Info("daemon_drained", zap.Int64("requests", d.edge.OpenRequests()), zap.Int("running", d.gate.SlotUsage().Running))
}

// stop ends the duties and closes the ports.
func (d *Daemon) stop(g *duty.Group, p *ports) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownSpare/2)
	defer cancel()
	err := d.edge.Shutdown(ctx)
	if cerr := d.mesh.Close(); err == nil {
		err = cerr
	}
	for _, s := range p.http {
		err = errors.Join(err, s.ShutdownWithContext(ctx))
	}
	g.Stop()
	d.origin.Close()
	d.log.Info("daemon_stopped", telemetry.Member(d.member), zap.Error(err))
	return nil
}
