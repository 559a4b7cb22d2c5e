package sheet

import (
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/config"
)

// ScopeState is the version and the document in force of one scope.
type ScopeState struct {
	Version  config.Version
	Document config.Document
}

// ChangeOptions contains the options of Sheet.PlanChanges.
type ChangeOptions struct {
	Author       string
	Time         int64    // Unix milliseconds
	RemovedNames []string // names of the services, pools and keys that may be removed
}

// Plan is the change of one scope with its differences from the document in force.
type Plan struct {
	Change      config.Change
	Differences []config.Difference
}

// PlanChanges compares the sheet with the configuration in force and returns a plan
// for each scope that differs. The plan is based on the scope's version in force. A
// service, pool or key that is in force but not in the sheet is a problem unless
// RemovedNames contains its name. A name in RemovedNames that is not removed is a
// problem, too.
func (s Sheet) PlanChanges(inForce func(config.Scope) ScopeState, o ChangeOptions) ([]Plan, Problems) {
	var plans []Plan
	var problems Problems
	removedNames := map[string]bool{}
	for _, part := range s.scopeParts() {
		current := inForce(part.Scope)
		diffs := config.Diff(current.Document, part.Document)
		problems = append(problems, changeProblems(part, diffs, o.RemovedNames, removedNames)...)
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
		if !removedNames[name] {
			problems.add(0, "", "see sheet diff", "%q is to be removed but did not vanish from the sheet", name)
		}
	}
	return plans, problems.sortedAndLimited()
}

// changeProblems returns a problem for each difference that is not allowed: the
// removal of an entry that removable does not name, and the change of an immutable
// field of a service. It adds the names of the entries that may be removed to
// removedNames.
func changeProblems(part *scopePart, diffs []config.Difference, removable []string, removedNames map[string]bool) Problems {
	var problems Problems
	for _, d := range diffs {
		switch {
		case d.Operation == config.Removed && d.Kind != config.KindShare:
			if slices.Contains(removable, d.Name) {
				removedNames[d.Name] = true
				continue
			}
			problems.add(0, "", "restore its row, or give --remove "+d.Name, "%s %s is in force and not in the sheet", d.Kind, d.Name)
		case isImmutableField(d):
			problems.add(part.serviceRowNumber(d.Name), Column(d.Field), "create a service of another name instead",
				"cannot change from %s to %s", d.Old, d.New)
		}
	}
	return problems
}

// isImmutableField reports whether the difference changes a field that is fixed
// when a service is created.
func isImmutableField(d config.Difference) bool {
	if d.Kind != config.KindService || d.Operation != config.Changed {
		return false
	}
	return d.Field == string(ColSlices) || d.Field == string(ColMode) || d.Field == string(ColTenant)
}

// serviceRowNumber returns the row number of the named service, or zero if the part
// does not contain it.
func (p *scopePart) serviceRowNumber(name string) int {
	for i, s := range p.Document.Services {
		if string(s.Name) == name {
			return p.rowNumberOf(config.KindService, i)
		}
	}
	return 0
}
