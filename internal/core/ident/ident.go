// Package ident defines the identifiers that all layers share: hosts, members,
// services, tenants, slices, epochs and instants of the local monotonic clock. It
// depends on no other package of the project. The codec tags of Member, Location and
// Slice are part of the wire and storage format.
package ident

import (
	"fmt"
	"math/bits"
	"time"
)

// Host is the stable name of a host, taken from its settings. A replacement host at
// the same address may reuse the name.
type Host string

// Incarnation distinguishes the successive daemon processes on one host. A later
// process has a greater incarnation.
type Incarnation uint64

// Region is a geographic region, such as "central".
type Region string

// FailureDomain is the name of a set of hosts that may fail together, such as
// "bkk-a".
type FailureDomain string

// Service is the name of a routed service.
type Service string

// Pool is the name of a set of backend servers that serve one service.
type Pool string

// Tenant is the name of the business that owns a service and pays for its traffic.
type Tenant string

// Member is one daemon process: a host and the incarnation of the process.
type Member struct {
	Host        Host        `codec:"h"`
	Incarnation Incarnation `codec:"i"`
}

// IsZero reports whether m is the zero value, which identifies no member.
func (m Member) IsZero() bool { return m == Member{} }

// Less orders members by host, then by incarnation.
func (m Member) Less(o Member) bool {
	if m.Host != o.Host {
		return m.Host < o.Host
	}
	return m.Incarnation < o.Incarnation
}

// String formats the member as host/incarnation.
func (m Member) String() string { return fmt.Sprintf("%s/%d", m.Host, m.Incarnation) }

// Location is the region and the failure domain of a host.
type Location struct {
	Region        Region        `codec:"r"`
	FailureDomain FailureDomain `codec:"d"`
}

// Slice is one part of the hash space of a keyed service. An index below the
// service's slice count is a hash range; a greater index is a single hot key.
type Slice struct {
	Service Service `codec:"s"`
	Index   uint32  `codec:"x"`
}

// Less orders slices by service, then by index.
func (s Slice) Less(o Slice) bool {
	if s.Service != o.Service {
		return s.Service < o.Service
	}
	return s.Index < o.Index
}

// String formats the slice as service#index.
func (s Slice) String() string { return fmt.Sprintf("%s#%d", s.Service, s.Index) }

// KeyHash is the 64-bit hash of a request key.
type KeyHash uint64

// Offset is a position in a stream of the log service. Its upper bits are the era of the
// log, which rises each time the log comes back from a copy and gives out the numbers of
// lost records again: the offsets of a later era are greater than all before it.
type Offset uint64

// eraShift is the number of bits of an Offset that hold the number of a record. The rest
// leaves room for eras in the 53 bits of an integer in JSON.
const eraShift = 32

// OffsetIn returns the offset of the record with a number, counted from the beginning of
// the stream, in an era of the log.
func OffsetIn(era, number uint64) Offset { return Offset(era<<eraShift | number) }

// Era returns the era of the log that the offset belongs to.
func (o Offset) Era() uint64 { return uint64(o) >> eraShift }

// Number returns the number of the record, counted from the beginning of the stream.
func (o Offset) Number() uint64 { return uint64(o) & (1<<eraShift - 1) }

// Term is the number of a leader's term. Records that a leader wrote in an older term
// have no effect.
type Term uint64

// Assignment is the number of recorded assignments of one slice so far.
type Assignment uint32

// Claim is the number of claims on one lease group so far. The first holder has claim
// 1.
type Claim uint32

// Epoch is the fencing token of a slice. Epochs are ordered by assignment, then by
// claim on the lease group, so that a server which refuses smaller epochs refuses
// every former owner.
type Epoch uint64

// NewEpoch combines an assignment and a claim.
func NewEpoch(a Assignment, c Claim) Epoch { return Epoch(a)<<32 | Epoch(c) }

// Assignment returns the assignment part of the epoch.
func (e Epoch) Assignment() Assignment { return Assignment(e >> 32) }

// Claim returns the claim part of the epoch.
func (e Epoch) Claim() Claim { return Claim(uint32(e)) }

// String formats the epoch as assignment.claim.
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Assignment(), e.Claim()) }

// Instant is a reading of the local monotonic clock in nanoseconds since an arbitrary
// origin. Instants of different processes are not comparable.
type Instant int64

// Add returns the instant that is d later than i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Before reports whether i is earlier than o.
func (i Instant) Before(o Instant) bool { return i < o }

// Clock reads the local monotonic clock.
type Clock interface {
	Now() Instant
}

// RangeIndex returns the index of the hash range that contains h, where the hash space
// is divided into count ranges of equal size. The count must be a power of two; the
// index is the top bits of h.
func (h KeyHash) RangeIndex(count uint32) uint32 {
	const hashBits = 64
	return uint32(uint64(h) >> (hashBits - bits.TrailingZeros32(count)))
}
