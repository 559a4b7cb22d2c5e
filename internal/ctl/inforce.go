package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sourcegraph/conc/pool"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
)

const (
	// maxParallel bounds the daemons asked at once.
	maxParallel = 64
	pollEvery   = 100 * time.Millisecond
)

// daemonSheet is what one daemon says about its configuration.
type daemonSheet struct {
	Member api.Member `json:"-"`
	Host   ident.Host `json:"host"`
	Sheet  *api.Sheet `json:"sheet,omitempty"`
	Error  string     `json:"error,omitempty"`
}

// sheets asks all daemons of the table for their versions, sorted by host.
func (a *app) sheets(ctx context.Context, c *client) ([]daemonSheet, error) {
	var members api.Members
	if err := c.get(ctx, a.admin, api.PathMembers, &members); err != nil {
		return nil, err
	}
	var mu sync.Mutex // guards list
	list := make([]daemonSheet, 0, len(members.Members))
	p := pool.New().WithMaxGoroutines(maxParallel)
	for _, m := range members.Members {
		p.Go(func() {
			d := daemonSheet{Member: m, Host: m.Host, Sheet: &api.Sheet{}}
			if err := c.get(ctx, c.urlOf(m.AdminAddr), api.PathSheet, d.Sheet); err != nil {
				d.Sheet, d.Error = nil, "no answer"
			}
			mu.Lock()
			defer mu.Unlock()
			list = append(list, d)
		})
	}
	p.Wait()
	slices.SortFunc(list, func(x, y daemonSheet) int {
		switch {
		case x.Host < y.Host:
			return -1
		case x.Host > y.Host:
			return 1
		}
		return 0
	})
	return list, nil
}

// lagging is a daemon on which a version is not in force.
type lagging struct {
	Host   ident.Host `json:"host"`
	Reason string     `json:"reason"`
}

// lag compares the daemons with the versions that should be in force.
func lag(list []daemonSheet, want map[config.Scope]config.Version) []lagging {
	var late []lagging
	for _, d := range list {
		if d.Sheet == nil {
			late = append(late, lagging{Host: d.Host, Reason: d.Error})
			continue
		}
		for _, scope := range sortedScopes(want) {
			if has := versionOf(d.Sheet, scope); has < want[scope] {
				reason := fmt.Sprintf("%s version %d is in force, not %d", scope, has, want[scope])
				late = append(late, lagging{Host: d.Host, Reason: reason})
				break
			}
		}
	}
	return late
}

func sortedScopes(want map[config.Scope]config.Version) []config.Scope {
	scopes := make([]config.Scope, 0, len(want))
	for s := range want {
		scopes = append(scopes, s)
	}
	slices.Sort(scopes)
	return scopes
}

func versionOf(s *api.Sheet, scope config.Scope) config.Version {
	for _, v := range s.Versions {
		if v.Scope == scope {
			return v.Version
		}
	}
	return 0
}

// awaitInForce asks all daemons until the versions are in force everywhere or
// the time is over, and prints what lags.
func (a *app) awaitInForce(ctx context.Context, c *client, want map[config.Scope]config.Version, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	shown := -1
	for {
		list, err := a.sheets(ctx, c)
		if err != nil {
			return err
		}
		late := lag(list, want)
		if done := len(list) - len(late); done != shown {
			fmt.Fprintf(a.env.Stderr, "in force on %d of %d daemons\n", done, len(list))
			shown = done
		}
		if len(late) == 0 || !pause(ctx) {
			return a.printApplied(applied{Versions: want, Daemons: len(list), InForce: shown, Lagging: late})
		}
	}
}

// pause waits for the next poll and reports whether there is time for it.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pollEvery):
		return true
	}
}

func (a *app) printApplied(r applied) error {
	err := a.print(r, func(w io.Writer) {
		if len(r.Lagging) == 0 {
			fmt.Fprintf(w, "the sheet is in force on all %d daemons\n", r.Daemons)
			return
		}
		fmt.Fprintf(w, "accepted, but not yet in force on %d of %d daemons:\n", len(r.Lagging), r.Daemons)
		writeLagging(w, r.Lagging)
	})
	if err != nil {
		return err
	}
	if len(r.Lagging) > 0 {
		return exitPrinted(ExitProblem)
	}
	return nil
}

func writeLagging(w io.Writer, late []lagging) {
	for _, l := range late {
		fmt.Fprintf(w, "  %s: %s\n", l.Host, l.Reason)
	}
}

// newestVersions returns the greatest version of each scope on any daemon.
func newestVersions(list []daemonSheet) []api.ScopeVersion {
	newest := map[config.Scope]api.ScopeVersion{}
	for _, d := range list {
		if d.Sheet == nil {
			continue
		}
		for _, v := range d.Sheet.Versions {
			if v.Version > newest[v.Scope].Version {
				newest[v.Scope] = v
			}
		}
	}
	versions := make([]api.ScopeVersion, 0, len(newest))
	for _, v := range newest {
		versions = append(versions, v)
	}
	slices.SortFunc(versions, func(x, y api.ScopeVersion) int {
		if x.Scope < y.Scope {
			return -1
		}
		return 1
	})
	return versions
}

func (a *app) sheetHistory() *ffcli.Command {
	return a.leaf("sheet ", leaf{
		name: "history", help: "List the accepted changes, newest first.",
		run: func(ctx context.Context, _ []string) error {
			c, err := a.client()
			if err != nil {
				return err
			}
			var h api.History
			if err := c.get(ctx, a.admin, api.PathHistory, &h); err != nil {
				return err
			}
			g := grid{header: []string{"scope", "version", "author", "time", "added", "changed", "removed"}}
			for _, e := range h.Entries {
				g.add(string(e.Scope), fmt.Sprint(e.Version), e.Author, formatMillis(e.TimeMS),
					fmt.Sprint(e.Added), fmt.Sprint(e.Changed), fmt.Sprint(e.Removed))
			}
			return a.printGrid(h, g)
		},
	})
}
