package config

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Outcome is the result of folding a change.
type Outcome uint8

// The outcomes of a change. Only an accepted change alters the state.
const (
	Accepted      Outcome = iota
	Conflict              // Base is not the version in force
	BadSignature          // a signature is missing, wrong or made with an unknown or revoked key
	NotAuthorized         // the tenants that signed may not change the scope
	Invalid               // the author's name is too long or the document has problems
)

var outcomeNames = [...]string{"accepted", "conflict", "bad-signature", "no-right", "invalid"}

// String returns the stable name of the outcome.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome-%d", uint8(o))
	}
	return outcomeNames[o]
}

// ScopeVersion is the version of one scope, with the author, time and digest of
// the change that created the version.
type ScopeVersion struct {
	Scope   Scope             `codec:"s"`
	Version Version           `codec:"v"`
	Author  string            `codec:"a"`
	Time    int64             `codec:"t"` // Unix milliseconds, as given in the change
	Digest  [sha256.Size]byte `codec:"g"` // of the change
}

// HistoryEntry is an accepted change with the numbers of entries that it added
// and removed and of values that it changed.
type HistoryEntry struct {
	Version ScopeVersion `codec:"v"`
	Added   uint32       `codec:"a"`
	Changed uint32       `codec:"c"` // values
	Removed uint32       `codec:"r"`
}

// maxHistory is the maximum number of accepted changes in the history.
const maxHistory = 256

// scopeState is the version and the document in force of one scope.
type scopeState struct {
	Version  ScopeVersion `codec:"v"`
	Document Document     `codec:"d"`
}

// serviceIdentity contains the properties of a service that never change, even
// if the service is removed and created again: the record of slice assignments
// depends on them.
type serviceIdentity struct {
	Name   ident.Service `codec:"n"`
	Tenant ident.Tenant  `codec:"t"`
	Mode   Mode          `codec:"m"`
	Slices uint32        `codec:"s"`
}

// State folds changes into the configuration in force. It is not safe for
// concurrent use; the views that View returns are.
type State struct {
	rootKeys   []Key // in force until the first version of the shared scope
	scopes     map[Scope]*scopeState
	identities map[ident.Service]serviceIdentity // of every service that ever existed
	revoked    map[string]bool                   // public keys that must not be used again
	history    []HistoryEntry                    // oldest first
	view       *View
}

// NewState returns a state into which no change was folded. The root keys come
// from the daemon's settings and must be the same on all daemons.
func NewState(roots []Key) *State {
	s := &State{
		rootKeys:   Document{Keys: roots}.Canonical().Keys,
		scopes:     map[Scope]*scopeState{},
		identities: map[ident.Service]serviceIdentity{},
		revoked:    map[string]bool{},
	}
	s.view = s.newView()
	return s
}

// View returns the configuration in force.
func (s *State) View() *View { return s.view }

// Apply folds one change and returns its outcome. If several changes of a scope
// have the same base, at most the first valid one is accepted.
func (s *State) Apply(c SignedChange) Outcome {
	outcome := s.view.Evaluate(c)
	if outcome == Accepted {
		s.accept(c.Change)
	}
	return outcome
}

// accept makes the document of the change the one in force in its scope.
func (s *State) accept(c Change) {
	doc := c.Document.Canonical()
	version := ScopeVersion{Scope: c.Scope, Version: c.Base + 1, Author: c.Author, Time: c.Time, Digest: c.Digest()}
	s.recordHistory(version, Diff(s.view.Document(c.Scope), doc))
	s.scopes[c.Scope] = &scopeState{Version: version, Document: doc}
	for _, svc := range doc.Services {
		s.identities[svc.Name] = identityOf(svc)
	}
	for _, k := range doc.Keys {
		if k.Revoked {
			s.revoked[string(k.PublicKey)] = true
		}
	}
	s.view = s.newView()
}

func identityOf(s Service) serviceIdentity {
	return serviceIdentity{Name: s.Name, Tenant: s.Tenant, Mode: s.Mode, Slices: s.Slices}
}

// recordHistory appends an accepted change to the history. It copies the list,
// since earlier views share it.
func (s *State) recordHistory(v ScopeVersion, diffs []Difference) {
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
