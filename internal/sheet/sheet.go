// Package sheet converts between the planners' CSV sheet and documents of the
// configuration. Parse reads a sheet and lists every problem with its row and
// column; a sheet with a problem must not be used. Sheet.PlanChanges compares a
// sheet with the configuration in force and returns one change for each scope that
// differs. An entry that is missing in the sheet is removed only if it is named
// explicitly, except for a share. Write writes a document in the sheet's canonical
// form.
package sheet

import (
	"cmp"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/config"
)

// Column is the name of a column, as in the header of a sheet.
type Column string

// The columns, in the order of the canonical form. A sheet may contain them in any
// order and omit those that it does not need, except for requiredColumns.
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

// columns lists all columns in the order of the canonical form.
var columns = []Column{
	ColKind, ColName, ColTenant, ColMode, ColPool, ColSlices, ColKeyFrom, ColDeadline,
	ColMaxBody, ColRepeatable, ColRegion, ColPercent, ColPublicKey, ColNote,
}

// requiredColumns lists the columns that every header must contain.
var requiredColumns = []Column{ColKind, ColTenant}

// The limits of a sheet.
const (
	MaxRows      = 100_000  // without the header
	MaxBytes     = 64 << 20 // of the whole file
	maxCellBytes = 4 << 10  // bytes
)

// The values of the mode column in the row of a key.
const (
	keyActive  = "active"
	keyRevoked = "revoked"
)

const bytesPerKB = 1024

// Row is an entry with the number of its row. The header has number 1.
type Row[T any] struct {
	Number int
	Value  T
}

// Sheet is the content of a sheet. Parse returns a complete one only if it found no
// problem.
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

// scopePart is a ScopeDocument with the row numbers of its entries.
type scopePart struct {
	ScopeDocument
	rows map[config.EntryKind][]int // row numbers by kind, in the order of the document's lists
}

// Documents returns the documents of the scopes that have rows in the sheet, sorted
// by scope. A scope without rows is not affected by the sheet.
func (s Sheet) Documents() []ScopeDocument {
	var docs []ScopeDocument
	for _, p := range s.scopeParts() {
		docs = append(docs, p.ScopeDocument)
	}
	return docs
}

// scopeParts divides the rows of the sheet by scope and returns the parts, sorted
// by scope.
func (s Sheet) scopeParts() []*scopePart {
	parts := map[config.Scope]*scopePart{}
	part := func(scope config.Scope, kind config.EntryKind, row int) *config.Document {
		p := parts[scope]
		if p == nil {
			p = &scopePart{ScopeDocument: ScopeDocument{Scope: scope}, rows: map[config.EntryKind][]int{}}
			parts[scope] = p
		}
		p.rows[kind] = append(p.rows[kind], row)
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

// rowNumberOf returns the row number of the entry with the given index in the
// document's list of its kind. It returns zero if there is no such entry, as for a
// problem of the document as a whole.
func (p *scopePart) rowNumberOf(kind config.EntryKind, index int) int {
	rows := p.rows[kind]
	if index >= len(rows) {
		return 0
	}
	return rows[index]
}
