package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/sheet"
)

func (a *app) sheetCommand() *ffcli.Command {
	return a.group("sheet", "burdockctl sheet <command>", "Check, compare and apply the planners' sheet.",
		a.sheetValidate(),
		a.sheetDiff(),
		a.sheetApply(),
		a.sheetStatus(),
		a.sheetHistory(),
	)
}

// removeFlags collects -remove NAME.
type removeFlags []string

func (r *removeFlags) String() string { return strings.Join(*r, ",") }

// Set adds one name.
func (r *removeFlags) Set(name string) error {
	*r = append(*r, name)
	return nil
}

func (r *removeFlags) register(fs *flag.FlagSet) {
	fs.Var(r, "remove", "name of a service, pool or key that may vanish; may be repeated")
}

// readSheet parses a file and prints its problems.
func (a *app) readSheet(file string) (sheet.Sheet, error) {
	f, err := os.Open(file)
	if err != nil {
		return sheet.Sheet{}, fmt.Errorf("sheet: %w", err)
	}
	defer f.Close()
	s, problems := sheet.Parse(f)
	if len(problems) > 0 {
		return s, a.printProblems(file, problems)
	}
	return s, nil
}

// fileProblems is the JSON output of a sheet with problems.
type fileProblems struct {
	File     string         `json:"file"`
	Problems sheet.Problems `json:"problems"`
}

func (a *app) printProblems(file string, problems sheet.Problems) error {
	err := a.print(fileProblems{File: file, Problems: problems}, func(w io.Writer) {
		for _, p := range problems {
			fmt.Fprintf(w, "%s: %s\n", file, p)
		}
		fmt.Fprintf(w, "%d problems; nothing was changed\n", len(problems))
	})
	if err != nil {
		return err
	}
	return exitPrinted(ExitProblem)
}

// sheetSummary is the output of a sheet without problems.
type sheetSummary struct {
	File     string `json:"file"`
	Services int    `json:"services"`
	Pools    int    `json:"pools"`
	Shares   int    `json:"shares"`
	Keys     int    `json:"keys"`
}

func (a *app) sheetValidate() *ffcli.Command {
	return a.leaf("sheet ", leaf{
		name: "validate", args: "<file>", min: 1, max: 1,
		help: "List every problem of a sheet with row, column and hint. No daemon is asked.",
		run: func(_ context.Context, args []string) error {
			s, err := a.readSheet(args[0])
			if err != nil {
				return err
			}
			sum := sheetSummary{
				File: args[0], Services: len(s.Services), Pools: len(s.Pools), Shares: len(s.Shares), Keys: len(s.Keys),
			}
			return a.print(sum, func(w io.Writer) {
				fmt.Fprintf(w, "%s is sound: %d services, %d pools, %d shares, %d keys\n",
					sum.File, sum.Services, sum.Pools, sum.Shares, sum.Keys)
			})
		},
	})
}

// inForce reads what is in force with its documents.
func (a *app) inForce(ctx context.Context, c *client) (func(config.Scope) sheet.ScopeState, error) {
	var answer api.Sheet
	if err := c.get(ctx, a.admin, api.PathSheet+"?documents=true", &answer); err != nil {
		return nil, err
	}
	current := map[config.Scope]sheet.ScopeState{}
	for _, v := range answer.Versions {
		doc, err := documentOf(v.Scope, answer.Documents[v.Scope])
		if err != nil {
			return nil, err
		}
		current[v.Scope] = sheet.ScopeState{Version: v.Version, Document: doc}
	}
	return func(s config.Scope) sheet.ScopeState { return current[s] }, nil
}

func documentOf(scope config.Scope, text string) (config.Document, error) {
	if text == "" {
		return config.Document{}, nil
	}
	s, problems := sheet.Parse(strings.NewReader(text))
	if len(problems) > 0 {
		return config.Document{}, exitf(ExitInternal, "the daemon's sheet of %s cannot be read: %w", scope, problems)
	}
	for _, d := range s.Documents() {
		if d.Scope == scope {
			return d.Document, nil
		}
	}
	return config.Document{}, nil
}

// planOf compares a sheet with what is in force and prints problems.
func (a *app) planOf(ctx context.Context, c *client, file string, o sheet.ChangeOptions) ([]sheet.Plan, error) {
	s, err := a.readSheet(file)
	if err != nil {
		return nil, err
	}
	current, err := a.inForce(ctx, c)
	if err != nil {
		return nil, err
	}
	plans, problems := s.PlanChanges(current, o)
	if len(problems) > 0 {
		return nil, a.printProblems(file, problems)
	}
	return plans, nil
}

// planView is the output of one scope's differences.
type planView struct {
	Scope       config.Scope        `json:"scope"`
	Base        config.Version      `json:"base"`
	Differences []config.Difference `json:"differences"`
	Effects     []string            `json:"effects"`
}

func (a *app) sheetDiff() *ffcli.Command {
	var remove removeFlags
	return a.leaf("sheet ", leaf{
		name: "diff", args: "<file>", min: 1, max: 1,
		help:  "Show in words what a sheet would change, and what that would move.",
		flags: remove.register,
		run: func(ctx context.Context, args []string) error {
			c, err := a.client()
			if err != nil {
				return err
			}
			plans, err := a.planOf(ctx, c, args[0], sheet.ChangeOptions{RemovedNames: remove})
			if err != nil {
				return err
			}
			views := make([]planView, 0, len(plans))
			for _, p := range plans {
				views = append(views, planView{
					Scope: p.Change.Scope, Base: p.Change.Base, Differences: p.Differences, Effects: effects(p),
				})
			}
			return a.print(views, func(w io.Writer) { writePlans(w, views) })
		},
	})
}

func writePlans(w io.Writer, views []planView) {
	if len(views) == 0 {
		fmt.Fprintln(w, "the sheet is in force; nothing would change")
	}
	for _, v := range views {
		fmt.Fprintf(w, "%s, from version %d:\n", v.Scope, v.Base)
		for _, d := range v.Differences {
			fmt.Fprintf(w, "  %s\n", d)
		}
		for _, e := range v.Effects {
			fmt.Fprintf(w, "  -> %s\n", e)
		}
	}
}

// effects says in words what a plan moves or stops.
func effects(p sheet.Plan) []string {
	services := map[string]config.Service{}
	for _, s := range p.Change.Document.Services {
		services[string(s.Name)] = s
	}
	var list []string
	for _, d := range p.Differences {
		s := services[d.Name]
		switch {
		case d.Kind == config.KindService && d.Operation == config.Added && s.Mode == config.Keyed:
			list = append(list, fmt.Sprintf("%d slices of %s are assigned to the servers of pool %s", s.Slices, d.Name, s.Pool))
		case d.Kind == config.KindService && d.Operation == config.Removed:
			list = append(list, fmt.Sprintf("requests for %s are refused as unknown-service", d.Name))
		case d.Kind == config.KindService && d.Field == "pool":
			list = append(list, fmt.Sprintf("the work of %s moves from the servers of pool %s to those of %s", d.Name, d.Old, d.New))
		case d.Kind == config.KindPool && d.Operation == config.Removed:
			list = append(list, fmt.Sprintf("the servers of pool %s get no new work", d.Name))
		case d.Kind == config.KindShare:
			list = append(list, fmt.Sprintf("the division of scarce slots changes in %s", strings.Split(d.Name, "/")[0]))
		}
	}
	return slices.Compact(list)
}
