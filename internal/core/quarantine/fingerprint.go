package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies equal requests without holding them. It is a cryptographic hash:
// nobody can make up a request with the fingerprint of another one.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request with the given parts. Their order and
// their boundaries count.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = h.Write(length[:]) // never fails
		_, _ = h.Write(p)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
