package config_test

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

const tenantA, tenantB = ident.Tenant("siamsaw"), ident.Tenant("thiruvalla")

// privateKeys holds the fixed private keys of the tests by name.
var privateKeys = newPrivateKeys()

func newPrivateKeys() map[string]ed25519.PrivateKey {
	keys := map[string]ed25519.PrivateKey{}
	for i, name := range []string{"a1", "a2", "b1", "b2", "x"} {
		keys[name] = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{byte(i + 1)}, ed25519.SeedSize))
	}
	return keys
}

func publicKey(name string, tenant ident.Tenant, revoked bool) config.Key {
	return config.Key{Name: name, Tenant: tenant, PublicKey: privateKeys[name].Public().(ed25519.PublicKey), Revoked: revoked}
}

var rootKeys = []config.Key{publicKey("a1", tenantA, false), publicKey("b1", tenantB, false)}

func sign(t rapid.TB, c config.Change, names ...string) config.SignedChange {
	signed := config.SignedChange{Change: c}
	for _, name := range names {
		s, err := config.Sign(c, name, privateKeys[name])
		assert.NilError(t, err)
		signed.Signatures = append(signed.Signatures, s)
	}
	return signed
}

func keyedService(name string, tenant ident.Tenant, slices uint32) config.Service {
	return config.Service{
		Name: ident.Service(name), Tenant: tenant, Mode: config.Keyed, Pool: ident.Pool(name), Slices: slices,
		KeyFrom: config.KeyFromPath, Deadline: time.Second, MaxBody: 1024,
	}
}

func tenantDocument(tenant ident.Tenant, services ...config.Service) config.Document {
	d := config.Document{Services: services}
	for _, s := range services {
		d.Pools = append(d.Pools, config.Pool{Name: s.Pool, Tenant: tenant})
	}
	return d
}

// referenceModel is a simple model of config.State. It stores only the accepted
// changes and derives everything else from them on each call.
type referenceModel struct{ accepted []config.SignedChange }

// latest returns the version and the document in force of a scope.
func (m *referenceModel) latest(scope config.Scope) (version config.Version, doc config.Document) {
	for _, a := range m.accepted {
		if a.Change.Scope == scope {
			version, doc = version+1, a.Change.Document
		}
	}
	return version, doc
}

func (m *referenceModel) keys() []config.Key {
	if v, doc := m.latest(config.SharedScope); v > 0 {
		return doc.Keys
	}
	return rootKeys
}

// signedBy returns the tenants that signed the change, separated by spaces. It
// reports false if there is no signature or any signature is not valid.
func (m *referenceModel) signedBy(signed config.SignedChange) (string, bool) {
	var tenants []string
	for _, s := range signed.Signatures {
		valid := false
		for _, k := range m.keys() {
			if k.Name != s.KeyName || k.Revoked {
				continue
			}
			want, _ := config.Sign(signed.Change, k.Name, privateKeys[k.Name])
			if bytes.Equal(want.Bytes, s.Bytes) {
				valid = true
				tenants = append(tenants, string(k.Tenant))
			}
		}
		if !valid {
			return "", false
		}
	}
	return strings.Join(tenants, " "), len(tenants) > 0
}

func (m *referenceModel) apply(signed config.SignedChange) config.Outcome {
	c := signed.Change
	signers, ok := m.signedBy(signed)
	if !ok {
		return config.BadSignature
	}
	needed := []string{string(c.Scope)}
	if c.Scope == config.SharedScope {
		needed = nil
		for _, k := range m.keys() {
			if !k.Revoked {
				needed = append(needed, string(k.Tenant))
			}
		}
	}
	for _, tenant := range needed {
		if !strings.Contains(signers, tenant) {
			return config.NotAuthorized
		}
	}
	if version, _ := m.latest(c.Scope); version != c.Base {
		return config.Conflict
	}
	if !m.isValid(c) {
		return config.Invalid
	}
	m.accepted = append(m.accepted, signed)
	return config.Accepted
}

// valid knows the faults that draw makes.
func (m *referenceModel) isValid(c config.Change) bool {
	for _, s := range c.Document.Services {
		if string(s.Tenant) != string(c.Scope) || s.Slices&(s.Slices-1) != 0 || s.Slices == 0 {
			return false
		}
		for _, a := range m.accepted {
			for _, earlier := range a.Change.Document.Services {
				if earlier.Name == s.Name && (earlier.Slices != s.Slices || earlier.Tenant != s.Tenant) {
					return false
				}
			}
			if _, now := m.latest(a.Change.Scope); a.Change.Scope != c.Scope {
				for _, p := range now.Pools {
					if p.Name == s.Pool {
						return false
					}
				}
			}
		}
	}
	sum := 0.0
	for _, s := range c.Document.Shares {
		sum += s.Percent
	}
	hasKey := map[ident.Tenant]bool{}
	for _, k := range c.Document.Keys {
		for _, a := range m.accepted {
			for _, earlier := range a.Change.Document.Keys {
				if earlier.Revoked && earlier.Name == k.Name && !k.Revoked {
					return false
				}
			}
		}
		hasKey[k.Tenant] = hasKey[k.Tenant] || !k.Revoked
	}
	if c.Scope != config.SharedScope {
		return true
	}
	_, docA := m.latest(config.Scope(tenantA))
	_, docB := m.latest(config.Scope(tenantB))
	covered := (hasKey[tenantA] || len(docA.Services) == 0) && (hasKey[tenantB] || len(docB.Services) == 0)
	return sum == 100 && hasKey[tenantA] && hasKey[tenantB] && covered
}

// drawChange generates a signed change. Most of the changes are valid and most
// are based on the version in force.
func drawChange(t *rapid.T, current func(config.Scope) config.Version) config.SignedChange {
	scope := config.Scope(rapid.SampledFrom([]string{"siamsaw", "thiruvalla", "shared"}).Draw(t, "scope"))
	c := config.Change{Scope: scope, Author: rapid.SampledFrom([]string{"p1", "p2"}).Draw(t, "author")}
	c.Base = current(scope)
	if c.Base > 0 && rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		c.Base--
	}
	signers := []string{"a1", "b1", "a2", "b2", "x"}
	if scope == config.SharedScope {
		percent := rapid.SampledFrom([]float64{60, 60, 60, 59}).Draw(t, "percent")
		revoke := rapid.SampledFrom([]string{"", "", "a1", "b1"}).Draw(t, "revoke")
		c.Document.Shares = []config.Share{{Region: "r", Tenant: tenantB, Percent: percent}, {Region: "r", Tenant: tenantA, Percent: 40}}
		for _, name := range signers[:4] {
			tenant := map[byte]ident.Tenant{'a': tenantA, 'b': tenantB}[name[0]]
			c.Document.Keys = append(c.Document.Keys, publicKey(name, tenant, name == revoke))
		}
		pairs := [][]string{{"a1", "b1"}, {"a2", "b2"}, {"a2", "b1"}, {"a1"}, {"b2", "b1"}}
		return sign(t, c, rapid.SampledFrom(pairs).Draw(t, "pair")...)
	}
	tenant := ident.Tenant(rapid.SampledFrom([]string{string(scope), string(scope), "siamsaw"}).Draw(t, "tenant"))
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"s1", "s2", "s3"}), 0, 3, rapid.ID).Draw(t, "names")
	var services []config.Service
	for _, name := range names {
		services = append(services, keyedService(name, tenant, rapid.SampledFrom([]uint32{4, 4, 4, 8, 3}).Draw(t, "slices")))
	}
	c.Document = tenantDocument(tenant, services...)
	return sign(t, c, rapid.SampledFrom(signers).Draw(t, "signer"))
}

func TestApplyAgreesWithNaiveVersionUnderRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, model := config.NewState(rootKeys), &referenceModel{}
		var sent []config.SignedChange
		acceptedPerBase := map[string]int{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			signed := drawChange(t, state.View().Version)
			if len(sent) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
				signed = rapid.SampledFrom(sent).Draw(t, "earlier")
			}
			sent = append(sent, signed)
			before := state.View().Versions()
			got, want := state.Apply(signed), model.apply(signed)
			assert.Equal(t, got, want, "%+v", signed.Change)
			for _, v := range before {
				assert.Assert(t, state.View().Version(v.Scope) >= v.Version)
			}
			if got == config.Accepted {
				acceptedPerBase[fmt.Sprint(signed.Change.Scope, signed.Change.Base)]++
				assert.Equal(t, state.View().Version(signed.Change.Scope), signed.Change.Base+1)
				assert.DeepEqual(t, state.View().Document(signed.Change.Scope), signed.Change.Document.Canonical())
			}
			state = exportAndImport(t, state)
		}
		for base, n := range acceptedPerBase {
			assert.Equal(t, n, 1, "winners of %s", base)
		}
	})
}

// exportAndImport exports the state and imports it again, as a starting daemon
// does with a snapshot.
func exportAndImport(t rapid.TB, s *config.State) *config.State {
	data, err := s.Export()
	assert.NilError(t, err)
	again, err := config.ImportState(rootKeys, data)
	assert.NilError(t, err)
	assert.Equal(t, again.View().Digest(), s.View().Digest())
	return again
}

func TestLookupDoesNotAllocate(t *testing.T) {
	state := config.NewState(rootKeys)
	doc := tenantDocument(tenantA, keyedService("catalog", tenantA, 64))
	assert.Equal(t, state.Apply(sign(t, config.Change{Scope: "siamsaw", Document: doc}, "a1")), config.Accepted)
	view := state.View()
	allocs := testing.AllocsPerRun(100, func() {
		if _, ok := view.Service("catalog"); !ok {
			t.Fatal("no service")
		}
	})
	assert.Equal(t, allocs, 0.0)
}

func TestDiffNamesEachChange(t *testing.T) {
	old := tenantDocument(tenantA, keyedService("catalog", tenantA, 64), keyedService("gone", tenantA, 4))
	changed := keyedService("catalog", tenantA, 64)
	changed.Deadline = 1500 * time.Millisecond
	diffs := config.Diff(old, tenantDocument(tenantA, changed, keyedService("new", tenantA, 8)))
	var lines []string
	for _, d := range diffs {
		lines = append(lines, d.String())
	}
	assert.Equal(t, strings.Join(lines, "; "), "pool gone removed; pool new added; "+
		"service catalog: deadline changes from 1s to 1.5s; service gone removed; service new added")
}

func FuzzImportState(f *testing.F) {
	state := config.NewState(rootKeys)
	state.Apply(sign(f, config.Change{Scope: "siamsaw", Document: tenantDocument(tenantA, keyedService("c", tenantA, 4))}, "a1"))
	data, err := state.Export()
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := config.ImportState(rootKeys, data)
		if err == nil {
			exportAndImport(t, s)
		}
	})
}

func FuzzSignedChange(f *testing.F) {
	data, err := codec.Marshal(sign(f, config.Change{Scope: "siamsaw"}, "a1"))
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var signed config.SignedChange
		if codec.Unmarshal(data, &signed) == nil {
			config.NewState(rootKeys).Apply(signed)
		}
	})
}
