// Package api defines the messages of the administration API, which the server
// and its clients share. Bodies are JSON but for signed changes, which are CBOR
// so that the signed bytes travel unchanged.
package api

import (
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// The paths of the API.
const (
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathMetrics  = "/metrics"
	PathStatus   = "/status"
	PathOpenAPI  = "/v1/openapi.yaml"
	PathMembers  = "/v1/members"
	PathServices = "/v1/services"
	PathLocate   = "/v1/keys/locate"
	PathSheet    = "/v1/sheet"
	PathHistory  = "/v1/sheet/history"
	PathChanges  = "/v1/changes"
	PathUsage    = "/v1/usage"
)

// DrainPath is the path that drains a host.
func DrainPath(h ident.Host) string { return PathMembers + "/" + string(h) + "/drain" }

// ContentTypeCBOR is the media type of a signed change.
const ContentTypeCBOR = "application/cbor"

// Status is the answer of the health checks.
type Status struct {
	Member ident.Member `json:"member"`
	OK     bool         `json:"ok"`
	Reason string       `json:"reason,omitempty"`
}

// Member is one daemon as the table shows it.
type Member struct {
	Host          ident.Host          `json:"host"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	Region        ident.Region        `json:"region"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	CallerAddr    string              `json:"caller_addr"`
	MeshAddr      string              `json:"mesh_addr"`
	AdminAddr     string              `json:"admin_addr"`
	PublicKey     []byte              `json:"public_key"`
	Pool          ident.Pool          `json:"pool,omitempty"`
	Draining      bool                `json:"draining"`
	Slices        int                 `json:"slices"` // owned
}

// Members lists the daemons.
type Members struct {
	Members []Member `json:"members"`
}

// Service is a service in force.
type Service struct {
	Name       ident.Service    `json:"name"`
	Tenant     ident.Tenant     `json:"tenant"`
	Mode       config.Mode      `json:"mode"`
	Pool       ident.Pool       `json:"pool"`
	Slices     uint32           `json:"slices,omitempty"`
	KeyFrom    config.KeySource `json:"key_from,omitempty"`
	DeadlineMS int64            `json:"deadline_ms"`
	MaxBody    int64            `json:"max_body_bytes"`
	Repeatable bool             `json:"repeatable"`
	Members    []ident.Host     `json:"members"` // daemons that serve its pool
}

// Services lists the services in force.
type Services struct {
	Services []Service `json:"services"`
}

// Location is the place of a key.
type Location struct {
	Service    ident.Service `json:"service"`
	Key        string        `json:"key"`
	Slice      uint32        `json:"slice"`
	Epoch      string        `json:"epoch"`
	Owner      ident.Member  `json:"owner"` // zero: no owner at the moment
	CallerAddr string        `json:"caller_addr,omitempty"`
}

// ScopeVersion is the version in force of one scope.
type ScopeVersion struct {
	Scope   config.Scope   `json:"scope"`
	Version config.Version `json:"version"`
	Author  string         `json:"author"`
	TimeMS  int64          `json:"time_ms"` // Unix milliseconds, as the author said
	Digest  string         `json:"digest"`  // hex SHA-256 of the change
}

// Sheet is the configuration in force on one daemon.
type Sheet struct {
	Member    ident.Member            `json:"member"`
	Digest    string                  `json:"digest"` // hex; equal where the same is in force
	Versions  []ScopeVersion          `json:"versions"`
	Documents map[config.Scope]string `json:"documents,omitempty"` // canonical CSV, with ?documents=true
}

// HistoryEntry is an accepted change.
type HistoryEntry struct {
	ScopeVersion
	Added   uint32 `json:"added"`
	Changed uint32 `json:"changed"`
	Removed uint32 `json:"removed"`
}

// History lists accepted changes, newest first.
type History struct {
	Entries []HistoryEntry `json:"entries"`
}

// OutcomeSuperseded is the outcome of a repeated change that was accepted before
// and has been replaced since.
const OutcomeSuperseded = "superseded"

// ChangeResult answers a change. Outcome is the name of a config.Outcome or
// OutcomeSuperseded.
type ChangeResult struct {
	Outcome     string              `json:"outcome"`
	InForce     ScopeVersion        `json:"in_force"`
	Faults      []string            `json:"faults,omitempty"`      // for invalid
	Differences []config.Difference `json:"differences,omitempty"` // for conflict: from the change to what is in force
}

// UsageEntry is one signed statement as the log holds it.
type UsageEntry struct {
	Offset ident.Offset `json:"offset"`
	Data   []byte       `json:"data"` // CBOR of usage.SignedStatement
}

// Usage is a part of the usage stream.
type Usage struct {
	Oldest  ident.Offset `json:"oldest"`
	Next    ident.Offset `json:"next"` // offset that the next statement will get
	Entries []UsageEntry `json:"entries"`
}
