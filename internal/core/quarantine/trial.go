package quarantine

import (
	"bytes"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// TrialHost returns the index of the host on which a suspected request runs that any of the
// hosts may run, -1 if there are none. Daemons that know the same hosts choose the same one
// (rendezvous hashing), so that its server is the only one that the request may end.
func TrialHost(f Fingerprint, hosts []ident.Host) int {
	best := -1
	var most Fingerprint
	for i, h := range hosts {
		if rank := FingerprintOf(f[:], []byte(h)); best < 0 || bytes.Compare(rank[:], most[:]) > 0 {
			best, most = i, rank
		}
	}
	return best
}
