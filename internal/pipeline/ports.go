package pipeline

import (
	"context"
	"errors"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Catalog finds services by name in the current configuration.
type Catalog interface {
	Service(name ident.Service) (config.Service, bool)
}

// Target is a daemon that may be able to serve a request.
type Target struct {
	Member ident.Member
	Addr   string // mesh address
	Local  bool   // the target is this daemon
}

// Route is the result of locating a key or a pool: the targets in order of
// preference. For a keyed service the first target is the last known owner, and
// the others are successors that may have taken the keys over since.
type Route struct {
	Slice   ident.Slice
	Targets []Target
}

// Locator finds the daemons that may serve a request.
type Locator interface {
	LocateKey(s config.Service, h ident.KeyHash) (Route, error)
	// LocatePool returns the daemons of all backend servers of the pool that take
	// new work, in order of preference, without those excluded.
	LocatePool(s config.Service, exclude []ident.Member) (Route, error)
}

// Peers forwards a request to another daemon and returns the daemon's answer. An
// error of kind PeerUnreachable, or one that wraps ErrNotSent, means that no byte
// was sent to the peer.
type Peers interface {
	Forward(ctx context.Context, to Target, r *Request) (*Response, error)
}

// ErrNotSent is wrapped by an error of Forward when no byte was sent to the peer.
var ErrNotSent = errors.New("pipeline: not sent")

// Lease is the right to dispatch one request to the backend server.
type Lease struct {
	Epoch ident.Epoch
	Until ident.Instant // no dispatch after this instant
}

// Leases reports whether this daemon owns a slice now. The executor checks the
// lease again right before each dispatch, since the process may have been paused
// in between.
type Leases interface {
	// Hold registers a request in flight on the slice and returns the lease. The
	// filter calls the release function when the request has ended. While a takeover
	// or a handoff of the slice to this daemon is in progress, Hold waits for it, at
	// most until ctx ends.
	Hold(ctx context.Context, s ident.Slice) (Lease, func(), error)
	// Check returns an error unless the lease still covers the instant.
	Check(s ident.Slice, l Lease, at ident.Instant) error
}

// Backend executes a request on the backend server beside this daemon.
type Backend interface {
	// Execute sends the request to the backend server. The execution status of an
	// error is not-run only if no byte reached the server or the server itself
	// reported that it did not run the request.
	Execute(ctx context.Context, r *Request) (*Response, error)
}

// Admission decides when a request may start on the backend server.
type Admission interface {
	// Acquire waits for a slot within the request's deadline. The caller passes the
	// service time to the release function, or zero when the request did not reach
	// the backend server.
	Acquire(ctx context.Context, r *Request) (release func(served time.Duration), err error)
}

// Meter receives the usage that this daemon counts.
type Meter interface {
	Record(u Usage)
}

// Usage is the usage of one request, counted where it entered from a caller or at
// one end of a hop between daemons, or the usage of one run of the request.
type Usage struct {
	Service    ident.Service
	Tenant     ident.Tenant
	Origin     Origin
	Run        bool // counts one run; another Usage counts the request itself
	Executed   bool // this daemon's backend server ran the request
	Forwarded  bool
	Peer       ident.Member // the daemon at the other end, if the request crossed the mesh
	PeerRegion ident.Region
	Refused    bool
	SlotTime   time.Duration
	BytesIn    int64
	BytesOut   int64
}
