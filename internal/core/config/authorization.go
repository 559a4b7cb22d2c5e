package config

import (
	"crypto/ed25519"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// maxSignatures is the maximum number of signatures of one change.
const maxSignatures = 16

// verifySigners returns the tenants whose keys signed the change. It reports
// false if there are no or too many signatures, or if any signature is wrong or
// made with a key that is unknown or revoked.
func verifySigners(sc SignedChange, keys []Key) (map[ident.Tenant]bool, bool) {
	if len(sc.Signatures) == 0 || len(sc.Signatures) > maxSignatures {
		return nil, false
	}
	data, err := signingBytes(sc.Change)
	if err != nil {
		return nil, false
	}
	tenants := map[ident.Tenant]bool{}
	for _, s := range sc.Signatures {
		key, ok := findActiveKey(keys, s.KeyName)
		if !ok || !ed25519.Verify(key.PublicKey, data, s.Bytes) {
			return nil, false
		}
		tenants[key.Tenant] = true
	}
	return tenants, true
}

// findActiveKey returns the key of the given name unless it is revoked or has the
// wrong size.
func findActiveKey(keys []Key, name string) (Key, bool) {
	for _, k := range keys {
		if k.Name == name && !k.Revoked && len(k.PublicKey) == ed25519.PublicKeySize {
			return k, true
		}
	}
	return Key{}, false
}

// isAuthorized reports whether the tenants that signed a change may change the
// scope. A tenant's own scope needs that tenant; the shared scope needs every
// tenant that has an active key.
func isAuthorized(scope Scope, signed map[ident.Tenant]bool, keys []Key) bool {
	if scope != SharedScope {
		return signed[ident.Tenant(scope)]
	}
	for _, k := range keys {
		if !k.Revoked && !signed[k.Tenant] {
			return false
		}
	}
	return true
}
