// Package relay decides which daemons pass roster entries and signs of life on. With few
// daemons, each speaks to all others. With many, that would cost messages and connections
// that grow with the square of their number: then a daemon speaks to its failure domain,
// and a few relays of each failure domain exchange its entries with the relays of the
// others. The package performs no I/O.
package relay

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

const (
	// FullMeshLimit is the number of daemons up to which each speaks to all others.
	FullMeshLimit = 32
	// relaysPerDomain is the number of relays of a failure domain. They work at the same
	// time, so that the loss of one delays nothing.
	relaysPerDomain = 2
	// monitorCount is the number of daemons that receive the heartbeats of a service.
	monitorCount = 5
)

// Daemon is a daemon as another one sees it.
type Daemon struct {
	Host      ident.Host
	Location  ident.Location
	Reachable bool // it has sent a sign of life, no call to it failed since, and it does not leave
}

// Relays returns the relays of each failure domain, sorted by host: the reachable daemons
// with the lowest host names.
func Relays(ds []Daemon) map[ident.Location][]ident.Host {
	out := make(map[ident.Location][]ident.Host)
	for _, d := range ds {
		if !d.Reachable {
			continue
		}
		hosts := append(out[d.Location], d.Host)
		slices.Sort(hosts)
		out[d.Location] = hosts[:min(len(hosts), relaysPerDomain)]
	}
	return out
}

// IsRelay reports whether a host is one of the relays of its failure domain.
func IsRelay(relays map[ident.Location][]ident.Host, h ident.Host, l ident.Location) bool {
	return slices.Contains(relays[l], h)
}

// Monitors returns the hosts that receive the heartbeats of a service before its table
// names witnesses. Daemons that know almost the same hosts choose almost the same ones.
func Monitors(hosts []ident.Host) []ident.Host {
	type ranked struct {
		host ident.Host
		rank uint32
	}
	rs := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		f := fnv.New32a()
		_, _ = f.Write([]byte(h)) // never fails
		rs = append(rs, ranked{h, f.Sum32()})
	}
	slices.SortFunc(rs, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.host, b.host)) })
	out := make([]ident.Host, 0, monitorCount)
	for _, r := range rs[:min(len(rs), monitorCount)] {
		out = append(out, r.host)
	}
	return out
}
