package config

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"github.com/burdockfold/burdockfold/internal/codec"
)

// signingContext is a prefix of the signed bytes. It prevents a signature of a
// change from being valid for anything else that the same key signs.
const signingContext = "burdockfold change v1\n"

// signingBytes returns the bytes that a signature of the change covers: the
// canonical CBOR of the change with its document in canonical order.
func signingBytes(c Change) ([]byte, error) {
	c.Document = c.Document.Canonical()
	data, err := codec.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return append([]byte(signingContext), data...), nil
}

// Sign signs the change with a tenant's private key. keyName is the name under
// which the configuration lists the matching public key.
func Sign(c Change, keyName string, key ed25519.PrivateKey) (Signature, error) {
	data, err := signingBytes(c)
	if err != nil {
		return Signature{}, err
	}
	return Signature{KeyName: keyName, Bytes: ed25519.Sign(key, data)}, nil
}

// Digest returns the SHA-256 of the signed bytes of the change. It is zero if the
// change cannot be encoded; such a change has no valid signature.
func (c Change) Digest() [sha256.Size]byte {
	data, err := signingBytes(c)
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(data)
}

// Canonical returns a copy of the document with sorted lists: shares by region
// and tenant, the others by name. Empty lists are nil.
func (d Document) Canonical() Document {
	return Document{
		Services: sortedCopy(d.Services, func(a, b Service) int { return strings.Compare(string(a.Name), string(b.Name)) }),
		Pools:    sortedCopy(d.Pools, func(a, b Pool) int { return strings.Compare(string(a.Name), string(b.Name)) }),
		Shares:   sortedCopy(d.Shares, compareShares),
		Keys:     sortedCopy(d.Keys, func(a, b Key) int { return strings.Compare(a.Name, b.Name) }),
	}
}

func compareShares(a, b Share) int {
	if c := strings.Compare(string(a.Region), string(b.Region)); c != 0 {
		return c
	}
	return strings.Compare(string(a.Tenant), string(b.Tenant))
}

func sortedCopy[T any](list []T, compare func(a, b T) int) []T {
	if len(list) == 0 {
		return nil
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, compare)
	return list
}
