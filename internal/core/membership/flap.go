package membership

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// maxFlapDoublings limits how often the hold of a host that keeps restarting is
// doubled.
const maxFlapDoublings = 5

// hostRestarts is the recent restart history of one host.
type hostRestarts struct {
	incarnation ident.Incarnation
	restarts    int           // number of doublings of the current hold
	heldUntil   ident.Instant // end of the hold
}

// flapDamper excludes hosts from new witness and successor roles for some time
// after a restart of their daemon. The hold is doubled if a host restarts again
// before its last hold has been over for the base hold.
type flapDamper struct {
	hold      time.Duration // base hold
	hosts     map[ident.Host]hostRestarts
	lastFirst *ownership.MemberInfo // first element of the last observed list, which identifies it
}

// newFlapDamper returns a flap damper with the given base hold.
func newFlapDamper(hold time.Duration) flapDamper {
	return flapDamper{hold: hold, hosts: make(map[ident.Host]hostRestarts)}
}

// observe records the restarts that the list of present members shows. The list
// is immutable, so observe skips a list that it has seen last. It forgets hosts
// that have no member any more once their last hold has been over for the base
// hold.
func (d *flapDamper) observe(now ident.Instant, members []ownership.MemberInfo) {
	if len(members) == 0 || &members[0] == d.lastFirst {
		return
	}
	d.lastFirst = &members[0]
	present := make(map[ident.Host]struct{}, len(members))
	for i := range members {
		m := members[i].Member
		present[m.Host] = struct{}{}
		r, known := d.hosts[m.Host]
		if known && r.incarnation != m.Incarnation {
			r = r.afterRestart(now, d.hold)
		}
		r.incarnation = m.Incarnation
		d.hosts[m.Host] = r
	}
	for host, r := range d.hosts {
		if _, ok := present[host]; !ok && !now.Before(r.heldUntil.Add(d.hold)) {
			delete(d.hosts, host)
		}
	}
}

// afterRestart returns the history after another restart, with a new hold.
func (r hostRestarts) afterRestart(now ident.Instant, hold time.Duration) hostRestarts {
	if now.Before(r.heldUntil.Add(hold)) {
		r.restarts = min(r.restarts+1, maxFlapDoublings)
	} else {
		r.restarts = 0
	}
	r.heldUntil = now.Add(hold << r.restarts)
	return r
}

// isHeld reports whether the host of m is on hold.
func (d *flapDamper) isHeld(now ident.Instant, m ident.Member) bool {
	return now.Before(d.hosts[m.Host].heldUntil)
}
