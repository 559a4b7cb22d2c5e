package config

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Operation specifies how an entry differs between two documents.
type Operation string

// The operations of a Difference.
const (
	Added   Operation = "added"
	Removed Operation = "removed"
	Changed Operation = "changed"
)

// Difference describes an entry that was added or removed, or one field of an
// entry that changed. Field, Old and New are set only for Changed: Field is the
// name of the field, Old and New are its values.
type Difference struct {
	Kind      EntryKind `codec:"h" json:"thing"`
	Operation Operation `codec:"o" json:"operation"`
	Name      string    `codec:"n" json:"name"`
	Field     string    `codec:"f" json:"field,omitempty"`
	Old       string    `codec:"l" json:"old,omitempty"`
	New       string    `codec:"w" json:"new,omitempty"`
}

// String formats the difference for people.
func (d Difference) String() string {
	if d.Operation != Changed {
		return fmt.Sprintf("%s %s %s", d.Kind, d.Name, d.Operation)
	}
	return fmt.Sprintf("%s %s: %s changes from %s to %s", d.Kind, d.Name, d.Field, orNone(d.Old), orNone(d.New))
}

func orNone(v string) string {
	if v == "" {
		return "none"
	}
	return v
}

// entry is an entry of a document with its fields formatted as text.
type entry struct {
	kind   EntryKind
	name   string
	fields []field
}

type field struct{ name, value string }

// Diff returns the differences from old to new, sorted by kind and name. The
// differences of one entry are in the order of its fields.
func Diff(old, new Document) []Difference {
	before, after := entries(old), entries(new)
	var diffs []Difference
	for len(before) > 0 || len(after) > 0 {
		switch compareHeads(before, after) {
		case -1:
			diffs = append(diffs, Difference{Kind: before[0].kind, Operation: Removed, Name: before[0].name})
			before = before[1:]
		case 1:
			diffs = append(diffs, Difference{Kind: after[0].kind, Operation: Added, Name: after[0].name})
			after = after[1:]
		default:
			diffs = append(diffs, fieldChanges(before[0], after[0])...)
			before, after = before[1:], after[1:]
		}
	}
	return diffs
}

// compareHeads compares the first entries of two sorted lists. An empty list
// compares as greater.
func compareHeads(before, after []entry) int {
	switch {
	case len(before) == 0:
		return 1
	case len(after) == 0:
		return -1
	}
	return compareEntries(before[0], after[0])
}

func compareEntries(a, b entry) int {
	if c := strings.Compare(string(a.kind), string(b.kind)); c != 0 {
		return c
	}
	return strings.Compare(a.name, b.name)
}

// fieldChanges returns a difference for each field whose value changed.
func fieldChanges(before, after entry) []Difference {
	var diffs []Difference
	for i, f := range before.fields {
		if now := after.fields[i].value; now != f.value {
			diffs = append(diffs, Difference{
				Kind: before.kind, Operation: Changed, Name: before.name,
				Field: f.name, Old: f.value, New: now,
			})
		}
	}
	return diffs
}

// entries returns all entries of a document, sorted by kind and name.
func entries(d Document) []entry {
	var list []entry
	for _, s := range d.Services {
		list = append(list, serviceEntry(s))
	}
	for _, p := range d.Pools {
		list = append(list, entry{KindPool, string(p.Name), []field{{"tenant", string(p.Tenant)}}})
	}
	for _, s := range d.Shares {
		name := fmt.Sprintf("%s/%s", s.Region, s.Tenant)
		percent := strconv.FormatFloat(s.Percent, 'f', -1, 64)
		list = append(list, entry{KindShare, name, []field{{"percent", percent}}})
	}
	for _, k := range d.Keys {
		list = append(list, entry{KindKey, k.Name, []field{
			{"tenant", string(k.Tenant)},
			{"public_key", base64.StdEncoding.EncodeToString(k.PublicKey)},
			{"revoked", strconv.FormatBool(k.Revoked)},
		}})
	}
	slices.SortStableFunc(list, compareEntries)
	return list
}

func serviceEntry(s Service) entry {
	return entry{KindService, string(s.Name), []field{
		{"tenant", string(s.Tenant)},
		{"mode", string(s.Mode)},
		{"pool", string(s.Pool)},
		{"slices", strconv.FormatUint(uint64(s.Slices), 10)},
		{"key_from", string(s.KeyFrom)},
		{"deadline", s.Deadline.String()},
		{"max_body", strconv.FormatInt(s.MaxBody, 10)},
		{"repeatable", strconv.FormatBool(s.Repeatable)},
	}}
}
