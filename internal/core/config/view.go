package config

import (
	"crypto/sha256"
	"maps"
	"sort"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// View is the configuration in force at one point of the log. It never
// changes and is safe for concurrent use. The lists it returns are shared and
// must not be altered.
type View struct {
	services map[ident.Service]Service
	pools    map[ident.Pool]Pool
	document Document // of all scopes, in canonical order
	versions []ScopeVersion
	scopes   map[Scope]Document
	history  []HistoryEntry
	created  map[ident.Service]identity
	revoked  map[string]bool
	digest   [sha256.Size]byte
}

func (s *State) newView() *View {
	v := &View{
		services: map[ident.Service]Service{},
		pools:    map[ident.Pool]Pool{},
		scopes:   map[Scope]Document{},
		history:  s.history,
		created:  maps.Clone(s.created),
		revoked:  maps.Clone(s.revoked),
		digest:   s.digest(),
	}
	var all Document
	for _, scope := range s.sortedScopes() {
		st := s.scopes[scope]
		v.scopes[scope] = st.Document
		v.versions = append(v.versions, st.Version)
		all.Services = append(all.Services, st.Document.Services...)
		all.Pools = append(all.Pools, st.Document.Pools...)
		all.Shares = append(all.Shares, st.Document.Shares...)
		all.Keys = append(all.Keys, st.Document.Keys...)
	}
	if s.scopes[SharedScope] == nil {
		all.Keys = s.roots
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

// Service returns the service of that name.
func (v *View) Service(name ident.Service) (Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (v *View) Services() []Service { return v.document.Services }

// Pools returns all pools, sorted by name.
func (v *View) Pools() []Pool { return v.document.Pools }

// Shares returns all shares, sorted by region, then tenant.
func (v *View) Shares() []Share { return v.document.Shares }

// Keys returns the tenants' keys, sorted by name, with the revoked ones.
func (v *View) Keys() []Key { return v.document.Keys }

// Key returns the key of that name unless it is revoked.
func (v *View) Key(name string) (Key, bool) { return keyInForce(v.document.Keys, name) }

// Versions returns the versions of the scopes that have one, sorted by scope.
func (v *View) Versions() []ScopeVersion { return v.versions }

// Version returns the version of a scope, zero if it has none.
func (v *View) Version(scope Scope) Version {
	sv, _ := v.ScopeVersion(scope)
	return sv.Version
}

// ScopeVersion returns the version of a scope with the change that made it.
func (v *View) ScopeVersion(scope Scope) (ScopeVersion, bool) {
	i := sort.Search(len(v.versions), func(i int) bool { return v.versions[i].Scope >= scope })
	if i < len(v.versions) && v.versions[i].Scope == scope {
		return v.versions[i], true
	}
	return ScopeVersion{}, false
}

// History returns the last accepted changes, oldest first.
func (v *View) History() []HistoryEntry { return v.history }

// Document returns the document in force of a scope.
func (v *View) Document(scope Scope) Document { return v.scopes[scope] }

// Digest returns a SHA-256 over the whole configuration and its versions. Two
// daemons with the same digest have the same configuration in force.
func (v *View) Digest() [sha256.Size]byte { return v.digest }
