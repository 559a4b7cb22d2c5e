package backend

import (
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// AnnouncementTTL is the time after which an announcement expires without renewal.
const AnnouncementTTL = 3 * time.Second

// RenewInterval is the interval at which a backend server renews its announcement.
const RenewInterval = 1 * time.Second

// Registration is the last announcement of the backend server beside the daemon.
type Registration struct {
	Announcement   Announcement
	FirstAnnounced ident.Instant // instant of the first announcement of this instance
	ExpiresAt      ident.Instant // the registration is valid up to and including this instant
}

// Registry holds the registration of the backend server beside the daemon. It is
// safe for concurrent use.
type Registry struct {
	clock   ident.Clock
	changed chan struct{} // buffers one signal; further signals are dropped

	mu         sync.RWMutex // guards reg and registered
	reg        Registration
	registered bool // a server has announced itself and not withdrawn; it may have expired
}

// NewRegistry returns an empty registry.
func NewRegistry(clock ident.Clock) *Registry {
	return &Registry{clock: clock, changed: make(chan struct{}, 1)}
}

// Announce stores a new or renewed announcement.
func (r *Registry) Announce(a Announcement) {
	now := r.clock.Now()
	r.mu.Lock()
	old, wasRegistered := r.reg, r.registered
	since := now
	if wasRegistered && old.Announcement.Instance == a.Instance {
		since = old.FirstAnnounced
	}
	r.reg = Registration{Announcement: a, FirstAnnounced: since, ExpiresAt: now.Add(AnnouncementTTL)}
	r.registered = true
	r.mu.Unlock()
	if !wasRegistered || old.ExpiresAt.Before(now) || differsBeyondLoad(old.Announcement, a) {
		r.signal()
	}
}

// differsBeyondLoad reports whether two announcements differ in more than the load
// hint.
func differsBeyondLoad(a, b Announcement) bool {
	a.SlotsInUse = b.SlotsInUse
	return a != b
}

// Withdraw removes the registration.
func (r *Registry) Withdraw() {
	r.mu.Lock()
	r.registered = false
	r.mu.Unlock()
	r.signal()
}

// Current returns the registration, and false if there is none or it has expired.
func (r *Registry) Current() (Registration, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.registered || r.reg.ExpiresAt.Before(r.clock.Now()) {
		return Registration{}, false
	}
	return r.reg, true
}

// Changed returns a channel that receives a signal after the registration changes.
// Several changes may share one signal. The expiry of a registration and a change
// of the load hint alone are not signaled.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

func (r *Registry) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}
