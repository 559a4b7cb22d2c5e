// Package roster records what a daemon knows about the daemons of a deployment:
// where they run, which backend server stands beside each, and whether they are
// reachable. The input is the entries that daemons send, the addresses that the
// log service lists, and the outcomes of calls; the output is one Peer per host. A
// newer process or sequence number of a host replaces an older one. The package
// performs no I/O: callers pass instants in.
package roster

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// State says whether a backend server accepts requests.
type State uint8

// The states of a backend server.
const (
	Absent   State = iota // no server is known
	Ready                 // accepts new requests
	Draining              // finishes its running requests and accepts no new ones
)

// Instance is one run of a backend server's process. A restarted server is another
// instance, even under the same name.
type Instance struct {
	ID        string `codec:"i"`
	StartedMS int64  `codec:"b"` // Unix time of its start in milliseconds; zero if the server does not report it
}

// Server is a backend server as it last reported to the daemon beside it.
type Server struct {
	Instance Instance      `codec:"l"`
	Service  ident.Service `codec:"s"`
	State    State         `codec:"t"`
	Slots    int           `codec:"n"`
	Limit    float64       `codec:"r"` // requests per second that it accepts from all hosts together; zero if it states no limit
	ColdMS   int64         `codec:"c"` // milliseconds that it stays slow after its start; zero if it does not report them
}

// Entry is what a daemon publishes about itself. An entry with a greater Seq
// replaces an earlier one of the same member.
type Entry struct {
	Member        ident.Member   `codec:"m"`
	Seq           uint64         `codec:"q"`
	Addr          string         `codec:"a"` // mesh address
	Location      ident.Location `codec:"p"`
	Server        Server         `codec:"s"`
	Leaving       bool           `codec:"v"` // stops soon and accepts no new requests
	Utilization   float64        `codec:"u"` // (slots in use + waiting requests) / slots
	Keys          int            `codec:"k"` // number of shard keys that its server holds
	ConfigVersion uint64         `codec:"c"` // version of the configuration in force at the daemon
}

// supersedeAfter is the silence of a process after which another process of the
// same host replaces it, regardless of their incarnations. Incarnations come from
// the time of day, which may have been set back between the two starts. A live
// process sends several greetings within this time.
const supersedeAfter = 5 * time.Second

// newerThan orders entries of one host, first by incarnation and then by sequence
// number.
func (e Entry) newerThan(o Entry) bool {
	if e.Member.Incarnation != o.Member.Incarnation {
		return e.Member.Incarnation > o.Member.Incarnation
	}
	return e.Seq > o.Seq
}

// Peer is an entry with this daemon's observations of the peer.
type Peer struct {
	Entry
	LastHeard        ident.Instant // last sign of life; zero if the peer is only listed in the log service
	ColdUntil        ident.Instant // until when its server is slow after a start
	ReadySince       ident.Instant // since when its server accepts requests; zero if it does not
	LogCurrent       bool          // whether it reads the log service without delay, by its last peer heartbeat
	UnreachableSince ident.Instant // first failed call since the last sign of life; zero if none failed
}

// supersededBy reports whether an entry comes from another process that replaces
// this one because this one is silent. A peer that never sent a sign of life is
// only listed in the log service and is replaced at once.
func (p *Peer) supersededBy(e Entry, now ident.Instant) bool {
	return e.Member != p.Member && (p.LastHeard == 0 || now.Sub(p.LastHeard) >= supersedeAfter)
}

// Roster is the set of known daemons. It is not safe for concurrent use.
type Roster struct {
	self       ident.Host
	peers      map[ident.Host]*Peer
	departures map[ident.Host]Departures
}

// New returns an empty roster of the daemon on the host self.
func New(self ident.Host) *Roster {
	return &Roster{self: self, peers: make(map[ident.Host]*Peer), departures: make(map[ident.Host]Departures)}
}

// Merge adds or replaces an entry and reports whether it was new. It ignores an
// entry of an earlier process or with an earlier sequence number, unless
// supersededBy applies. A server that is known to leave stays a draining one, whatever
// a later entry says.
func (r *Roster) Merge(e Entry, now ident.Instant) bool {
	old := r.peers[e.Member.Host]
	if old != nil && !e.newerThan(old.Entry) && !old.supersededBy(e, now) {
		return false
	}
	p := &Peer{Entry: e, LastHeard: now}
	r.mergeDeparture(p, now)
	if e.Server.ColdMS > 0 {
		p.ColdUntil = now.Add(time.Duration(e.Server.ColdMS) * time.Millisecond)
	}
	if p.Server.State == Ready {
		p.ReadySince = now
		if old != nil && old.Server.Instance == e.Server.Instance && old.ReadySince > 0 {
			p.ReadySince = old.ReadySince
		}
	}
	if old != nil && old.Member == e.Member {
		p.LogCurrent = old.LogCurrent
	}
	r.peers[e.Member.Host] = p
	return true
}

// AddListed adds a daemon that is listed in the log service and reports whether it
// was new. The daemon counts as never heard of until it sends a sign of life.
func (r *Roster) AddListed(e Entry) bool {
	old := r.peers[e.Member.Host]
	if old != nil && old.Member.Incarnation >= e.Member.Incarnation {
		return false
	}
	r.peers[e.Member.Host] = &Peer{Entry: e}
	return true
}

// MarkAlive records a sign of life of a process.
func (r *Roster) MarkAlive(m ident.Member, now ident.Instant) {
	if p := r.peers[m.Host]; p != nil && p.Member == m {
		p.LastHeard = now
		p.UnreachableSince = 0
	}
}

// MarkAliveAt records a sign of life of a process at an instant that may have passed.
func (r *Roster) MarkAliveAt(m ident.Member, at ident.Instant) {
	if p := r.peers[m.Host]; p != nil && p.Member == m && at > p.LastHeard {
		p.LastHeard = at
		p.UnreachableSince = 0
	}
}

// MarkUnreachable records that a call to a process failed.
func (r *Roster) MarkUnreachable(m ident.Member, now ident.Instant) {
	if p := r.peers[m.Host]; p != nil && p.Member == m && p.UnreachableSince == 0 {
		p.UnreachableSince = now
	}
}

// Get returns the peer on a host.
func (r *Roster) Get(h ident.Host) (Peer, bool) {
	p, ok := r.peers[h]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Each calls f for every known daemon.
func (r *Roster) Each(f func(*Peer)) {
	for _, p := range r.peers {
		f(p)
	}
}

// Len returns the number of known daemons.
func (r *Roster) Len() int { return len(r.peers) }

// RemoveSilent removes the daemons whose last sign of life was earlier than an
// instant, and returns their hosts. It keeps this daemon and daemons that are only
// listed.
func (r *Roster) RemoveSilent(before ident.Instant) []ident.Host {
	var gone []ident.Host
	for h, p := range r.peers {
		if h != r.self && p.LastHeard > 0 && p.LastHeard.Before(before) {
			gone = append(gone, h)
			delete(r.peers, h)
			delete(r.departures, h)
		}
	}
	return gone
}

// SetConfigVersion records the version of the configuration in force at a process.
// The version never decreases.
func (r *Roster) SetConfigVersion(m ident.Member, version uint64) {
	if p := r.peers[m.Host]; p != nil && p.Member == m {
		p.ConfigVersion = max(p.ConfigVersion, version)
	}
}

// SetLoad records the utilization of the server beside a process, and whether the
// process reads the log service without delay.
func (r *Roster) SetLoad(m ident.Member, busy float64, current bool) {
	if p := r.peers[m.Host]; p != nil && p.Member == m {
		p.Utilization, p.LogCurrent = busy, current
	}
}
