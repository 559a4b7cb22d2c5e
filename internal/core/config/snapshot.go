package config

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"github.com/burdockfold/burdockfold/internal/codec"
)

// snapshot is the encoded form of a State. It includes the root keys while they
// are in force, but only so that the digest depends on them: a daemon that imports
// a snapshot uses the root keys of its own settings.
type snapshot struct {
	Scopes  []scopeState      `codec:"s"`
	Created []serviceIdentity `codec:"c"`
	Revoked [][]byte          `codec:"r"`
	Roots   []Key             `codec:"k"`
	History []HistoryEntry    `codec:"h"`
}

func (s *State) snapshot() snapshot {
	snap := snapshot{History: s.history}
	for _, scope := range s.sortedScopes() {
		snap.Scopes = append(snap.Scopes, *s.scopes[scope])
	}
	for _, id := range s.identities {
		snap.Created = append(snap.Created, id)
	}
	slices.SortFunc(snap.Created, func(a, b serviceIdentity) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	for key := range s.revoked {
		snap.Revoked = append(snap.Revoked, []byte(key))
	}
	slices.SortFunc(snap.Revoked, slices.Compare)
	if s.scopes[SharedScope] == nil {
		snap.Roots = s.rootKeys
	}
	return snap
}

// Export encodes the state for a snapshot. Equal states have equal encodings.
func (s *State) Export() ([]byte, error) {
	data, err := codec.Marshal(s.snapshot())
	if err != nil {
		return nil, fmt.Errorf("config: export: %w", err)
	}
	return data, nil
}

// digest returns the SHA-256 of the encoded state. It is zero if the state cannot
// be encoded, which its types rule out.
func (s *State) digest() [sha256.Size]byte {
	data, err := s.Export()
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(data)
}

// ImportState decodes a state that Export encoded. It checks that the content is
// well formed; the caller checks the digest of the snapshot. roots are the root
// keys of the daemon's own settings.
func ImportState(roots []Key, data []byte) (*State, error) {
	var snap snapshot
	if err := codec.Unmarshal(data, &snap); err != nil {
		return nil, fmt.Errorf("config: import: %w", err)
	}
	s := NewState(roots)
	for i := range snap.Scopes {
		state := snap.Scopes[i]
		scope := state.Version.Scope
		if s.scopes[scope] != nil {
			return nil, fmt.Errorf("config: import: scope %q appears twice in the snapshot", scope)
		}
		if state.Version.Version == 0 {
			return nil, fmt.Errorf("config: import: scope %q has version zero", scope)
		}
		if problems := CheckDocument(scope, state.Document); len(problems) > 0 {
			return nil, fmt.Errorf("config: import: invalid document: %s", problems[0])
		}
		state.Document = state.Document.Canonical()
		s.scopes[scope] = &state
	}
	if len(snap.History) > 0 {
		s.history = snap.History
	}
	for _, id := range snap.Created {
		s.identities[id.Name] = id
	}
	for _, key := range snap.Revoked {
		s.revoked[string(key)] = true
	}
	s.view = s.newView()
	return s, nil
}
