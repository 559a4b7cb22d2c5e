package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/bootclock"
	"github.com/burdockfold/burdockfold/internal/connlimit"
	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/balance"
	"github.com/burdockfold/burdockfold/internal/core/evacuation"
	"github.com/burdockfold/burdockfold/internal/core/heldmem"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/keyrange"
	"github.com/burdockfold/burdockfold/internal/core/linkroom"
	"github.com/burdockfold/burdockfold/internal/core/quarantine"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/core/sharedread"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/edge"
	"github.com/burdockfold/burdockfold/internal/held"
	"github.com/burdockfold/burdockfold/internal/hop"
	"github.com/burdockfold/burdockfold/internal/mesh"
	"github.com/burdockfold/burdockfold/internal/netlimit"
	"github.com/burdockfold/burdockfold/internal/origin"
	"github.com/burdockfold/burdockfold/internal/settings"
	"github.com/burdockfold/burdockfold/internal/telemetry"
)

// clusterName separates the daemons of different installations.
const clusterName = "burdockfold"

// Times of the mesh. Pings detect a dead connection before a request on it has used up
// most of its deadline, and cost a few bytes per second.
const (
	meshPingInterval     = 1 * time.Second
	meshPingTimeout      = 2500 * time.Millisecond
	meshIdlePingInterval = 15 * time.Second
	meshDialTimeout      = 1 * time.Second
)

// callDelay bounds the time from the decision on a grant by call to its arrival at the
// server, which is on the same host.
const callDelay = 100 * time.Millisecond

// initialSlots is the number of slots until the backend server reports its own.
const initialSlots = 1

// maxServerConnections limits the connections to the backend server. It covers one
// connection for each slot and as many that are about to close.
const maxServerConnections = 64

// Daemon is the sidecar process: the duties, the request path and their shared state.
type Daemon struct {
	cfg    settings.Sidecar
	log    *zap.Logger
	member ident.Member
	clock  *ident.MonotonicClock

	server      *server
	ownership   *ownership
	configs     *configFollower
	peers       *peers
	departures  *departureStore
	gate        *admitting.Gate
	suspects    *suspects
	evacuations *evacuations
	edge        *edge.Server
	hop         *hop.Server
	executor    *executor
	mesh        *mesh.Mesh
	metrics     *metrics
	origin      *origin.Client
	adapter     Adapter
	telemetry   *telemetry.Providers // metrics and traces

	service  atomic.Pointer[ident.Service] // service on this host according to the settings
	stopping atomic.Bool
	bounds   *hop.Stop // of the requests, while the daemon stops

	limits heldmem.Limits // of memory
	memory *held.Memory   // what is held for others

	drainer *connlimit.Drainer // closes connections of clients
}

// New returns a daemon that has not opened its ports yet.
func New(cfg settings.Sidecar, adapter Adapter, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, adapter: adapter, log: log,
		member: ident.Member{Host: cfg.Host.Name, Incarnation: ident.Incarnation(time.Now().UnixMilli())},
		clock:  ident.NewMonotonicClock(),
		bounds: hop.NewStop(),
		limits: heldmem.LimitsOf(int64(cfg.Resources.MemoryMB) * 1_000_000),
	}
	d.memory = held.New(d.limits)
	d.drainer = connlimit.NewDrainer(2*heldmem.SocketBuffer, int(d.limits.Unread), cfg.Resources.UnreadTime)
	d.service.Store(&cfg.Service)
	policy := admission.DefaultConfig(initialSlots)
	policy.CallsFirst = cfg.Calls.Protect
	d.gate = admitting.NewGate(policy, d.clock)
	if cfg.Room.Learn {
		d.gate.LearnRoom()
	}
	if err := d.buildMetrics(); err != nil {
		return nil, err
	}
	d.suspects = newSuspects(d.member.Host, newSuspectStore(d.adapter.Log, log), d.metrics, d.clock, log)
	d.departures = newDepartureStore(d.member.Host, d.adapter.Log, d.clock, log)
	d.buildOwnership()
	d.server = &server{clock: d.clock, instances: newTracker(), ownership: d.ownership, gate: d.gate, log: log, drainTime: cfg.Drain.ServerTime, onChange: func() { d.peers.requestHello() },
		isConfigured: func(s ident.Service) bool { return d.configs.isConfigured(s) }, knowsConfig: func() bool { return d.configs.Routes() != nil }, saveDepartures: d.departures.save,
		coldBound: func(s ident.Service) admission.ColdBound { return coldBoundOf(d.configs.Routes(), s, cfg.Cold) }}
	d.evacuations = newEvacuations(cfg.Host.FailureDomain, cfg.Evacuation.ApplyTime, adapter.DecodeEvacuation, d.clock, log)
	d.evacuations.metrics = d.metrics
	d.evacuations.onChange = func(c evacuation.Change, source string) { d.handleEvacuation(c, source) }
	d.configs = &configFollower{
		evacuations: d.evacuations,
		store:       d.adapter.Log, decode: adapter.DecodeConfig, log: log,
		localService: func() ident.Service { return *d.service.Load() },
		pollTime:     func() time.Duration { return d.peers.configPollTime() },
		onChange: func(t *routes.Table, source string) {
			d.ownership.addAgents(shardedServices(t))
			d.server.handleConfig()
			if source == sourceStore {
				d.peers.sendVersionHint(t.Version)
			}
		},
	}
	if err := d.buildMesh(); err != nil {
		return nil, err
	}
	d.buildPeers()
	if err := d.buildRequestPath(); err != nil {
		return nil, err
	}
	return d, nil
}

// buildMetrics creates the metrics and wraps the log service to count its calls. It must
// run before the parts that use either are built.
func (d *Daemon) buildMetrics() error {
	p, err := telemetry.New(context.Background(), telemetry.Config{
		Settings: d.cfg.Telemetry, Member: d.member, Location: d.location(), Stdout: os.Stdout, Logger: d.log,
	})
	if err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	d.telemetry = p
	d.metrics, err = newMetrics(p.Meter(), func() (int, int) { l := d.gate.SlotUsage(); return l.Running, l.Waiting }, func() float64 { return d.server.limit() }, func() int { return len(d.evacuations.Domains()) }, d.memory)
	if err == nil && d.cfg.Room.Learn {
		err = observeRoom(p.Meter(), d.gate.Room)
	}
	if err != nil {
		return err
	}
	d.adapter.Log = &observedLog{KeyedLog: d.adapter.Log, calls: d.metrics.calls, log: d.log, onRestore: d.handleRestore}
	return nil
}

// handleRestore is called when the store has come back from a copy. Pending polls wait for
// offsets that mean something else now.
func (d *Daemon) handleRestore() {
	d.configs.restartPoll()
	d.ownership.restartPoll()
	d.peers.requestRegistration()
	d.departures.saveAgain()
}

func (d *Daemon) location() ident.Location {
	return ident.Location{Region: d.cfg.Host.Region, FailureDomain: d.cfg.Host.FailureDomain}
}

func (d *Daemon) buildOwnership() {
	o := d.cfg.Ownership
	d.ownership = &ownership{
		cfg: keyrange.Config{
			Lease: o.Lease, UnsupportedLease: o.Confirm, SupportDuration: o.Support, MaxHold: o.Hold, CallDelay: callDelay, DriftPerMille: o.DriftPerMille, SuspectAfter: o.SuspectAfter,
			StartupDelay: o.Settle, CompletionDelay: o.SettleMax, RankDelay: o.Stagger, BalanceInterval: o.BalanceEvery, BalanceCooldown: o.BalanceRest,
		},
		self: d.member, clock: bootclock.Clock{}, store: d.adapter.Log, log: d.log, metrics: d.metrics,
		candidates: func(s ident.Service) []keyrange.Candidate { return d.peers.candidates(s) },
		sendUpdate: func(to []ident.Host, g tableUpdate) { d.peers.sendTableUpdate(to, g) },
		pollTime:   d.cfg.Store.PollTime, leasePoll: o.LeasePoll,
		forwardRead: func(to []ident.Host, m readForward) { d.peers.forwardRead(to, m) },
		follower:    sharedread.NewFollower(sharedread.DefaultConfig(), d.member.Host), followers: make(map[ident.Host]ident.Instant),
		agents: make(map[ident.Service]*keyrange.Agent), tables: make(map[ident.Service]versionedTable), copies: make(map[ident.Service]copiedTable), readTable: make(map[ident.Service]versionedTable),
		keysReleased: make(chan struct{}, 1), callsDue: make(chan struct{}, 1),
		grantCaller: d.adapter.Grants,
		localServer: func(s ident.Service) (origin.Server, bool) { return d.server.address(s) },
	}
}

func (d *Daemon) buildMesh() error {
	m, err := mesh.New(mesh.Config{
		Self:             mesh.Peer{Member: d.member, Addr: d.cfg.Listen.Mesh},
		Cluster:          clusterName,
		Plain:            true,
		DialTimeout:      meshDialTimeout,
		PingInterval:     meshPingInterval,
		PingTimeout:      meshPingTimeout,
		IdlePingInterval: meshIdlePingInterval,
		UnpacedBytes:     linkroom.UnpacedBytes(d.cfg.Resources.LinkMbps),
		SendRate:         sendRate(d.cfg.Resources.LinkMbps),
		Logger:           d.log,
		OnConnect:        func(m ident.Member) { d.peers.handleConnected(m) },
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
		location: d.location(), service: d.cfg.Service,
		clock: d.clock, store: d.adapter.Log, mesh: d.mesh, server: d.server, gate: d.gate,
		ownership: d.ownership, configs: d.configs, suspects: d.suspects, evacuations: d.evacuations, log: d.log,
		pollTime: d.cfg.Store.PollTime, watchPollTime: d.cfg.Store.WatchPoll,
		helloRequested:  make(chan struct{}, 1),
		registrationDue: make(chan struct{}, 1),
		roster:          roster.New(d.member.Host),
		foundAt:         make(map[ident.Host]ident.Instant),
		greetedAt:       make(map[ident.Host]ident.Instant),
		relay:           relayState{relayed: make(map[ident.Host]roster.Entry), told: make(map[ident.Host]ident.Member)},
	}
}

// buildRequestPath connects the parts that a request passes: the port for callers, the
// dispatcher with its chooser, the hop to another daemon, and the executor.
func (d *Daemon) buildRequestPath() error {
	maxConns, err := netlimit.CallerConnections()
	if err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	maxConns = d.limits.Connections(maxConns)
	d.origin = origin.NewClient(d.adapter.HeaderNames, maxServerConnections, d.clock)
	d.origin.UseMemory(d.memory)
	hops := hop.NewClient(d.mesh, d.clock)
	hops.UseMemory(d.memory)
	crashes := &crashWatch{server: d.server, accepts: d.origin.Accepts, clock: d.clock, metrics: d.metrics, log: d.log, onCrash: d.suspects.recordCrash, runs: quarantine.NewRuns()}
	d.executor = &executor{server: d.server, ownership: d.ownership, gate: d.gate, client: d.origin, crashes: crashes, suspects: d.suspects, evacuations: d.evacuations, stop: d.bounds, clock: d.clock, metrics: d.metrics, log: d.log,
		regions: &regionGuard{region: d.cfg.Host.Region, routes: d.configs.Routes}}
	var targetChooser edge.Chooser = &chooser{
		peers: d.peers, ownership: d.ownership, suspects: d.suspects, clock: d.clock, routes: d.configs.Routes, metrics: d.metrics,
		estimator: balance.NewEstimator(balance.DefaultCosts()),
		book:      advisory.NewBook(),
		times:     balance.NewTimes(),
		rng:       rand.New(rand.NewPCG(uint64(d.member.Incarnation), uint64(os.Getpid()))),
	}
	if d.cfg.Calls.Protect {
		d.executor.chains = newChains(d.clock)
		targetChooser = chainChooser{targetChooser, d.executor.chains}
	}
	budget := edge.Budget{Window: d.cfg.Retries.Window, Ratio: d.cfg.Retries.Ratio, Allowance: d.cfg.Retries.Allowance}
	dispatcher := edge.NewDispatcher(d.member.Host, targetChooser, d.executor, hops, budget, d.metrics, d.clock, d.log)
	if d.telemetry.Tracing() {
		d.executor.tracer = hop.NewTracer(d.telemetry.Tracer())
		dispatcher.SetTracer(d.executor.tracer)
	}
	caller := func() string { return string(*d.service.Load()) }
	d.edge = edge.NewServer(d.adapter.HeaderNames, d.configs, dispatcher, caller, maxConns, d.memory, d.bounds, d.clock, d.log)
	d.edge.SetUnreadTime(d.cfg.Resources.UnreadTime)
	d.hop = hop.NewServer(d.executor, d.memory, d.clock, d.log)
	d.mesh.SetHandlers(d.peers, d.hop)
	if err := d.observeConnections(d.telemetry.Meter()); err != nil {
		return err
	}
	return d.buildLinkRoom(hops)
}

// SetService changes the service on this host, after the settings were reloaded.
func (d *Daemon) SetService(s ident.Service) {
	d.service.Store(&s)
	d.log.Info("settings_reloaded", telemetry.Service(s))
}

// isReady reports whether callers may send requests to this daemon.
func (d *Daemon) isReady() bool {
	return !d.stopping.Load() && d.configs.Routes() != nil && d.peers.hostsAreKnown()
}

// Run serves requests until ctx ends or a duty fails. It then drains: it returns when
// the requests in progress are done, at the latest at the end of the grace time.
func (d *Daemon) Run(ctx context.Context) error {
	ports, err := d.listen()
	if err != nil {
		return err
	}
	d.log.Info("daemon_started", telemetry.Member(d.member), telemetry.Region(d.cfg.Host.Region),
		telemetry.FailureDomain(d.cfg.Host.FailureDomain), telemetry.Service(d.cfg.Service))
	if d.limits.Known() {
		defer debug.SetMemoryLimit(debug.SetMemoryLimit(d.limits.Heap))
	}
	g := duty.NewGroup(context.Background())
	d.startDuties(g, ports)
	select {
	case <-ctx.Done():
	case <-g.Context().Done():
	}
	d.drain(g.Context())
	return d.stop(g, ports)
}

// listeners are the open ports and the HTTP servers on them.
type listeners struct {
	caller, mesh, local, ready, metrics net.Listener
	http                                []*fasthttp.Server
}

// listen opens all ports of the daemon.
func (d *Daemon) listen() (*listeners, error) {
	p := &listeners{}
	var errs []error
	sockets := netlimit.Sockets{BufferBytes: heldmem.SocketBuffer, UnackedTime: d.cfg.Resources.UnreadTime}
	open := func(addr string) net.Listener { // for clients
		ln, err := sockets.Listen(addr, d.log)
		errs = append(errs, err)
		return d.drainer.Listener(ln)
	}
	l := d.cfg.Listen
	p.caller, p.local, p.ready, p.metrics = open(l.Caller), open(l.Local), open(l.Ready), open(l.Metrics)
	meshPort, err := net.Listen("tcp4", l.Mesh)
	errs = append(errs, err)
	p.mesh = netlimit.NewListener(meshPort, d.log)
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	return p, nil
}

// startDuties starts the duties of the daemon in the group g.
func (d *Daemon) startDuties(g *duty.Group, p *listeners) {
	start := func(name string, f duty.Func) { g.GoContained(name, f, d.reportPanic) }
	for _, served := range []struct {
		ln      net.Listener
		limits  portLimits
		handler fasthttp.RequestHandler
	}{
		{p.local, localPort, d.adapter.HeartbeatHandler(d.server)},
		{p.ready, readyPort, d.adapter.ReadinessHandler(d.isReady)},
		{p.metrics, metricsPort, fasthttpadaptor.NewFastHTTPHandler(d.telemetry.MetricsHandler())},
	} {
		s := served.limits.newServer(d.containHandler(served.handler), d.log)
		p.http = append(p.http, s)
		start("port "+served.ln.Addr().String(), func(context.Context) error { return s.Serve(served.ln) })
	}
	start("callers", func(context.Context) error { return d.edge.Serve(p.caller) })
	start("mesh", func(context.Context) error { return d.mesh.Serve(p.mesh) })
	start("caller-watch", d.edge.WatchCallers)
	start("unread-answers", d.edge.CutUnread)
	start("closed-connections", d.drainer.Run)
	start("slots", d.gate.Run)
	start("config", d.configs.follow)
	start("register", d.peers.register)
	start("departures", d.departures.run)
	start("speak", d.peers.sendMessages)
	start("ownership-read", d.ownership.follow)
	start("ownership-plan", d.ownership.plan)
	start("ownership-calls", d.ownership.callServer)
	start("server-watch", d.watchServer)
	start("suspects", func(ctx context.Context) error {
		return d.suspects.store.run(ctx, d.clock, d.suspects.merge, d.peers.daemonCount)
	})
}

// reportPanic logs and counts the panic of a duty, which is then started again.
func (d *Daemon) reportPanic(name string, err error) {
	d.metrics.countPanic(name)
	d.log.Error("duty_panicked", zap.String("duty", name), zap.Error(err))
}

// containHandler returns a handler that answers 500 to a call whose handler panics.
func (d *Daemon) containHandler(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if err := duty.Contain(func() { h(ctx) }); err != nil {
			d.reportPanic("call", err)
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		}
	}
}

// watchServer is the duty that detects a backend server which sends no heartbeats.
func (d *Daemon) watchServer(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval / maxMissedHeartbeats)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.server.checkSilence()
		}
	}
}
