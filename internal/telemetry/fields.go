package telemetry

import (
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// The names of log fields. Spans and metrics use the same names for their
// attributes.
const (
	MemberKey        = "member"
	PeerKey          = "peer"
	HostKey          = "host"
	RegionKey        = "region"
	FailureDomainKey = "failure_domain"
	ServiceKey       = "service"
	PoolKey          = "pool"
	TenantKey        = "tenant"
	SliceKey         = "slice"
	EpochKey         = "epoch"
	TermKey          = "term"
	OffsetKey        = "offset"
	RequestIDKey     = "request_id"
	ErrorKindKey     = "error_kind"
	TruthKey         = "truth"
	ScopeKey         = "scope"
	VersionKey       = "version"
	AuthorKey        = "author"
	AddrKey          = "addr"
)

// Member returns the log field for the daemon that an event is about.
func Member(m ident.Member) zap.Field { return zap.Stringer(MemberKey, m) }

// Peer returns the log field for the remote daemon of an exchange.
func Peer(m ident.Member) zap.Field { return zap.Stringer(PeerKey, m) }

// Host returns the log field for a host.
func Host(h ident.Host) zap.Field { return zap.String(HostKey, string(h)) }

// Region returns the log field for a region.
func Region(r ident.Region) zap.Field { return zap.String(RegionKey, string(r)) }

// FailureDomain returns the log field for a failure domain.
func FailureDomain(d ident.FailureDomain) zap.Field { return zap.String(FailureDomainKey, string(d)) }

// Service returns the log field for a service.
func Service(s ident.Service) zap.Field { return zap.String(ServiceKey, string(s)) }

// Pool returns the log field for a pool of backend servers.
func Pool(p ident.Pool) zap.Field { return zap.String(PoolKey, string(p)) }

// Tenant returns the log field for a tenant.
func Tenant(t ident.Tenant) zap.Field { return zap.String(TenantKey, string(t)) }

// Slice returns the log field for a slice.
func Slice(s ident.Slice) zap.Field { return zap.Stringer(SliceKey, s) }

// Epoch returns the log field for a fencing token.
func Epoch(e ident.Epoch) zap.Field { return zap.Stringer(EpochKey, e) }

// Term returns the log field for the term of a leader.
func Term(t ident.Term) zap.Field { return zap.Uint64(TermKey, uint64(t)) }

// Offset returns the log field for an offset in a stream.
func Offset(o ident.Offset) zap.Field { return zap.Uint64(OffsetKey, uint64(o)) }

// RequestID returns the log field for the correlation id of a request.
func RequestID(id string) zap.Field { return zap.String(RequestIDKey, id) }

// Scope returns the log field for a configuration scope.
func Scope(s config.Scope) zap.Field { return zap.String(ScopeKey, string(s)) }

// Version returns the log field for a version of a configuration scope.
func Version(v config.Version) zap.Field { return zap.Uint64(VersionKey, uint64(v)) }

// Author returns the log field for the author of a configuration change.
func Author(a string) zap.Field { return zap.String(AuthorKey, a) }

// Addr returns the log field for a network address.
func Addr(a string) zap.Field { return zap.String(AddrKey, a) }

// ErrorKind returns the log field for the error kind of err, as returned by errkind.Of.
func ErrorKind(err error) zap.Field { return zap.Stringer(ErrorKindKey, errkind.Of(err)) }

// Truth returns the log field for the execution status of a request.
func Truth(t errkind.Truth) zap.Field { return zap.String(TruthKey, string(t)) }
