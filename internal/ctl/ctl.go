// Package ctl is the command line of operators and planners behind burdockctl.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/burdockfold/burdockfold/internal/core/routes"
)

// ExitCode is the exit status of a command.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0
	ExitProblem     ExitCode = 1 // problems were found, or a daemon lags
	ExitUsage       ExitCode = 2 // wrong arguments
	ExitUnreachable ExitCode = 3 // a daemon or the log service did not answer
	ExitConflict    ExitCode = 4 // another change came first
	ExitRefused     ExitCode = 5 // the signer has no right, or the request is not valid
	ExitInternal    ExitCode = 6 // a local failure, such as a file that cannot be read
)

const exitCodeHelp = `EXIT CODES
  0 done                      4 conflict: another change came first
  1 problems found, or lag    5 refused
  2 wrong arguments           6 local failure
  3 no answer
`

const (
	envPrefix      = "BURDOCKCTL"
	defaultAdmin   = "http://127.0.0.1:8083"
	defaultTimeout = 10 * time.Second
)

// Env is the surroundings of a command.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Now    func() time.Time

	// InspectConfig decodes an operators' configuration for "config check", which is not
	// possible if it is nil.
	InspectConfig func(data []byte) routes.Document
}

// OSEnv is the environment of a process.
func OSEnv() Env {
	return Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Now: time.Now}
}

// exitError is an error with an exit code. An empty text has been printed
// already.
type exitError struct {
	code ExitCode
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func exitf(code ExitCode, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// errPrinted ends a command whose output already says what is wrong.
var errPrinted = errors.New("")

func exitPrinted(code ExitCode) error { return &exitError{code: code, err: errPrinted} }

// app holds what all commands share.
type app struct {
	env     Env
	admin   string
	caFile  string
	timeout time.Duration
	format  string

	usageExit    ExitCode // for wrong arguments
	internalExit ExitCode // for a local failure
}

// Run parses the arguments, runs the command and returns its exit code.
func Run(ctx context.Context, args []string, env Env) ExitCode {
	a := &app{env: env, usageExit: ExitUsage, internalExit: ExitInternal}
	if isConfigCheck(args) {
		a.usageExit, a.internalExit = exitNotChecked, exitNotChecked
	}
	root := a.root()
	if err := root.Parse(args); err != nil {
		return a.parseFailed(err)
	}
	err := root.Run(ctx)
	var e *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	case errors.As(err, &e):
		if text := e.Error(); text != "" {
			fmt.Fprintln(env.Stderr, "burdockctl: "+text)
		}
		return e.code
	default:
		fmt.Fprintf(env.Stderr, "burdockctl: %v\n", err)
		return a.internalExit
	}
}

func (a *app) parseFailed(err error) ExitCode {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	fmt.Fprintf(a.env.Stderr, "burdockctl: %v\n", err)
	return a.usageExit
}

func (a *app) root() *ffcli.Command {
	return a.group("burdockctl", "burdockctl <command>", "Operate a burdockfold cluster.",
		a.sheetCommand(),
		a.configCommand(),
		a.serviceCommand(),
		a.keyCommand(),
		a.memberCommand(),
		a.usageCommand(),
		a.explainCommand(),
		a.keygenCommand(),
		a.versionCommand(),
	)
}

// group is a command that only has subcommands.
func (a *app) group(name, usage, help string, subcommands ...*ffcli.Command) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.env.Stderr)
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  usage,
		ShortHelp:   help,
		LongHelp:    exitCodeHelp,
		FlagSet:     fs,
		Subcommands: subcommands,
		Exec: func(context.Context, []string) error {
			return flag.ErrHelp
		},
	}
}

// leaf describes a command that does something.
type leaf struct {
	name, args, help string
	long             string // more help, may be empty
	min, max         int    // number of arguments; a negative max is none
	flags            func(*flag.FlagSet)
	run              func(ctx context.Context, args []string) error
}

func (a *app) leaf(parent string, l leaf) *ffcli.Command {
	fs := flag.NewFlagSet(l.name, flag.ContinueOnError)
	fs.SetOutput(a.env.Stderr)
	fs.StringVar(&a.admin, "admin", defaultAdmin, "URL of a daemon's administration API")
	fs.StringVar(&a.caFile, "ca-file", "", "PEM file of the authority that signed the daemons' certificates")
	fs.DurationVar(&a.timeout, "timeout", defaultTimeout, "limit of one request")
	fs.StringVar(&a.format, "o", formatTable, "output: table or json")
	if l.flags != nil {
		l.flags(fs)
	}
	return &ffcli.Command{
		Name:       l.name,
		ShortUsage: fmt.Sprintf("burdockctl %s%s [flags] %s", parent, l.name, l.args),
		ShortHelp:  l.help,
		LongHelp:   l.long,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) < l.min || (l.max >= 0 && len(args) > l.max) {
				return exitf(a.usageExit, "usage: burdockctl %s%s [flags] %s", parent, l.name, l.args)
			}
			if a.format != formatTable && a.format != formatJSON {
				return exitf(a.usageExit, "-o must be %s or %s", formatTable, formatJSON)
			}
			return l.run(ctx, args)
		},
	}
}
