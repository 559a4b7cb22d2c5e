package config

import "github.com/burdockfold/burdockfold/internal/core/ident"

// Evaluate returns the outcome that folding the change into this configuration
// would have.
func (v *View) Evaluate(c SignedChange) Outcome {
	keys := v.Keys()
	signed, ok := verifySigners(c, keys)
	switch {
	case !ok:
		return BadSignature
	case !isAuthorized(c.Change.Scope, signed, keys):
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

// Check returns every problem that prevents the document from replacing the
// scope's document in force.
func (v *View) Check(scope Scope, d Document) []Problem {
	c := checker{problems: CheckDocument(scope, d)}
	if scope == SharedScope {
		v.checkKeysInForce(&c, d.Keys)
		return c.problems
	}
	v.checkPoolNames(&c, scope, d.Pools)
	v.checkServiceIdentities(&c, d.Services)
	return c.problems
}

// checkKeysInForce checks that no revoked key is used again and that each tenant
// with services keeps a key.
func (v *View) checkKeysInForce(c *checker, keys []Key) {
	for i, k := range keys {
		if !k.Revoked && v.revoked[string(k.PublicKey)] {
			c.addProblem(KindKey, i, k.Name, "public_key", "was revoked and cannot be in force again")
		}
	}
	tenants := tenantsWithActiveKey(keys)
	for _, version := range v.versions {
		scope := version.Scope
		if scope != SharedScope && !tenants[ident.Tenant(scope)] && len(v.scopes[scope].Services) > 0 {
			c.addProblem(KindDocument, 0, string(SharedScope), "tenant", "%s has services but no key", scope)
		}
	}
}

// checkPoolNames checks that no other tenant has a pool of the same name.
func (v *View) checkPoolNames(c *checker, scope Scope, pools []Pool) {
	for i, p := range pools {
		other, ok := v.pools[p.Name]
		if ok && Scope(other.Tenant) != scope {
			c.addProblem(KindPool, i, string(p.Name), "name", "is a pool of %s", other.Tenant)
		}
	}
}

// checkServiceIdentities checks that the tenant, mode and slices of a service are
// those with which it was created.
func (v *View) checkServiceIdentities(c *checker, services []Service) {
	for i, svc := range services {
		created, ok := v.identities[svc.Name]
		if !ok {
			continue
		}
		name := string(svc.Name)
		if svc.Tenant != created.Tenant {
			c.addProblem(KindService, i, name, "tenant", "the service is of %s for good", created.Tenant)
		}
		if svc.Mode != created.Mode {
			c.addProblem(KindService, i, name, "mode", "is %s for good", created.Mode)
		}
		if svc.Slices != created.Slices {
			c.addProblem(KindService, i, name, "slices", "is %d for good", created.Slices)
		}
	}
}
