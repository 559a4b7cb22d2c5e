package control

import (
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// configFold is the configuration as part of the ownership fold.
type configFold struct {
	roots []config.Key
	state *config.State
}

// NewConfigFold returns an empty configuration that trusts the root keys.
func NewConfigFold(roots []config.Key) ownership.ConfigState {
	return &configFold{roots: roots, state: config.NewState(roots)}
}

// Apply folds a change and reports whether it was accepted.
func (f *configFold) Apply(c config.SignedChange) bool {
	return f.state.Apply(c) == config.Accepted
}

// InForce returns the immutable configuration in force.
func (f *configFold) InForce() ownership.ConfigView { return f.state.View() }

// Export encodes the state for a snapshot.
func (f *configFold) Export() ([]byte, error) { return f.state.Export() }

// Import replaces the state by an exported one.
func (f *configFold) Import(data []byte) error {
	s, err := config.ImportState(f.roots, data)
	if err != nil {
		return err
	}
	f.state = s
	return nil
}

// ConfigInForce returns the configuration of a table with everything that planners
// see.
func ConfigInForce(t *ownership.Table) *config.View {
	v, ok := t.Config().(*config.View)
	if !ok {
		return config.NewState(nil).View()
	}
	return v
}

// NewStateBuilder returns the function that builds states which trust the root keys.
func NewStateBuilder(roots []config.Key) StateBuilder {
	return func(snapshot []byte) (*ownership.State, error) {
		fold := NewConfigFold(roots)
		if snapshot == nil {
			return ownership.NewState(fold), nil
		}
		return ownership.Restore(fold, snapshot)
	}
}
