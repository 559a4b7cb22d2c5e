// Package sheet reads the planners' CSV sheet into documents of the
// configuration and writes documents in the sheet's canonical form.
package sheet

import (
	"cmp"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/config"
)

// Column is the name of a column in the header.
type Column string

// The columns. Their order is that of the canonical form; a sheet may have them
// in any order and leave out those it does not need.
const (
	ColKind       Column = "kind"
	ColName       Column = "name"
	ColTenant     Column = "tenant"
	ColMode       Column = "mode"
	ColPool       Column = "pool"
	ColSlices     Column = "slices"
	ColKeyFrom    Column = "key_from"
	ColDeadline   Column = "deadline_ms"
	ColMaxBody    Column = "max_body_kb"
	ColRepeatable Column = "repeatable"
	ColRegion     Column = "region"
	ColPercent    Column = "percent"
	ColPublicKey  Column = "public_key"
	ColNote       Column = "note"
)

var columns = []Column{
	ColKind, ColName, ColTenant, ColMode, ColPool, ColSlices, ColKeyFrom, ColDeadline,
	ColMaxBody, ColRepeatable, ColRegion, ColPercent, ColPublicKey, ColNote,
}

// requiredColumns must be in every header.
var requiredColumns = []Column{ColKind, ColTenant}

// The limits of a sheet.
const (
	MaxRows  = 100_000  // below the header
	MaxBytes = 64 << 20 // of the whole file
	maxCell  = 4 << 10  // bytes
)

// The values of the mode column for a key.
const (
	keyActive  = "active"
	keyRevoked = "revoked"
)

const bytesPerKB = 1024

// Row is a thing with the number of its row, counted from 1 for the header.
type Row[T any] struct {
	Number int
	Value  T
}

// Sheet is the content of a sheet without problems.
type Sheet struct {
	Services []Row[config.Service]
	Pools    []Row[config.Pool]
	Shares   []Row[config.Share]
	Keys     []Row[config.Key]
}

// ScopeDocument is the part of a sheet that belongs to one scope.
type ScopeDocument struct {
	Scope    config.Scope
	Document config.Document
}

// scopePart is a ScopeDocument with the rows of its entries.
type scopePart struct {
	ScopeDocument
	rows map[config.EntryKind][]int // by the index in the document's list
}

// Documents returns the scopes that the sheet has rows of, sorted by name. A
// scope without a row in the sheet is left as it is.
func (s Sheet) Documents() []ScopeDocument {
	var docs []ScopeDocument
	for _, p := range s.parts() {
		docs = append(docs, p.ScopeDocument)
	}
	return docs
}

func (s Sheet) parts() []*scopePart {
	parts := map[config.Scope]*scopePart{}
	part := func(scope config.Scope, thing config.EntryKind, row int) *config.Document {
		p := parts[scope]
		if p == nil {
			p = &scopePart{ScopeDocument: ScopeDocument{Scope: scope}, rows: map[config.EntryKind][]int{}}
			parts[scope] = p
		}
		p.rows[thing] = append(p.rows[thing], row)
		return &p.Document
	}
	for _, r := range s.Services {
		d := part(config.Scope(r.Value.Tenant), config.KindService, r.Number)
		d.Services = append(d.Services, r.Value)
	}
	for _, r := range s.Pools {
		d := part(config.Scope(r.Value.Tenant), config.KindPool, r.Number)
		d.Pools = append(d.Pools, r.Value)
	}
	for _, r := range s.Shares {
		d := part(config.SharedScope, config.KindShare, r.Number)
		d.Shares = append(d.Shares, r.Value)
	}
	for _, r := range s.Keys {
		d := part(config.SharedScope, config.KindKey, r.Number)
		d.Keys = append(d.Keys, r.Value)
	}
	list := make([]*scopePart, 0, len(parts))
	for _, p := range parts {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *scopePart) int { return cmp.Compare(a.Scope, b.Scope) })
	return list
}

// row returns the row of an entry of the part, zero if the fault is of the
// document as a whole.
func (p *scopePart) row(thing config.EntryKind, index int) int {
	rows := p.rows[thing]
	if index >= len(rows) {
		return 0
	}
	return rows[index]
}
