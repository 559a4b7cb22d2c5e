package callerport

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"sync/atomic"
)

const (
	idPrefixLen = 8  // random bytes, drawn once per process
	maxIDLen    = 64 // maximum length in bytes of an id that a caller sends
)

// idSource generates correlation ids that are unique across processes.
type idSource struct {
	prefix  string
	counter *atomic.Uint64
}

func newIDSource() (idSource, error) {
	var b [idPrefixLen]byte
	if _, err := rand.Read(b[:]); err != nil {
		return idSource{}, fmt.Errorf("random source: %w", err)
	}
	return idSource{prefix: hex.EncodeToString(b[:]) + "-", counter: new(atomic.Uint64)}, nil
}

func (s idSource) next() string { return s.prefix + strconv.FormatUint(s.counter.Add(1), 36) }

// isValidID reports whether an id from a caller is safe to use in headers and logs.
func isValidID(id string) bool {
	if id == "" || len(id) > maxIDLen {
		return false
	}
	for i := range len(id) {
		if !isIDByte(id[i]) {
			return false
		}
	}
	return true
}

func isIDByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return b == '-' || b == '_' || b == '.'
}
