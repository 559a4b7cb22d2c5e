package config

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Outcome is the result of folding a change.
type Outcome uint8

// The outcomes of a change. Only an accepted one alters the state.
const (
	Accepted      Outcome = iota
	Conflict              // Base is not the version in force
	BadSignature          // a signature is missing, wrong or by a key not in force
	NotAuthorized         // the signing tenants may not change the scope
	Invalid               // the document has faults
)

var outcomeNames = [...]string{"accepted", "conflict", "bad-signature", "no-right", "invalid"}

// String returns the stable name of the outcome.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome-%d", uint8(o))
	}
	return outcomeNames[o]
}

// ScopeVersion is the version of one scope with the change that made it.
type ScopeVersion struct {
	Scope   Scope             `codec:"s"`
	Version Version           `codec:"v"`
	Author  string            `codec:"a"`
	Time    int64             `codec:"t"` // Unix milliseconds, as the author said
	Digest  [sha256.Size]byte `codec:"g"` // of the change
}

// HistoryEntry is an accepted change with the number of things it changed.
type HistoryEntry struct {
	Version ScopeVersion `codec:"v"`
	Added   uint32       `codec:"a"`
	Changed uint32       `codec:"c"` // values
	Removed uint32       `codec:"r"`
}

// maxHistory bounds the accepted changes that the state remembers.
const maxHistory = 256

// scopeState is what is in force in one scope.
type scopeState struct {
	Version  ScopeVersion `codec:"v"`
	Document Document     `codec:"d"`
}

// identity is what never changes about a service, even after its removal: the
// record of slice assignments depends on it.
type identity struct {
	Name   ident.Service `codec:"n"`
	Tenant ident.Tenant  `codec:"t"`
	Mode   Mode          `codec:"m"`
	Slices uint32        `codec:"s"`
}

// State folds changes into the configuration in force. It is not safe for
// concurrent use; the views that InForce returns are.
type State struct {
	roots   []Key // in force until the first version of the shared scope
	scopes  map[Scope]*scopeState
	created map[ident.Service]identity
	revoked map[string]bool // public keys that are never in force again
	history []HistoryEntry  // oldest first
	view    *View
}

// NewState returns a state without any change. The root keys come from the
// settings and must be the same on all daemons.
func NewState(roots []Key) *State {
	s := &State{
		roots:   Document{Keys: roots}.Canonical().Keys,
		scopes:  map[Scope]*scopeState{},
		created: map[ident.Service]identity{},
		revoked: map[string]bool{},
	}
	s.view = s.newView()
	return s
}

// View returns the configuration in force.
func (s *State) View() *View { return s.view }

// Apply folds one change. Of several changes with the same base the first that
// is applied wins.
func (s *State) Apply(c SignedChange) Outcome {
	outcome := s.view.Evaluate(c)
	if outcome == Accepted {
		s.accept(c.Change)
	}
	return outcome
}

func (s *State) accept(c Change) {
	doc := c.Document.Canonical()
	version := ScopeVersion{Scope: c.Scope, Version: c.Base + 1, Author: c.Author, Time: c.Time, Digest: c.Digest()}
	s.remember(version, Diff(s.view.Document(c.Scope), doc))
	s.scopes[c.Scope] = &scopeState{Version: version, Document: doc}
	for _, svc := range doc.Services {
		s.created[svc.Name] = identityOf(svc)
	}
	for _, k := range doc.Keys {
		if k.Revoked {
			s.revoked[string(k.PublicKey)] = true
		}
	}
	s.view = s.newView()
}

func identityOf(s Service) identity {
	return identity{Name: s.Name, Tenant: s.Tenant, Mode: s.Mode, Slices: s.Slices}
}

func (s *State) remember(v ScopeVersion, diffs []Difference) {
	e := HistoryEntry{Version: v}
	for _, d := range diffs {
		switch d.Operation {
		case Added:
			e.Added++
		case Removed:
			e.Removed++
		default:
			e.Changed++
		}
	}
	s.history = append(slices.Clone(s.history), e)
	if extra := len(s.history) - maxHistory; extra > 0 {
		s.history = s.history[extra:]
	}
}

func (s *State) sortedScopes() []Scope {
	scopes := make([]Scope, 0, len(s.scopes))
	for scope := range s.scopes {
		scopes = append(scopes, scope)
	}
	slices.Sort(scopes)
	return scopes
}
