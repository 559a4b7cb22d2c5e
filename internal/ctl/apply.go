package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/sheet"
)

const defaultWait = 30 * time.Second

// applyOptions are the flags of sheet apply.
type applyOptions struct {
	keys   keyFlags
	remove removeFlags
	author string
	base   uint64
	wait   time.Duration
	save   string
	change string
}

func (o *applyOptions) register(fs *flag.FlagSet) {
	o.keys.register(fs)
	o.remove.register(fs)
	fs.StringVar(&o.author, "author", "", "name of the planner, shown in the history")
	fs.Uint64Var(&o.base, "base", 0, "version the sheet was made from; default: the one in force now")
	fs.DurationVar(&o.wait, "wait", defaultWait, "how long to wait until the sheet is in force on all daemons")
	fs.StringVar(&o.save, "save", "", "sign and write the changes to a file instead of applying them")
	fs.StringVar(&o.change, "change", "", "apply the changes of a file that -save wrote, with further signatures")
}

func (a *app) sheetApply() *ffcli.Command {
	var o applyOptions
	return a.leaf("sheet ", leaf{
		name: "apply", args: "[<file>]", min: 0, max: 1,
		help: "Sign a sheet, apply it and wait until it is in force on all daemons.",
		long: "Of two sheets made from the same version the first in the log wins; the other\n" +
			"ends with exit code 4 and the differences. A change of the shared part needs a\n" +
			"key of every tenant: give -key twice, or let one planner -save the signed\n" +
			"change and the other apply it with -change and the second -key.",
		flags: o.register,
		run: func(ctx context.Context, args []string) error {
			if (len(args) == 1) == (o.change != "") {
				return exitf(ExitUsage, "give either a sheet or -change FILE")
			}
			return a.apply(ctx, args, &o)
		},
	})
}

func (a *app) apply(ctx context.Context, args []string, o *applyOptions) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	changes, err := a.changesOf(ctx, c, args, o)
	if err != nil {
		return err
	}
	if err := sign(changes, o.keys); err != nil {
		return err
	}
	if o.save != "" {
		return saveChanges(o.save, changes)
	}
	targets := map[config.Scope]config.Version{}
	for _, sc := range changes {
		if err := a.send(ctx, c, sc); err != nil {
			return err
		}
		targets[sc.Change.Scope] = sc.Change.Base + 1
	}
	if len(changes) == 0 {
		fmt.Fprintln(a.env.Stderr, "the sheet equals what this daemon has in force")
	}
	return a.awaitInForce(ctx, c, targets, o.wait)
}

// changesOf returns the unsigned changes of a sheet, or those of a file.
func (a *app) changesOf(ctx context.Context, c *client, args []string, o *applyOptions) ([]config.SignedChange, error) {
	if o.change != "" {
		return loadChanges(o.change)
	}
	plans, err := a.planOf(ctx, c, args[0], sheet.ChangeOptions{
		Author: o.author, Time: a.env.Now().UnixMilli(), RemovedNames: o.remove,
	})
	if err != nil {
		return nil, err
	}
	var changes []config.SignedChange
	for _, p := range plans {
		if o.base > 0 {
			p.Change.Base = config.Version(o.base)
		}
		changes = append(changes, config.SignedChange{Change: p.Change})
	}
	return changes, nil
}

func sign(changes []config.SignedChange, flags keyFlags) error {
	keys, err := flags.load()
	if err != nil {
		return err
	}
	for i := range changes {
		for _, k := range keys {
			s, err := config.Sign(changes[i].Change, k.name, k.key)
			if err != nil {
				return err
			}
			changes[i].Signatures = append(changes[i].Signatures, s)
		}
	}
	return nil
}

func saveChanges(file string, changes []config.SignedChange) error {
	data, err := codec.Marshal(changes)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, keyFileMode); err != nil {
		return fmt.Errorf("sheet: %w", err)
	}
	return nil
}

func loadChanges(file string) ([]config.SignedChange, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("sheet: %w", err)
	}
	var changes []config.SignedChange
	if err := codec.Unmarshal(data, &changes); err != nil {
		return nil, exitf(ExitRefused, "%s holds no signed changes: %w", file, err)
	}
	return changes, nil
}

// send posts a change and prints its outcome.
func (a *app) send(ctx context.Context, c *client, sc config.SignedChange) error {
	body, err := codec.Marshal(sc)
	if err != nil {
		return err
	}
	var result api.ChangeResult
	_, err = c.do(ctx, fasthttp.MethodPost, a.admin+api.PathChanges, api.ContentTypeCBOR, body, &result)
	if err != nil {
		return err
	}
	if result.Outcome == config.Accepted.String() {
		fmt.Fprintf(a.env.Stderr, "%s: version %d is accepted\n", sc.Change.Scope, sc.Change.Base+1)
		return nil
	}
	err = a.print(result, func(w io.Writer) { writeRefusal(w, sc.Change, result) })
	if err != nil {
		return err
	}
	if result.Outcome == config.Conflict.String() || result.Outcome == api.OutcomeSuperseded {
		return exitPrinted(ExitConflict)
	}
	return exitPrinted(ExitRefused)
}

func writeRefusal(w io.Writer, c config.Change, r api.ChangeResult) {
	if r.Outcome == api.OutcomeSuperseded {
		fmt.Fprintf(w, "%s: was accepted as version %d and replaced since; in force is version %d by %q\n",
			c.Scope, c.Base+1, r.InForce.Version, r.InForce.Author)
		return
	}
	fmt.Fprintf(w, "%s: %s; nothing of it is in force\n", c.Scope, r.Outcome)
	for _, f := range r.Faults {
		fmt.Fprintf(w, "  %s\n", f)
	}
	if r.Outcome != config.Conflict.String() {
		return
	}
	fmt.Fprintf(w, "the sheet was made from version %d; in force is version %d by %q\n", c.Base, r.InForce.Version, r.InForce.Author)
	fmt.Fprintln(w, "from this sheet to what is in force:")
	for _, d := range r.Differences {
		fmt.Fprintf(w, "  %s\n", d)
	}
}

// applied is the JSON output of sheet apply.
type applied struct {
	Versions map[config.Scope]config.Version `json:"versions"`
	Daemons  int                             `json:"daemons"`
	InForce  int                             `json:"in_force"`
	Lagging  []lagging                       `json:"lagging"`
}
