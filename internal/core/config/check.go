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

// The limits for the values of a document.
const (
	MaxSlices    = 1 << 16
	MinDeadline  = time.Millisecond
	MaxDeadline  = 24 * time.Hour
	MaxBodyLimit = 1 << 32 // bytes
	MaxNameLen   = 64      // bytes, of names and of the author of a change
	MaxItems     = 100_000 // services, pools, shares and keys of one document together
)

// percentTolerance is the accepted deviation of a sum of percentages from 100.
// Spreadsheets round percentages.
const percentTolerance = 0.01

// EntryKind is the kind of an entry of a document.
type EntryKind string

// The kinds of entries. KindDocument stands for the document as a whole.
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
	Index int    // in the document's list of that kind
	Name  string // of the entry; for a share, its region
	Field string // column name of the sheet; may be empty
	Text  string
}

// String formats the problem as "service catalog: slices: must be ...".
func (p Problem) String() string {
	text := p.Text
	if p.Field != "" {
		text = p.Field + ": " + text
	}
	return fmt.Sprintf("%s %s: %s", p.Kind, p.Name, text)
}

// checker collects the problems of one document.
type checker struct{ problems []Problem }

func (c *checker) addProblem(kind EntryKind, index int, name, field, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.problems = append(c.problems, Problem{Kind: kind, Index: index, Name: name, Field: field, Text: text})
}

// CheckDocument returns every problem of a document that can be found without
// the configuration in force. See View.Check for the complete check.
func CheckDocument(scope Scope, d Document) []Problem {
	var c checker
	c.checkScope(scope, d)
	if scope == SharedScope {
		c.checkKeys(d.Keys)
		c.checkShares(d.Shares, d.Keys)
		return c.problems
	}
	pools := c.checkPools(scope, d.Pools)
	c.checkServices(scope, d.Services, pools)
	return c.problems
}

func (c *checker) checkScope(scope Scope, d Document) {
	if !validName(string(scope)) {
		c.addProblem(KindDocument, 0, string(scope), "tenant", "is not a valid name")
	}
	items := len(d.Services) + len(d.Pools) + len(d.Shares) + len(d.Keys)
	if items > MaxItems {
		c.addProblem(KindDocument, 0, string(scope), "", "has %d entries, at most %d are allowed", items, MaxItems)
	}
	if scope == SharedScope && len(d.Services)+len(d.Pools) > 0 {
		c.addProblem(KindDocument, 0, string(scope), "", "must not have services or pools")
	}
	if scope != SharedScope && len(d.Shares)+len(d.Keys) > 0 {
		c.addProblem(KindDocument, 0, string(scope), "", "must not have shares or keys")
	}
}

// validName reports whether name is neither empty nor too long, and contains no
// control character, space or other character that would need quoting in a path, a
// log line or a sheet. Letters of any script are valid.
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

// checkPools checks the pools and returns the set of their names.
func (c *checker) checkPools(scope Scope, pools []Pool) map[ident.Pool]bool {
	seen := map[ident.Pool]bool{}
	for i, p := range pools {
		name := string(p.Name)
		if !validName(name) {
			c.addProblem(KindPool, i, name, "name", "is not a valid name")
		}
		if p.Tenant != ident.Tenant(scope) {
			c.addProblem(KindPool, i, name, "tenant", "must be %s", scope)
		}
		if seen[p.Name] {
			c.addProblem(KindPool, i, name, "name", "appears twice")
		}
		seen[p.Name] = true
	}
	return seen
}

func (c *checker) checkServices(scope Scope, services []Service, pools map[ident.Pool]bool) {
	seen := map[ident.Service]bool{}
	serviceOf := map[ident.Pool]ident.Service{}
	for i, s := range services {
		if seen[s.Name] {
			c.addProblem(KindService, i, string(s.Name), "name", "appears twice")
		}
		seen[s.Name] = true
		c.checkService(scope, i, s)
		other, inUse := serviceOf[s.Pool]
		switch {
		case !pools[s.Pool]:
			c.addProblem(KindService, i, string(s.Name), "pool", "%q is not a pool of %s", s.Pool, scope)
		case inUse && other != s.Name:
			c.addProblem(KindService, i, string(s.Name), "pool", "%q already serves %s", s.Pool, other)
		}
		serviceOf[s.Pool] = s.Name
	}
}

func (c *checker) checkService(scope Scope, i int, s Service) {
	name := string(s.Name)
	if !validName(name) {
		c.addProblem(KindService, i, name, "name", "is not a valid name")
	}
	if s.Tenant != ident.Tenant(scope) {
		c.addProblem(KindService, i, name, "tenant", "must be %s", scope)
	}
	if s.Deadline < MinDeadline || s.Deadline > MaxDeadline {
		c.addProblem(KindService, i, name, "deadline_ms", "must be from %s to %s", MinDeadline, MaxDeadline)
	}
	if s.MaxBody < 1 || s.MaxBody > MaxBodyLimit {
		c.addProblem(KindService, i, name, "max_body_kb", "must be from 1 to %d bytes", int64(MaxBodyLimit))
	}
	switch s.Mode {
	case Keyed:
		c.checkKeyedService(i, s)
	case Pooled:
		c.checkPooledService(i, s)
	default:
		c.addProblem(KindService, i, name, "mode", "must be keyed or pooled")
	}
}

func (c *checker) checkKeyedService(i int, s Service) {
	if bits.OnesCount32(s.Slices) != 1 || s.Slices > MaxSlices {
		c.addProblem(KindService, i, string(s.Name), "slices", "must be a power of two from 1 to %d", MaxSlices)
	}
	if s.KeyFrom != KeyFromPath && s.KeyFrom != KeyFromHeader {
		c.addProblem(KindService, i, string(s.Name), "key_from", "must be path or header")
	}
}

func (c *checker) checkPooledService(i int, s Service) {
	if s.Slices != 0 {
		c.addProblem(KindService, i, string(s.Name), "slices", "must be empty for a pooled service")
	}
	if s.KeyFrom != "" {
		c.addProblem(KindService, i, string(s.Name), "key_from", "must be empty for a pooled service")
	}
}

func (c *checker) checkKeys(keys []Key) {
	names := map[string]bool{}
	nameOf := map[string]string{}
	active := 0
	for i, k := range keys {
		if !validName(k.Name) {
			c.addProblem(KindKey, i, k.Name, "name", "is not a valid name")
		}
		if !validName(string(k.Tenant)) || Scope(k.Tenant) == SharedScope {
			c.addProblem(KindKey, i, k.Name, "tenant", "is not a valid name of a tenant")
		}
		if len(k.PublicKey) != ed25519.PublicKeySize {
			c.addProblem(KindKey, i, k.Name, "public_key", "must be an Ed25519 public key")
		}
		if names[k.Name] {
			c.addProblem(KindKey, i, k.Name, "name", "appears twice")
		}
		if other, ok := nameOf[string(k.PublicKey)]; ok {
			c.addProblem(KindKey, i, k.Name, "public_key", "is the same as that of %s", other)
		}
		names[k.Name] = true
		nameOf[string(k.PublicKey)] = k.Name
		if !k.Revoked {
			active++
		}
	}
	if active == 0 {
		c.addProblem(KindDocument, 0, string(SharedScope), "", "must have a key that is not revoked")
	}
}

func (c *checker) checkShares(shares []Share, keys []Key) {
	tenants := tenantsWithActiveKey(keys)
	seen := map[Share]bool{}
	sums := map[ident.Region]float64{}
	lastIndex := map[ident.Region]int{}
	for i, s := range shares {
		region := string(s.Region)
		if !validName(region) {
			c.addProblem(KindShare, i, region, "region", "is not a valid name")
		}
		if !tenants[s.Tenant] {
			c.addProblem(KindShare, i, region, "tenant", "%q has no key in the document", s.Tenant)
		}
		if !(s.Percent >= 0 && s.Percent <= 100) {
			c.addProblem(KindShare, i, region, "percent", "must be from 0 to 100")
		}
		entry := Share{Region: s.Region, Tenant: s.Tenant}
		if seen[entry] {
			c.addProblem(KindShare, i, region, "tenant", "%q appears twice in the region", s.Tenant)
		}
		seen[entry] = true
		sums[s.Region] += s.Percent
		lastIndex[s.Region] = i
	}
	for i, s := range shares {
		sum := sums[s.Region]
		if lastIndex[s.Region] == i && !(math.Abs(sum-100) <= percentTolerance) {
			c.addProblem(KindShare, i, string(s.Region), "percent", "the shares of the region sum to %g, not 100", sum)
		}
	}
}

// tenantsWithActiveKey returns the tenants that have at least one key that is not
// revoked.
func tenantsWithActiveKey(keys []Key) map[ident.Tenant]bool {
	tenants := map[ident.Tenant]bool{}
	for _, k := range keys {
		if !k.Revoked {
			tenants[k.Tenant] = true
		}
	}
	return tenants
}
