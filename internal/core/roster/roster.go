// Package roster keeps what a daemon knows of the others: where they run, which
// backend server stands beside each, and whether they can be reached. The package
// is pure: instants are passed in.
package roster

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// State says what a backend server takes.
type State uint8

// The states of a backend server.
const (
	Absent   State = iota // none is known
	Ready                 // takes new work
	Draining              // finishes what it has
)

// Instance is one run of a backend server's process. A server that starts again is
// another life, also under the same name.
type Instance struct {
	ID        string `codec:"i"`
	StartedMS int64  `codec:"b"` // Unix milliseconds of its start; zero when it does not say
}

// Server is a backend server as the daemon beside it last heard of it.
type Server struct {
	Instance Instance      `codec:"l"`
	Service  ident.Service `codec:"s"`
	State    State         `codec:"t"`
	Slots    int           `codec:"n"`
	ColdMS   int64         `codec:"c"` // ms that it stays slow after its start, when told
}

// Entry is what a daemon tells of itself. A greater Seq of the same member
// replaces a smaller one.
type Entry struct {
	Member        ident.Member   `codec:"m"`
	Seq           uint64         `codec:"q"`
	Addr          string         `codec:"a"` // mesh address
	Location      ident.Location `codec:"p"`
	Server        Server         `codec:"s"`
	Leaving       bool           `codec:"v"` // stops soon and takes no new work
	Utilization   float64        `codec:"u"` // slots in use and waiting requests over slots
	Keys          int            `codec:"k"` // shard keys that its server holds
	ConfigVersion uint64         `codec:"c"` // version of the configuration in force there
}

// supersedeAfter is the silence of a process after which another of the same host
// replaces it, whatever their order: incarnations come from the time of day, which
// may have been set back between their starts. Several greetings of a process that
// is heard of fall within it.
const supersedeAfter = 5 * time.Second

// newerThan orders entries of one host: by process, then by sequence.
func (e Entry) newerThan(o Entry) bool {
	if e.Member.Incarnation != o.Member.Incarnation {
		return e.Member.Incarnation > o.Member.Incarnation
	}
	return e.Seq > o.Seq
}

// Peer is an entry with what this daemon observed of it.
type Peer struct {
	Entry
	LastHeard        ident.Instant // last sign of life
	ColdUntil        ident.Instant // its server is slow until then
	ReadySince       ident.Instant // its server takes work since then; zero: it does not
	LogCurrent       bool          // it reads the log service without delay, by its last pulse
	UnreachableSince ident.Instant // a call failed since the last sign of life; zero: none did
}

// supersededBy reports whether an entry is of another process that took the place
// of one that is not heard of any more. One that was never heard of was only found
// in the log service.
func (p *Peer) supersededBy(e Entry, now ident.Instant) bool {
	return e.Member != p.Member && (p.LastHeard == 0 || now.Sub(p.LastHeard) >= supersedeAfter)
}

// Roster is the set of known daemons. It is not safe for concurrent use.
type Roster struct {
	self  ident.Host
	peers map[ident.Host]*Peer
}

// New returns a roster that knows nobody.
func New(self ident.Host) *Roster { return &Roster{self: self, peers: make(map[ident.Host]*Peer)} }

// Merge takes in an entry and reports whether it says something new. An entry of
// an earlier process or sequence is ignored.
func (r *Roster) Merge(e Entry, now ident.Instant) bool {
	old := r.peers[e.Member.Host]
	if old != nil && !e.newerThan(old.Entry) && !old.supersededBy(e, now) {
		return false
	}
	p := &Peer{Entry: e, LastHeard: now}
	if e.Server.ColdMS > 0 {
		p.ColdUntil = now.Add(time.Duration(e.Server.ColdMS) * time.Millisecond)
	}
	if e.Server.State == Ready {
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

// AddListed takes in the address of a daemon that was found in the log service. It
// counts as not heard of until it speaks.
func (r *Roster) AddListed(e Entry) bool {
	old := r.peers[e.Member.Host]
	if old != nil && old.Member.Incarnation >= e.Member.Incarnation {
		return false
	}
	r.peers[e.Member.Host] = &Peer{Entry: e}
	return true
}

// MarkAlive notes a sign of life of a process.
func (r *Roster) MarkAlive(m ident.Member, now ident.Instant) {
	if p := r.peers[m.Host]; p != nil && p.Member == m {
		p.LastHeard = now
		p.UnreachableSince = 0
	}
}

// MarkUnreachable notes that a process could not be reached.
func (r *Roster) MarkUnreachable(m ident.Member, now ident.Instant) {
	if p := r.peers[m.Host]; p != nil && p.Member == m && p.UnreachableSince == 0 {
		p.UnreachableSince = now
	}
}

// Get returns what is known of a host.
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

// RemoveSilent forgets the daemons that have been silent since before an instant and
// returns them.
func (r *Roster) RemoveSilent(before ident.Instant) []ident.Host {
	var gone []ident.Host
	for h, p := range r.peers {
		if h != r.self && p.LastHeard > 0 && p.LastHeard.Before(before) {
			gone = append(gone, h)
			delete(r.peers, h)
		}
	}
	return gone
}

// SetConfigVersion notes the version of the configuration that a process has in force.
func (r *Roster) SetConfigVersion(m ident.Member, version uint64) {
	if p := r.peers[m.Host]; p != nil && p.Member == m {
		p.ConfigVersion = max(p.ConfigVersion, version)
	}
}

// SetLoad notes the load of the server beside a process, and whether the process
// reads the log service without delay.
func (r *Roster) SetLoad(m ident.Member, busy float64, current bool) {
	if p := r.peers[m.Host]; p != nil && p.Member == m {
		p.Utilization, p.LogCurrent = busy, current
	}
}
