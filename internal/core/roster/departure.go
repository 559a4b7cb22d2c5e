package roster

import (
	"slices"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// anyStartValidity is how long a departure counts whose instance's start is not known. It
// covers heartbeats that were held up. A later instance under the same id may state an earlier
// start, if the time of day was set back.
const anyStartValidity = time.Minute

// Departure says that an instance of a backend server has announced its end. It cannot be
// taken back: a process of the daemon beside the server that knows nothing of it has been
// started since.
type Departure struct {
	Instance Instance
	Since    ident.Instant // when the announcement was known; may precede the start of the clock

	// AnyStart says that the instance's start is not known: Instance.StartedMS is when the
	// announcement arrived, and the instance started no later.
	AnyStart bool
}

// Covers reports whether the departure is that of an instance.
func (d Departure) Covers(i Instance) bool {
	return i.ID != "" && (i == d.Instance || d.AnyStart && i.ID == d.Instance.ID && i.StartedMS <= d.Instance.StartedMS)
}

// Expired reports whether the departure no longer counts.
func (d Departure) Expired(now ident.Instant) bool {
	return d.AnyStart && now.Sub(d.Since) > anyStartValidity
}

// maxDepartures bounds the departures that are known of the servers on one host.
const maxDepartures = 4

// Departures are the last departures of servers on one host, the latest last. An instance may be
// heard of again after the departure of another one.
type Departures []Departure

// Of returns the departure of an instance, the earliest if there are several.
func (ds Departures) Of(i Instance, now ident.Instant) (found Departure, ok bool) {
	for _, d := range ds {
		if d.Covers(i) && !d.Expired(now) && (!ok || d.Since < found.Since) {
			found, ok = d, true
		}
	}
	return found, ok
}

// Record adds a departure. One that is known counts from the earlier of both instants on.
func (ds *Departures) Record(d Departure) {
	if d.Instance.ID == "" {
		return
	}
	for i, known := range *ds {
		if known.Instance == d.Instance && known.AnyStart == d.AnyStart {
			(*ds)[i].Since = min(known.Since, d.Since)
			return
		}
	}
	*ds = append(*ds, d)
	if extra := len(*ds) - maxDepartures; extra > 0 {
		*ds = slices.Clone((*ds)[extra:])
	}
}

// RecordDeparture records that a server on a host leaves.
func (r *Roster) RecordDeparture(h ident.Host, d Departure) {
	ds := r.departures[h]
	ds.Record(d)
	r.departures[h] = ds
	if p := r.peers[h]; p != nil && d.Covers(p.Server.Instance) {
		p.markLeaving()
	}
}

// Departures returns the known departures of servers on a host.
func (r *Roster) Departures(h ident.Host) Departures { return slices.Clone(r.departures[h]) }

// mergeDeparture makes an entry and the known departures agree.
func (r *Roster) mergeDeparture(p *Peer, now ident.Instant) {
	h := p.Member.Host
	if p.Server.State == Draining {
		r.RecordDeparture(h, Departure{Instance: p.Server.Instance, Since: now})
	}
	if _, leaves := r.departures[h].Of(p.Server.Instance, now); leaves {
		p.markLeaving()
	}
}

// markLeaving makes the server of an entry a draining one.
func (p *Peer) markLeaving() {
	if p.Server.State == Ready {
		p.Server.State, p.ReadySince = Draining, 0
	}
}
