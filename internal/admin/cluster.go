// Package admin serves the administration API of a daemon over HTTP.
package admin

import (
	"context"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Cluster is what the API shows and changes. Its methods are safe for
// concurrent use.
type Cluster interface {
	// Self is the daemon that answers.
	Self() ident.Member
	// Ready returns why the daemon cannot serve callers now, or nil.
	Ready() error
	// InForce is the configuration in force here.
	InForce() *config.View
	// Members lists the daemons that the table shows, sorted by host.
	Members() []api.Member
	// Locate finds a key's owner as far as known here.
	Locate(service config.Service, key []byte) (api.Location, error)
	// RecordChange appends the change to the log, waits until it is folded here
	// and reports whether it came into force. An error of kind OutcomeUnknown
	// means that it still may.
	RecordChange(ctx context.Context, c config.SignedChange) (accepted bool, err error)
	// Drain starts the drain of a host's daemon and returns without waiting for
	// its end.
	Drain(ctx context.Context, h ident.Host) error
}
