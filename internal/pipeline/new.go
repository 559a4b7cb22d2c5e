package pipeline

import (
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/retry"
)

// Deps holds the dependencies of the filters. All fields except Tracer are required.
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
	Tracer       trace.Tracer // if nil, no spans are created; trace contexts still pass through
	Log          *zap.Logger
}

// New builds two chains: caller serves requests from callers, and peer serves
// requests that other daemons forwarded.
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

// newPeers wraps the peers of d so that each hop is metered and, with a tracer,
// traced.
func newPeers(d Deps) Peers {
	metered := &meteredPeers{Peers: d.Peers, meter: d.Meter, regions: d.Regions}
	if d.Tracer == nil {
		return metered
	}
	return &tracedPeers{Peers: metered, tracer: d.Tracer}
}

// newLocal returns the part of the chain that runs at the daemon that serves the
// request, which is the owner for a keyed service.
func newLocal(d Deps) Handler {
	x := &executor{
		self:         d.Self,
		callerAddr:   d.CallerAddr,
		leases:       d.Leases,
		backend:      Chain(HandlerFunc(d.Backend.Execute), Recover(d.Log)),
		capabilities: d.Capabilities,
		clock:        d.Clock,
		idempotency:  d.Idempotency,
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
