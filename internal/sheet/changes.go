package sheet

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/config"
)

// ScopeState is what is in force in one scope.
type ScopeState struct {
	Version  config.Version
	Document config.Document
}

// ChangeOptions say how a sheet becomes changes.
type ChangeOptions struct {
	Author       string
	Time         int64    // Unix milliseconds
	RemovedNames []string // names of the services, pools and keys that may vanish
}

// Plan is the change of one scope with what it changes.
type Plan struct {
	Change      config.Change
	Differences []config.Difference
}

// PlanChanges compares the sheet with what is in force and returns a plan for each
// scope that differs, made from its current version. A service, pool or key
// that is in force and not in the sheet is a problem unless Remove names it.
func (s Sheet) PlanChanges(inForce func(config.Scope) ScopeState, o ChangeOptions) ([]Plan, Problems) {
	var plans []Plan
	var problems Problems
	removed := map[string]bool{}
	for _, part := range s.parts() {
		current := inForce(part.Scope)
		diffs := config.Diff(current.Document, part.Document)
		problems = append(problems, unexpected(part, diffs, o.RemovedNames, removed)...)
		if len(diffs) == 0 {
			continue
		}
		plans = append(plans, Plan{Differences: diffs, Change: config.Change{
			Scope:    part.Scope,
			Base:     current.Version,
			Author:   o.Author,
			Time:     o.Time,
			Document: part.Document.Canonical(),
		}})
	}
	for _, name := range o.RemovedNames {
		if !removed[name] {
			problems.add(0, "", "see sheet diff", "%q is to be removed but did not vanish from the sheet", name)
		}
	}
	return plans, problems.ordered()
}

// unexpected returns the differences that need the planner's attention: things
// that vanished and values that cannot change.
func unexpected(part *scopePart, diffs []config.Difference, remove []string, removed map[string]bool) Problems {
	var problems Problems
	for _, d := range diffs {
		switch {
		case d.Operation == config.Removed && d.Kind != config.KindShare:
			if slices.Contains(remove, d.Name) {
				removed[d.Name] = true
				continue
			}
			problems.add(0, "", "restore its row, or give --remove "+d.Name, "%s %s is in force and not in the sheet", d.Kind, d.Name)
		case isFixed(d):
			problems.add(part.serviceRow(d.Name), Column(d.Field), "create a service of another name instead",
				"cannot change from %s to %s", d.Old, d.New)
		}
	}
	return problems
}

// isFixed reports whether the difference is of a value that a service keeps for
// good.
func isFixed(d config.Difference) bool {
	if d.Kind != config.KindService || d.Operation != config.Changed {
		return false
	}
	return d.Field == string(ColSlices) || d.Field == string(ColMode) || d.Field == string(ColTenant)
}

func (p *scopePart) serviceRow(name string) int {
	for i, s := range p.Document.Services {
		if string(s.Name) == name {
			return p.row(config.KindService, i)
		}
	}
	return 0
}
