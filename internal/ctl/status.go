package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/core/config"
)

// statusView is the JSON output of sheet status.
type statusView struct {
	Versions []api.ScopeVersion `json:"versions"`
	Daemons  int                `json:"daemons"`
	Lagging  []lagging          `json:"lagging"`
	Since    *sinceView         `json:"since,omitempty"`
}

func (a *app) sheetStatus() *ffcli.Command {
	var logURL string
	return a.leaf("sheet ", leaf{
		name: "status", help: "Show the versions in force, the daemons that lag, and what has happened since.",
		long: "With -log it also shows slices moved, hosts drained and left since each version,\n" +
			"and the traffic since the newest one against the shares.",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&logURL, "log", "", "URL of the log service")
		},
		run: func(ctx context.Context, _ []string) error {
			view, err := a.status(ctx, logURL)
			if err != nil {
				return err
			}
			if err := a.print(view, view.write); err != nil {
				return err
			}
			if len(view.Lagging) > 0 {
				return exitPrinted(ExitProblem)
			}
			return nil
		},
	})
}

func (a *app) status(ctx context.Context, logURL string) (statusView, error) {
	c, err := a.client()
	if err != nil {
		return statusView{}, err
	}
	list, err := a.sheets(ctx, c)
	if err != nil {
		return statusView{}, err
	}
	newest := newestVersions(list)
	want := map[config.Scope]config.Version{}
	for _, v := range newest {
		want[v.Scope] = v.Version
	}
	view := statusView{Versions: newest, Daemons: len(list), Lagging: lag(list, want)}
	if logURL == "" {
		return view, nil
	}
	current, err := a.inForce(ctx, c)
	if err != nil {
		return statusView{}, err
	}
	view.Since, err = a.since(ctx, logURL, newest, current(config.SharedScope).Document.Shares)
	return view, err
}

func (v statusView) write(w io.Writer) {
	g := grid{header: []string{"scope", "version", "author", "time"}}
	for _, s := range v.Versions {
		g.add(string(s.Scope), fmt.Sprint(s.Version), s.Author, formatMillis(s.TimeMS))
	}
	g.write(w)
	fmt.Fprintf(w, "\nin force on %d of %d daemons\n", v.Daemons-len(v.Lagging), v.Daemons)
	writeLagging(w, v.Lagging)
	if v.Since != nil {
		v.Since.write(w)
	}
}
