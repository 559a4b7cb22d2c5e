package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/burdockfold/burdockfold/internal/explain"
)

func (a *app) explainCommand() *ffcli.Command {
	return a.leaf("", leaf{
		name: "explain", args: "ID [FILE...]", help: "Tell from logs what became of a request.",
		long: "Reads the logs of daemons, one file each, or standard input. Lines of several\n" +
			"daemons may be in one file if each begins with the daemon's name.\n\n" + exitCodeHelp,
		min: 1, max: -1,
		run: func(_ context.Context, args []string) error { return a.explain(args[0], args[1:]) },
	})
}

// explain prints the lines of a request, then what changed around it.
func (a *app) explain(id string, files []string) error {
	sources := []explain.LogSource{{Name: "stdin", Reader: a.env.Stdin}}
	if len(files) > 0 {
		sources = nil
	}
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return exitf(ExitInternal, "%w", err)
		}
		defer func() { _ = f.Close() }() // only read
		name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		sources = append(sources, explain.LogSource{Name: name, Reader: f})
	}
	r, err := explain.FindRequest(id, sources)
	if errors.Is(err, explain.ErrNotFound) {
		return exitf(ExitProblem, "no line names request %s", id)
	}
	if err != nil {
		return exitf(ExitInternal, "%w", err)
	}
	a.printReport(r)
	return nil
}

func (a *app) printReport(r explain.Report) {
	out := a.env.Stdout
	fmt.Fprintf(out, "request %s  service %s  hosts %s  outcome %s\n", r.ID, r.Service, strings.Join(r.Hosts, ", "), r.Outcome)
	if m := r.Meaning(); m != "" {
		fmt.Fprintln(out, m)
	}
	print := func(title string, lines []explain.Line) {
		fmt.Fprintf(out, "\n%s\n", title)
		for _, l := range lines {
			fmt.Fprintf(out, "  %s  %s\n", l.Source, l.Text)
		}
	}
	print("The request:", r.Path)
	if len(r.Around) > 0 {
		print("Changes around it:", r.Around)
	}
	if r.LeftOut > 0 {
		fmt.Fprintf(out, "  and %d more\n", r.LeftOut)
	}
}
