package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/routes"
	"github.com/burdockfold/burdockfold/internal/edge"
	"github.com/burdockfold/burdockfold/internal/settings"
)

// The exit codes of "config check", beside 0 for nothing but differences.
const (
	exitWarnings   ExitCode = 1
	exitErrors     ExitCode = 2
	exitNotChecked ExitCode = 3 // wrong arguments, or a file that cannot be read
)

const configCheckHelp = `No daemon is asked. Without -regions or -settings it is not checked whether the
allowed regions exist, without -settings whether the services have servers,
without -against what changes; the output says so.

EXIT CODES
  0 nothing but differences   2 errors
  1 warnings                  3 not checked: wrong arguments or unreadable file
`

// isConfigCheck reports whether the arguments ask for "config check", whose exit codes are
// its own.
func isConfigCheck(args []string) bool {
	return len(args) >= 2 && args[0] == "config" && args[1] == "check"
}

func (a *app) configCommand() *ffcli.Command {
	var o checkOptions
	return a.group("config", "burdockctl config <command>", "Check the operators' configuration of sidecars.",
		a.leaf("config ", leaf{
			name: "check", args: "<file>", min: 1, max: 1, long: configCheckHelp,
			help:  "List errors, suspect entries and changes of a configuration before it is sent.",
			flags: o.register,
			run:   func(_ context.Context, args []string) error { return a.checkConfig(args[0], o) },
		}),
	)
}

// checkOptions says what a configuration is checked against.
type checkOptions struct {
	against  string // file with the version in force
	regions  string // of the hosts, separated by commas
	settings fileFlags
}

// fileFlags collects the files of a flag that may be repeated.
type fileFlags []string

func (f *fileFlags) String() string { return strings.Join(*f, ",") }

// Set adds one file.
func (f *fileFlags) Set(name string) error {
	*f = append(*f, name)
	return nil
}

func (o *checkOptions) register(fs *flag.FlagSet) {
	fs.StringVar(&o.against, "against", "", "file with the version in force, to list what changes")
	fs.StringVar(&o.regions, "regions", "", "regions of the hosts, separated by commas")
	fs.Var(&o.settings, "settings", "settings file of a host's daemon, for its region and service; repeat it for all hosts")
}

// deployment returns what the options say of the hosts.
func (o checkOptions) deployment() (routes.Deployment, error) {
	var d routes.Deployment
	if o.regions != "" || len(o.settings) > 0 {
		d.Regions = map[ident.Region]bool{}
	}
	for _, r := range strings.Split(o.regions, ",") {
		if r = strings.TrimSpace(r); r != "" {
			d.Regions[ident.Region(r)] = true
		}
	}
	for _, file := range o.settings {
		s, err := settings.LoadSidecar(file)
		if err != nil {
			return d, fmt.Errorf("%s: %w", file, err)
		}
		if d.Servers == nil {
			d.Servers = map[ident.Service]map[ident.Region]bool{}
		}
		if d.Servers[s.Service] == nil {
			d.Servers[s.Service] = map[ident.Region]bool{}
		}
		d.Regions[s.Host.Region] = true
		d.Servers[s.Service][s.Host.Region] = true
	}
	return d, nil
}

// configInForce reads the version in force, nil if no file is given.
func (a *app) configInForce(file string) (*routes.Config, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	d := a.env.InspectConfig(data)
	if d.Refused || d.Validate() != nil {
		return nil, fmt.Errorf("%s was never in force: daemons refuse it; check that file for its errors", file)
	}
	return &d.Config, nil
}

// checkedFile is the output of a check.
type checkedFile struct {
	File    string         `json:"file"`
	Version routes.Version `json:"version"`
	routes.Report
}

func (a *app) checkConfig(file string, o checkOptions) error {
	if a.env.InspectConfig == nil {
		return exitf(exitNotChecked, "this program cannot decode configurations")
	}
	data, errFile := os.ReadFile(file)
	inForce, errInForce := a.configInForce(o.against)
	deployment, errSettings := o.deployment()
	if err := errors.Join(errFile, errInForce, errSettings); err != nil {
		return exitf(exitNotChecked, "%w", err)
	}
	d := a.env.InspectConfig(data)
	r := routes.Check(d, routes.CheckInput{Deployment: deployment, Port: edge.PortLimits(), InForce: inForce})
	err := a.print(checkedFile{File: file, Version: d.Version, Report: r}, func(w io.Writer) {
		for _, f := range r.Findings {
			fmt.Fprintf(w, "%s\n", f)
		}
		for _, n := range r.NotChecked {
			fmt.Fprintf(w, "not checked: %s\n", n)
		}
		fmt.Fprintf(w, "%s: version %d, %d errors, %d warnings, %d differences\n", file, d.Version,
			r.Count(routes.Error), r.Count(routes.Warning), r.Count(routes.Difference))
	})
	if err != nil {
		return err
	}
	switch r.Worst() {
	case routes.Error:
		return exitPrinted(exitErrors)
	case routes.Warning:
		return exitPrinted(exitWarnings)
	}
	return nil
}
