package config

import (
	"crypto/sha256"
	"maps"
	"sort"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// View is the configuration in force at one offset of the log. It is immutable
// and safe for concurrent use. The lists that its methods return are shared, and
// callers must not modify them.
type View struct {
	services   map[ident.Service]Service
	pools      map[ident.Pool]Pool
	document   Document // of all scopes, in canonical order
	versions   []ScopeVersion
	scopes     map[Scope]Document
	history    []HistoryEntry
	identities map[ident.Service]serviceIdentity
	revoked    map[string]bool
	digest     [sha256.Size]byte
}

// newView builds a view of the current state.
func (s *State) newView() *View {
	v := &View{
		services:   map[ident.Service]Service{},
		pools:      map[ident.Pool]Pool{},
		scopes:     map[Scope]Document{},
		history:    s.history,
		identities: maps.Clone(s.identities),
		revoked:    maps.Clone(s.revoked),
		digest:     s.digest(),
	}
	var all Document
	for _, scope := range s.sortedScopes() {
		state := s.scopes[scope]
		v.scopes[scope] = state.Document
		v.versions = append(v.versions, state.Version)
		all.Services = append(all.Services, state.Document.Services...)
		all.Pools = append(all.Pools, state.Document.Pools...)
		all.Shares = append(all.Shares, state.Document.Shares...)
		all.Keys = append(all.Keys, state.Document.Keys...)
	}
	if s.scopes[SharedScope] == nil {
		all.Keys = s.rootKeys
	}
	v.document = all.Canonical()
	for _, svc := range v.document.Services {
		v.services[svc.Name] = svc
	}
	for _, p := range v.document.Pools {
		v.pools[p.Name] = p
	}
	return v
}

// Service returns the service of the given name.
func (v *View) Service(name ident.Service) (Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (v *View) Services() []Service { return v.document.Services }

// Pools returns all pools, sorted by name.
func (v *View) Pools() []Pool { return v.document.Pools }

// Shares returns all shares, sorted by region and tenant.
func (v *View) Shares() []Share { return v.document.Shares }

// Keys returns the keys of all tenants, including revoked ones, sorted by name.
func (v *View) Keys() []Key { return v.document.Keys }

// Key returns the key of the given name unless it is revoked.
func (v *View) Key(name string) (Key, bool) { return findActiveKey(v.document.Keys, name) }

// Versions returns the versions of all scopes that have one, sorted by scope.
func (v *View) Versions() []ScopeVersion { return v.versions }

// Version returns the version of a scope, or zero if it has none.
func (v *View) Version(scope Scope) Version {
	sv, _ := v.ScopeVersion(scope)
	return sv.Version
}

// ScopeVersion returns the version of a scope with the data of the change that
// created it. It reports false if the scope has no version.
func (v *View) ScopeVersion(scope Scope) (ScopeVersion, bool) {
	i := sort.Search(len(v.versions), func(i int) bool { return v.versions[i].Scope >= scope })
	if i < len(v.versions) && v.versions[i].Scope == scope {
		return v.versions[i], true
	}
	return ScopeVersion{}, false
}

// History returns the most recent accepted changes, oldest first.
func (v *View) History() []HistoryEntry { return v.history }

// Document returns the document in force of a scope, or an empty document if the
// scope has none.
func (v *View) Document(scope Scope) Document { return v.scopes[scope] }

// Digest returns the SHA-256 of the whole configuration and its versions. Two
// daemons with the same digest have the same configuration in force.
func (v *View) Digest() [sha256.Size]byte { return v.digest }
