// Package config decides which configuration is in force. State folds signed
// changes in the order of the log; each change replaces the document of one
// scope. A change is accepted if valid signatures authorize it, if it is based on
// the scope's version in force and if its document has no problems. View gives
// read access to the resulting configuration. All daemons that fold the same log
// reach the same configuration, so the package does no I/O.
package config

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Scope is the part of the configuration that one change replaces: the services
// and pools of one tenant, or the parts that the tenants share.
type Scope string

// SharedScope contains the keys of all tenants and their shares of each region. A
// change of it must be signed by every tenant.
const SharedScope Scope = "shared"

// Version is the number of an accepted change within its scope. It starts at 1.
type Version uint64

// Mode specifies how a service's requests are routed to a backend server.
type Mode string

// The modes of a service.
const (
	Keyed  Mode = "keyed"  // to the server that owns the request's key
	Pooled Mode = "pooled" // to any server of the pool
)

// KeySource specifies which part of a request contains its key.
type KeySource string

// The sources of a key: the path segment after the service's name, or the
// Burdock-Key header.
const (
	KeyFromPath   KeySource = "path"
	KeyFromHeader KeySource = "header"
)

// Service is the configuration of one routed service.
type Service struct {
	Name       ident.Service `codec:"n"`
	Tenant     ident.Tenant  `codec:"t"`
	Mode       Mode          `codec:"m"`
	Pool       ident.Pool    `codec:"p"`
	Slices     uint32        `codec:"s"` // power of two; zero for a pooled service
	KeyFrom    KeySource     `codec:"k"`
	Deadline   time.Duration `codec:"d"` // default and maximum deadline of a request
	MaxBody    int64         `codec:"b"` // bytes, for requests and answers
	Repeatable bool          `codec:"r"` // a request may be executed more than once
}

// Pool is a set of backend servers of one tenant.
type Pool struct {
	Name   ident.Pool   `codec:"n"`
	Tenant ident.Tenant `codec:"t"`
}

// Share is the percentage of a region's traffic that a tenant pays for.
type Share struct {
	Region  ident.Region `codec:"r"`
	Tenant  ident.Tenant `codec:"t"`
	Percent float64      `codec:"p"`
}

// Key is a public key of a tenant.
type Key struct {
	Name      string       `codec:"n"`
	Tenant    ident.Tenant `codec:"t"`
	PublicKey []byte       `codec:"k"` // Ed25519
	Revoked   bool         `codec:"r"`
}

// Document is the content of one scope. A tenant's scope contains only services
// and pools; the shared scope contains only shares and keys.
type Document struct {
	Services []Service `codec:"s"`
	Pools    []Pool    `codec:"p"`
	Shares   []Share   `codec:"h"`
	Keys     []Key     `codec:"k"`
}

// Change proposes a new document for a scope. It is accepted only if Base is the
// scope's version in force; the new document then becomes version Base+1.
type Change struct {
	Scope    Scope    `codec:"s"`
	Base     Version  `codec:"b"`
	Author   string   `codec:"a"`
	Time     int64    `codec:"t"` // Unix milliseconds, for display only
	Document Document `codec:"d"`
}

// SignedChange is a change with signatures over its canonical encoding.
type SignedChange struct {
	Change     Change      `codec:"c"`
	Signatures []Signature `codec:"s"`
}

// Signature is an Ed25519 signature made with the named key.
type Signature struct {
	KeyName string `codec:"k"`
	Bytes   []byte `codec:"b"`
}
