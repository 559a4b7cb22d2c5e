package burdockfold

import (
	"math/rand/v2"
	"sync"
	"time"
)

// suspicionDuration is how long a client avoids a daemon that did not answer.
const suspicionDuration = 3 * time.Second

// daemonSet selects among the configured daemons of a client and avoids those
// that recently did not answer.
type daemonSet struct {
	addrs []string

	mu             sync.RWMutex         // guards suspectedUntil
	suspectedUntil map[string]time.Time // by address
}

func newDaemonSet(addrs []string) *daemonSet {
	return &daemonSet{addrs: addrs, suspectedUntil: map[string]time.Time{}}
}

// markSuspect makes the client avoid the daemon at addr for suspicionDuration.
func (s *daemonSet) markSuspect(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspectedUntil[addr] = time.Now().Add(suspicionDuration)
}

// trusted reports whether the daemon at addr is not under suspicion.
func (s *daemonSet) trusted(addr string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	until, ok := s.suspectedUntil[addr]
	return !ok || time.Now().After(until)
}

// pick returns the address of a random trusted daemon, or of any random daemon
// if none is trusted.
func (s *daemonSet) pick() string {
	first := rand.IntN(len(s.addrs))
	for i := range s.addrs {
		addr := s.addrs[(first+i)%len(s.addrs)]
		if s.trusted(addr) {
			return addr
		}
	}
	return s.addrs[first]
}
