package backend

import (
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// AnnouncementTTL is how long an announcement holds without renewal.
const AnnouncementTTL = 3 * time.Second

// RenewInterval is how often a backend server renews its announcement.
const RenewInterval = 1 * time.Second

// Registration is the backend server beside the daemon as last announced.
type Registration struct {
	Announcement   Announcement
	FirstAnnounced ident.Instant // first announcement of this instance
	ExpiresAt      ident.Instant // end of the hold time
}

// Registry holds the registration of the one backend server. It is safe for
// concurrent use.
type Registry struct {
	clock   ident.Clock
	changed chan struct{} // holds one pending signal; further ones add nothing

	mu  sync.RWMutex // guards reg and has
	reg Registration
	has bool
}

// NewRegistry returns an empty registry.
func NewRegistry(clock ident.Clock) *Registry {
	return &Registry{clock: clock, changed: make(chan struct{}, 1)}
}

// Announce stores an announcement or renews it.
func (r *Registry) Announce(a Announcement) {
	now := r.clock.Now()
	r.mu.Lock()
	old, had := r.reg, r.has
	since := now
	if had && old.Announcement.Instance == a.Instance {
		since = old.FirstAnnounced
	}
	r.reg = Registration{Announcement: a, FirstAnnounced: since, ExpiresAt: now.Add(AnnouncementTTL)}
	r.has = true
	r.mu.Unlock()
	if !had || old.ExpiresAt.Before(now) || significant(old.Announcement, a) {
		r.signal()
	}
}

// significant reports whether more than the load hint differs.
func significant(a, b Announcement) bool {
	a.SlotsInUse = b.SlotsInUse
	return a != b
}

// Withdraw removes the registration.
func (r *Registry) Withdraw() {
	r.mu.Lock()
	r.has = false
	r.mu.Unlock()
	r.signal()
}

// Current returns the registration while it holds.
func (r *Registry) Current() (Registration, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.has || r.reg.ExpiresAt.Before(r.clock.Now()) {
		return Registration{}, false
	}
	return r.reg, true
}

// Changed delivers a signal after a change; several changes may share one.
// Expiry is not signaled.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

func (r *Registry) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}
