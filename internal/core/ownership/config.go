// Package ownership folds the records of the control stream into the ownership
// table: the members, their lease groups and the group that owns each slice. The
// caller passes every record with its offset to a State, which accepts or
// ignores the record and reports the Outcome. Readers get immutable Tables. The
// fold is deterministic: processes that have folded the same prefix of the stream
// have the same State.Digest. A State can be encoded as a snapshot and restored,
// so that a process need not read the stream from its start.
package ownership

import (
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// ConfigState folds configuration changes and determines which configuration is
// in force.
type ConfigState interface {
	// Apply folds a change and reports whether it took effect.
	Apply(config.SignedChange) bool
	// InForce returns the immutable configuration in force.
	InForce() ConfigView
	// Export encodes the state, so that a ConfigState that imports it continues
	// the fold in the same way.
	Export() ([]byte, error)
	// Import replaces the state with one that Export encoded.
	Import([]byte) error
}

// ConfigView is an immutable view of the configuration in force.
type ConfigView interface {
	// Service returns the service with the given name, if there is one.
	Service(ident.Service) (config.Service, bool)
	// Services returns all services sorted by name.
	Services() []config.Service
	// Digest returns a hash of everything that determines whether later changes
	// are accepted.
	Digest() [32]byte
}
