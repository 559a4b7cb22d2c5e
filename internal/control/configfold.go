package control

import (
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
)

// configFold adapts the configuration state to the ownership fold.
type configFold struct {
	roots []config.Key
	state *config.State
}

// NewConfigFold returns an empty configuration state that trusts the root keys.
func NewConfigFold(roots []config.Key) ownership.ConfigState {
	return &configFold{roots: roots, state: config.NewState(roots)}
}

// Apply folds a signed change and reports whether the change was accepted.
func (f *configFold) Apply(c config.SignedChange) bool {
	return f.state.Apply(c) == config.Accepted
}

// InForce returns the configuration in force. It is immutable.
func (f *configFold) InForce() ownership.ConfigView { return f.state.View() }

// Export encodes the state for a snapshot.
func (f *configFold) Export() ([]byte, error) { return f.state.Export() }

// Import replaces the state with an exported one. It leaves the state unchanged
// on error.
func (f *configFold) Import(data []byte) error {
	s, err := config.ImportState(f.roots, data)
	if err != nil {
		return err
	}
	f.state = s
	return nil
}

// ConfigInForce returns the configuration in force in an ownership table,
// including what planners read. It returns an empty configuration if the table
// has none.
func ConfigInForce(t *ownership.Table) *config.View {
	v, ok := t.Config().(*config.View)
	if !ok {
		return config.NewState(nil).View()
	}
	return v
}

// NewStateBuilder returns a StateBuilder whose states trust the root keys.
func NewStateBuilder(roots []config.Key) StateBuilder {
	return func(snapshot []byte) (*ownership.State, error) {
		fold := NewConfigFold(roots)
		if snapshot == nil {
			return ownership.NewState(fold), nil
		}
		return ownership.Restore(fold, snapshot)
	}
}
