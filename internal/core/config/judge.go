package config

import "github.com/burdockfold/burdockfold/internal/core/ident"

// Evaluate returns the outcome that the change would have if it were folded now.
func (v *View) Evaluate(c SignedChange) Outcome {
	keys := v.Keys()
	signed, ok := signers(c, keys)
	switch {
	case !ok:
		return BadSignature
	case !hasRight(c.Change.Scope, signed, keys):
		return NotAuthorized
	case c.Change.Base != v.Version(c.Change.Scope):
		return Conflict
	case len(c.Change.Author) > MaxNameLen:
		return Invalid
	case len(v.Check(c.Change.Scope, c.Change.Document)) > 0:
		return Invalid
	}
	return Accepted
}

// Check returns every fault of a document that would replace the scope's.
func (v *View) Check(scope Scope, d Document) []Problem {
	c := checker{faults: CheckDocument(scope, d)}
	if scope == SharedScope {
		v.checkKeys(&c, d.Keys)
		return c.faults
	}
	v.checkPools(&c, scope, d.Pools)
	v.checkServices(&c, d.Services)
	return c.faults
}

func (v *View) checkKeys(c *checker, keys []Key) {
	for i, k := range keys {
		if !k.Revoked && v.revoked[string(k.PublicKey)] {
			c.add(KindKey, i, k.Name, "public_key", "was revoked and cannot be in force again")
		}
	}
	tenants := tenantsWithKey(keys)
	for _, version := range v.versions {
		scope := version.Scope
		if scope != SharedScope && !tenants[ident.Tenant(scope)] && len(v.scopes[scope].Services) > 0 {
			c.add(KindDocument, 0, string(SharedScope), "tenant", "%s has services but no key", scope)
		}
	}
}

func (v *View) checkPools(c *checker, scope Scope, pools []Pool) {
	for i, p := range pools {
		other, ok := v.pools[p.Name]
		if ok && Scope(other.Tenant) != scope {
			c.add(KindPool, i, string(p.Name), "name", "is a pool of %s", other.Tenant)
		}
	}
}

func (v *View) checkServices(c *checker, services []Service) {
	for i, svc := range services {
		was, ok := v.created[svc.Name]
		if !ok {
			continue
		}
		name := string(svc.Name)
		if svc.Tenant != was.Tenant {
			c.add(KindService, i, name, "tenant", "the service is of %s for good", was.Tenant)
		}
		if svc.Mode != was.Mode {
			c.add(KindService, i, name, "mode", "is %s for good", was.Mode)
		}
		if svc.Slices != was.Slices {
			c.add(KindService, i, name, "slices", "is %d for good", was.Slices)
		}
	}
}
