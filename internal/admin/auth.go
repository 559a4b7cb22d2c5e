package admin

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

const (
	// maxClockSkew bounds the difference between the clocks of a client and of
	// the daemon, and so the time for which nonces are kept.
	maxClockSkew = 60 * time.Second
	// maxNonces bounds the memory of accepted requests.
	maxNonces = 4096
)

// authenticate returns the tenant key that signed the request. Each proof is
// accepted once.
func (s *Server) authenticate(p api.Proof, method, path string) (config.Key, error) {
	now := s.deps.Now()
	key, ok := s.deps.Cluster.InForce().Key(p.KeyName)
	if !ok {
		return key, errkind.New(errkind.Unauthorized, "key %q is not in force", p.KeyName)
	}
	if !p.Verify(method, path, key.PublicKey) {
		return key, errkind.New(errkind.Unauthorized, "the signature is not that of key %q", p.KeyName)
	}
	if skew := now.Sub(time.UnixMilli(p.TimeMS)).Abs(); skew > maxClockSkew {
		return key, errkind.New(errkind.Unauthorized, "the request's time differs by %s from the daemon's", skew)
	}
	switch s.nonces.add(p.NonceKey(), now) {
	case nonceSeen:
		return key, errkind.New(errkind.Unauthorized, "the request was already accepted once")
	case nonceFull:
		return key, errkind.New(errkind.RateLimited, "more than %d signed requests in %s", maxNonces, 2*maxClockSkew)
	}
	return key, nil
}

// nonceResult says what became of a nonce.
type nonceResult uint8

const (
	nonceNew nonceResult = iota
	nonceSeen
	nonceFull
)

// nonceStore remembers the nonces of accepted requests for as long as their
// time is acceptable.
type nonceStore struct {
	mu   sync.Mutex // guards seen
	seen map[[sha256.Size]byte]time.Time
}

func newNonceStore() *nonceStore {
	return &nonceStore{seen: map[[sha256.Size]byte]time.Time{}}
}

func (n *nonceStore) add(key [sha256.Size]byte, now time.Time) nonceResult {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.seen[key]; ok {
		return nonceSeen
	}
	if len(n.seen) >= maxNonces {
		n.expire(now)
	}
	if len(n.seen) >= maxNonces {
		return nonceFull
	}
	n.seen[key] = now
	return nonceNew
}

// expire forgets the nonces whose requests are too old to be accepted again.
func (n *nonceStore) expire(now time.Time) {
	for key, at := range n.seen {
		if now.Sub(at) > 2*maxClockSkew {
			delete(n.seen, key)
		}
	}
}
