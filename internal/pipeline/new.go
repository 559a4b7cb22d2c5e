package pipeline

import (
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/retry"
)

// Deps are what the filters depend on. All fields but Tracer are required.
type Deps struct {
	Self         ident.Member
	CallerAddr   string // caller address of this daemon, host:port
	Clock        ident.Clock
	Catalog      Catalog
	Locator      Locator
	Peers        Peers
	Leases       Leases
	Capabilities BackendCapabilities
	Backend      Backend
	Admission    Admission
	Idempotency  *IdempotencyStore
	Meter        Meter
	Regions      Regions
	Retry        retry.Policy
	Tracer       trace.Tracer // nil makes no spans; trace contexts still pass through
	Log          *zap.Logger
}

// New assembles the two chains: for requests from callers, and for those that
// other daemons forwarded.
func New(d Deps) (caller, peer Handler) {
	local := newLocal(d)
	peers := newPeers(d)
	caller = Chain(
		&router{locator: d.Locator, peers: peers, local: local, clock: d.Clock, policy: d.Retry},
		MeterRequests(d.Meter, d.Regions),
		Recover(d.Log),
		Trace(d.Tracer, "burdock.caller", trace.SpanKindServer),
		Classify(d.Catalog, d.Clock),
		Deadline(d.Clock),
	)
	peer = Chain(
		&relay{locator: d.Locator, peers: peers, local: local},
		MeterRequests(d.Meter, d.Regions),
		Recover(d.Log),
		Trace(d.Tracer, "burdock.peer", trace.SpanKindServer),
		Classify(d.Catalog, d.Clock),
		Deadline(d.Clock),
	)
	return caller, peer
}

func newPeers(d Deps) Peers {
	metered := &meteredPeers{Peers: d.Peers, meter: d.Meter, regions: d.Regions}
	if d.Tracer == nil {
		return metered
	}
	return &tracedPeers{Peers: metered, tracer: d.Tracer}
}

// newLocal is the part of the chain that runs at the owner's daemon.
func newLocal(d Deps) Handler {
	x := &executor{
		self:    d.Self,
		addr:    d.CallerAddr,
		leases:  d.Leases,
		backend: Chain(HandlerFunc(d.Backend.Execute), Recover(d.Log)),
		guard:   d.Capabilities,
		clock:   d.Clock,
		record:  d.Idempotency,
	}
	return Chain(x,
		MeterRuns(d.Meter, d.Regions, d.Clock),
		AwaitOwnership(d.Leases),
		Idempotent(d.Idempotency),
		Trace(d.Tracer, "burdock.admit", trace.SpanKindInternal),
		Admit(d.Admission, d.Clock),
		Trace(d.Tracer, "burdock.execute", trace.SpanKindClient),
	)
}
