package daemon

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	randv2 "math/rand/v2"
	"os"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/admin"
	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/backend"
	"github.com/burdockfold/burdockfold/internal/callerport"
	"github.com/burdockfold/burdockfold/internal/certs"
	"github.com/burdockfold/burdockfold/internal/control"
	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/idempotency"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/core/membership"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/retry"
	"github.com/burdockfold/burdockfold/internal/core/usage"
	"github.com/burdockfold/burdockfold/internal/forward"
	"github.com/burdockfold/burdockfold/internal/leasing"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/mesh"
	"github.com/burdockfold/burdockfold/internal/metering"
	"github.com/burdockfold/burdockfold/internal/pipeline"
	"github.com/burdockfold/burdockfold/internal/routing"
	"github.com/burdockfold/burdockfold/internal/telemetry"
)

// clusterName keeps daemons of different installations apart.
const clusterName = "burdockfold"

// Times of the lease controller.
const (
	takeoverRecordTimeout = 500 * time.Millisecond
	leaseRetryEvery       = 200 * time.Millisecond
	movePlanEvery         = 200 * time.Millisecond
	moveTimeout           = 10 * time.Second
	arrivalWait           = 2 * time.Second
	maxWaitingRequests    = 4096
	moveBudget            = 4 // slices at a time out of one group
)

// initialSlots hold until the backend server announces its own.
const initialSlots = 1

// build joins the parts of a node.
func (d *Daemon) build(ctx context.Context, self ident.Member, log logservice.Log, f *control.Follower, wake *waker) (*node, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("daemon: statement key: %w", err)
	}
	logger := d.log.With(zap.Stringer("member", self))
	n := &node{
		self: self,
		location: ident.Location{
			Region:        d.settings.Host.Region,
			FailureDomain: d.settings.Host.FailureDomain,
		},
		addrs:     advertised(d.settings, d.ports),
		publicKey: public,
		clock:     d.clock,
		log:       logger,
		shutdown:  d.settings.Shutdown.DrainTimeout,
		ports:     d.ports,
		follower:  f,
		recorder:  control.NewRecorder(log, self, f, logger),
		registry:  backend.NewRegistry(d.clock),

		drainAsked: make(chan struct{}, 1),
	}
	seed := randv2.New(randv2.NewPCG(uint64(self.Incarnation), uint64(ownership.HashKey([]byte(self.Host)))))
	n.planner = membership.NewPlanner(self, membership.DefaultConfig(), seed)
	n.orders = backend.NewCommandSender(self, n.registry, logger)
	n.executor = backend.NewExecutor(n.registry, d.clock, n.orders)
	n.local = backend.NewLocalPort(n.registry, logger)
	policy := admission.DefaultConfig(initialSlots)
	policy.MaxQueue = d.settings.Limits.QueuedRequests
	n.gate = admitting.NewGate(policy, d.clock)
	if err := d.buildTelemetry(ctx, n); err != nil {
		return nil, err
	}
	d.buildUsage(n, log, private)
	if err := d.buildMesh(n); err != nil {
		return nil, err
	}
	if err := d.buildPath(n); err != nil {
		return nil, err
	}
	if err := d.buildAdmin(n, log); err != nil {
		return nil, err
	}
	wake.set(func() {
		n.leases.NotifyTableChanged()
		n.router.TableChanged()
		n.router.ForgetAbsentMembers()
	})
	return n, nil
}

func (d *Daemon) buildTelemetry(ctx context.Context, n *node) error {
	p, err := telemetry.New(ctx, telemetry.Config{
		Settings: d.settings.Telemetry,
		Member:   n.self,
		Location: n.location,
		Stdout:   os.Stdout,
		Logger:   n.log,
		Spans:    d.opts.Spans,
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	n.providers = p
	return n.registerMetrics(p.Meter())
}

// Budget of the statements of use.
const (
	usageAppendsPerSecond = 40 // of all daemons together
	usageAppendTimeout    = 5 * time.Second
	usageFinishTimeout    = 3 * time.Second
)

func (d *Daemon) buildUsage(n *node, log logservice.Log, key ed25519.PrivateKey) {
	n.meter = metering.NewMeter(n.location.Region)
	cfg := metering.Config{
		MinInterval:      d.settings.Usage.StatementEvery,
		AppendsPerSecond: usageAppendsPerSecond,
		AppendTimeout:    usageAppendTimeout,
		FinishTimeout:    usageFinishTimeout,
	}
	n.usage = metering.NewWriter(cfg, metering.Deps{
		Meter:       n.meter,
		Chain:       usage.NewChain(n.self, n.location.Region, key),
		Log:         log,
		DaemonCount: func() int { return len(n.follower.Table().Members()) },
		Now:         time.Now,
		Logger:      n.log,
	})
}

func (d *Daemon) buildMesh(n *node) error {
	cfg := mesh.Config{
		Self:     mesh.Peer{Member: n.self, Addr: n.addrs.Mesh},
		Cluster:  clusterName,
		Plain:    d.settings.Mesh.PlainText,
		LinkHook: d.opts.LinkHook,
		Logger:   n.log,
	}
	if !cfg.Plain {
		files := d.settings.Mesh.TLS
		reloader, err := certs.NewReloader(files.CertFile, files.KeyFile, files.CAFile, n.log)
		if err != nil {
			return fmt.Errorf("daemon: mesh: %w", err)
		}
		n.certs = reloader
		cfg.TLS = reloader
	}
	m, err := mesh.New(cfg)
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	n.mesh = m
	return nil
}

// buildPath joins the leases and the request path.
func (d *Daemon) buildPath(n *node) error {
	grants := sliceGrants{orders: n.orders, registry: n.registry}
	idem := pipeline.NewIdempotencyStore(idempotency.DefaultConfig(), d.clock)
	held := &heldGroups{}
	n.router = routing.New(n.self, n.location.Region, d.clock, n.follower, held)
	leases, err := leasing.New(leasing.Deps{
		Self:        n.self,
		Config:      leaseConfig(d),
		Clock:       d.clock,
		Table:       leaseTable{n.follower},
		Recorder:    n.recorder,
		Granter:     grants,
		Idempotency: idem,
		Directory:   n.router,
		Transport:   n.mesh,
		Planner:     &movePlan{f: n.follower, held: held, budget: moveBudget},
		Log:         n.log,
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	n.leases, held.leases = leases, leases
	callers, peers := pipeline.New(pipeline.Deps{
		Self:         n.self,
		CallerAddr:   n.addrs.Caller,
		Clock:        d.clock,
		Catalog:      n.router,
		Locator:      n.router,
		Peers:        n.router.ObservePeers(forward.NewClient(n.mesh, d.clock)),
		Leases:       leases,
		Capabilities: grants,
		Backend:      n.executor,
		Admission:    n.gate,
		Idempotency:  idem,
		Meter:        n.meter,
		Regions:      n.router,
		Retry:        retry.DefaultPolicy(),
		Tracer:       n.tracer(),
		Log:          n.log,
	})
	callers, err = n.instrument(callers, "caller")
	if err != nil {
		return err
	}
	peers, err = n.instrument(peers, "peer")
	if err != nil {
		return err
	}
	n.mesh.SetHandlers(controlMessages{leases}, forward.NewServer(peers, d.clock, n.log))
	n.callers, err = callerport.New(d.callerConfig(), callers, n.router, d.clock, n.log)
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	return nil
}

func (d *Daemon) buildAdmin(n *node, log logservice.Log) error {
	cfg := admin.Config{RatePerSecond: d.settings.Admin.RatePerSecond, Burst: d.settings.Admin.Burst}
	if files := d.settings.Admin.TLS; !d.settings.Admin.PlainText {
		reloader, err := certs.NewReloader(files.CertFile, files.KeyFile, files.CAFile, n.log)
		if err != nil {
			return fmt.Errorf("daemon: admin: %w", err)
		}
		n.adminTLS = reloader
		cfg.TLS = reloader.PublicServerTLS() // changes carry their own signatures
	}
	deps := admin.Deps{
		Cluster: admin.NewTableView(admin.ViewDeps{
			Self:     n.self,
			Tables:   n.follower,
			Recorder: n.recorder,
			Ready:    n.ready,
			Drain:    n.askDrain,
		}),
		Log:    log,
		Now:    time.Now,
		Logger: n.log,
	}
	if d.settings.Telemetry.Metrics {
		deps.Metrics = n.providers.MetricsHandler()
	}
	server, err := admin.NewServer(cfg, deps)
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	n.admin = server
	return nil
}

// tracer returns nil without an exporter, so that the pipeline makes no spans.
func (n *node) tracer() trace.Tracer {
	if !n.providers.Tracing() {
		return nil
	}
	return n.providers.Tracer()
}

func (d *Daemon) callerConfig() callerport.Config {
	c := callerport.DefaultConfig()
	c.Region = d.settings.Host.Region
	c.HeaderTimeout = d.settings.Limits.HeaderTime
	c.BodyTimeout = d.settings.Limits.BodyTime
	c.IdleTimeout = d.settings.Limits.IdleTime
	c.MaxHeaderBytes = d.settings.Limits.HeaderBytes
	c.MaxConnections = d.settings.Limits.Connections
	return c
}

func leaseConfig(d *Daemon) leasing.Config {
	s := d.settings.Lease
	return leasing.Config{
		Lease: lease.Config{
			TTL:           s.TTL,
			RenewEvery:    s.RenewEvery,
			DriftPerMille: s.DriftPerMille,
			ClaimStagger:  s.ClaimStagger,
		},
		RecordTimeout:      takeoverRecordTimeout,
		RetryEvery:         leaseRetryEvery,
		PlanEvery:          movePlanEvery,
		MoveTimeout:        moveTimeout,
		ArrivalWait:        arrivalWait,
		MaxWaitingRequests: maxWaitingRequests,
	}
}
