package config

import (
	"crypto/ed25519"
	"fmt"
	"math"
	"math/bits"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// The bounds of a document's values.
const (
	MaxSlices    = 1 << 16
	MinDeadline  = time.Millisecond
	MaxDeadline  = 24 * time.Hour
	MaxBodyLimit = 1 << 32 // bytes
	MaxNameLen   = 64      // bytes, also of an author
	MaxItems     = 100_000 // services, pools, shares and keys of one document
)

// shareTolerance absorbs the rounding of percentages by spreadsheets.
const shareTolerance = 0.01

// EntryKind is a kind of entry of a document.
type EntryKind string

// The things of a document.
const (
	KindDocument EntryKind = "document"
	KindService  EntryKind = "service"
	KindPool     EntryKind = "pool"
	KindShare    EntryKind = "share"
	KindKey      EntryKind = "key"
)

// Problem is one reason why a document is not valid.
type Problem struct {
	Kind  EntryKind
	Index int    // in the document's list of that thing
	Name  string // of the thing; of a share its region
	Field string // as in the sheet's columns, may be empty
	Text  string
}

// String formats the fault as "service catalog: slices: must be ...".
func (f Problem) String() string {
	text := f.Text
	if f.Field != "" {
		text = f.Field + ": " + text
	}
	return fmt.Sprintf("%s %s: %s", f.Kind, f.Name, text)
}

// checker gathers the faults of one document.
type checker struct{ faults []Problem }

func (c *checker) add(thing EntryKind, index int, name, field, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.faults = append(c.faults, Problem{Kind: thing, Index: index, Name: name, Field: field, Text: text})
}

// CheckDocument returns every fault of a document by itself, without regard to
// what is in force.
func CheckDocument(scope Scope, d Document) []Problem {
	var c checker
	c.scope(scope, d)
	if scope == SharedScope {
		c.keys(d.Keys)
		c.shares(d.Shares, d.Keys)
		return c.faults
	}
	pools := c.pools(scope, d.Pools)
	c.services(scope, d.Services, pools)
	return c.faults
}

func (c *checker) scope(scope Scope, d Document) {
	if !validName(string(scope)) {
		c.add(KindDocument, 0, string(scope), "tenant", "is not a valid name")
	}
	items := len(d.Services) + len(d.Pools) + len(d.Shares) + len(d.Keys)
	if items > MaxItems {
		c.add(KindDocument, 0, string(scope), "", "has %d entries, at most %d are allowed", items, MaxItems)
	}
	if scope == SharedScope && len(d.Services)+len(d.Pools) > 0 {
		c.add(KindDocument, 0, string(scope), "", "must not have services or pools")
	}
	if scope != SharedScope && len(d.Shares)+len(d.Keys) > 0 {
		c.add(KindDocument, 0, string(scope), "", "must not have shares or keys")
	}
}

// validName accepts any script but no character that would need quoting in a
// path, a log line or a sheet.
func validName(name string) bool {
	if name == "" || len(name) > MaxNameLen || !utf8.ValidString(name) {
		return false
	}
	for _, r := range name {
		if r <= ' ' || r == 0x7f || strings.ContainsRune(`/\"'=,;#?%`, r) {
			return false
		}
	}
	return true
}

func (c *checker) pools(scope Scope, pools []Pool) map[ident.Pool]bool {
	seen := map[ident.Pool]bool{}
	for i, p := range pools {
		name := string(p.Name)
		if !validName(name) {
			c.add(KindPool, i, name, "name", "is not a valid name")
		}
		if p.Tenant != ident.Tenant(scope) {
			c.add(KindPool, i, name, "tenant", "must be %s", scope)
		}
		if seen[p.Name] {
			c.add(KindPool, i, name, "name", "appears twice")
		}
		seen[p.Name] = true
	}
	return seen
}

func (c *checker) services(scope Scope, services []Service, pools map[ident.Pool]bool) {
	seen := map[ident.Service]bool{}
	serves := map[ident.Pool]ident.Service{}
	for i, s := range services {
		if seen[s.Name] {
			c.add(KindService, i, string(s.Name), "name", "appears twice")
		}
		seen[s.Name] = true
		c.service(scope, i, s)
		other, taken := serves[s.Pool]
		switch {
		case !pools[s.Pool]:
			c.add(KindService, i, string(s.Name), "pool", "%q is not a pool of %s", s.Pool, scope)
		case taken && other != s.Name:
			c.add(KindService, i, string(s.Name), "pool", "%q already serves %s", s.Pool, other)
		}
		serves[s.Pool] = s.Name
	}
}

func (c *checker) service(scope Scope, i int, s Service) {
	name := string(s.Name)
	if !validName(name) {
		c.add(KindService, i, name, "name", "is not a valid name")
	}
	if s.Tenant != ident.Tenant(scope) {
		c.add(KindService, i, name, "tenant", "must be %s", scope)
	}
	if s.Deadline < MinDeadline || s.Deadline > MaxDeadline {
		c.add(KindService, i, name, "deadline_ms", "must be from %s to %s", MinDeadline, MaxDeadline)
	}
	if s.MaxBody < 1 || s.MaxBody > MaxBodyLimit {
		c.add(KindService, i, name, "max_body_kb", "must be from 1 to %d bytes", int64(MaxBodyLimit))
	}
	switch s.Mode {
	case Keyed:
		c.keyedService(i, s)
	case Pooled:
		c.pooledService(i, s)
	default:
		c.add(KindService, i, name, "mode", "must be keyed or pooled")
	}
}

func (c *checker) keyedService(i int, s Service) {
	if bits.OnesCount32(s.Slices) != 1 || s.Slices > MaxSlices {
		c.add(KindService, i, string(s.Name), "slices", "must be a power of two from 1 to %d", MaxSlices)
	}
	if s.KeyFrom != KeyFromPath && s.KeyFrom != KeyFromHeader {
		c.add(KindService, i, string(s.Name), "key_from", "must be path or header")
	}
}

func (c *checker) pooledService(i int, s Service) {
	if s.Slices != 0 {
		c.add(KindService, i, string(s.Name), "slices", "must be empty for a pooled service")
	}
	if s.KeyFrom != "" {
		c.add(KindService, i, string(s.Name), "key_from", "must be empty for a pooled service")
	}
}

func (c *checker) keys(keys []Key) {
	names := map[string]bool{}
	public := map[string]string{}
	usable := 0
	for i, k := range keys {
		if !validName(k.Name) {
			c.add(KindKey, i, k.Name, "name", "is not a valid name")
		}
		if !validName(string(k.Tenant)) || Scope(k.Tenant) == SharedScope {
			c.add(KindKey, i, k.Name, "tenant", "is not a valid name of a tenant")
		}
		if len(k.PublicKey) != ed25519.PublicKeySize {
			c.add(KindKey, i, k.Name, "public_key", "must be an Ed25519 public key")
		}
		if names[k.Name] {
			c.add(KindKey, i, k.Name, "name", "appears twice")
		}
		if other, ok := public[string(k.PublicKey)]; ok {
			c.add(KindKey, i, k.Name, "public_key", "is the same as that of %s", other)
		}
		names[k.Name] = true
		public[string(k.PublicKey)] = k.Name
		if !k.Revoked {
			usable++
		}
	}
	if usable == 0 {
		c.add(KindDocument, 0, string(SharedScope), "", "must have a key that is not revoked")
	}
}

func (c *checker) shares(shares []Share, keys []Key) {
	tenants := tenantsWithKey(keys)
	seen := map[Share]bool{}
	sums := map[ident.Region]float64{}
	last := map[ident.Region]int{}
	for i, s := range shares {
		region := string(s.Region)
		if !validName(region) {
			c.add(KindShare, i, region, "region", "is not a valid name")
		}
		if !tenants[s.Tenant] {
			c.add(KindShare, i, region, "tenant", "%q has no key in the document", s.Tenant)
		}
		if !(s.Percent >= 0 && s.Percent <= 100) {
			c.add(KindShare, i, region, "percent", "must be from 0 to 100")
		}
		entry := Share{Region: s.Region, Tenant: s.Tenant}
		if seen[entry] {
			c.add(KindShare, i, region, "tenant", "%q appears twice in the region", s.Tenant)
		}
		seen[entry] = true
		sums[s.Region] += s.Percent
		last[s.Region] = i
	}
	for i, s := range shares {
		sum := sums[s.Region]
		if last[s.Region] == i && !(math.Abs(sum-100) <= shareTolerance) {
			c.add(KindShare, i, string(s.Region), "percent", "the shares of the region sum to %g, not 100", sum)
		}
	}
}

// tenantsWithKey returns the tenants that have a key which is not revoked.
func tenantsWithKey(keys []Key) map[ident.Tenant]bool {
	tenants := map[ident.Tenant]bool{}
	for _, k := range keys {
		if !k.Revoked {
			tenants[k.Tenant] = true
		}
	}
	return tenants
}
