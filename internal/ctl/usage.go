package ctl

import (
	"context"
	"crypto/ed25519"
	"encoding/csv"
	"flag"
	"fmt"
	"io"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/control"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/core/usage"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

const readBatch = 1000 // records of one read

// usageRecord is what the log holds about use.
type usageRecord struct {
	report    usage.Report
	malformed int // records that are no statement
}

func (a *app) usageCommand() *ffcli.Command {
	var logURL string
	register := func(fs *flag.FlagSet) {
		fs.StringVar(&logURL, "log", "", "URL of the log service")
	}
	run := func(show func(usageRecord) error) func(context.Context, []string) error {
		return func(ctx context.Context, _ []string) error {
			r, err := a.readUsage(ctx, logURL)
			if err != nil {
				return err
			}
			return show(r)
		}
	}
	var csvOut bool
	var plotFile string
	return a.group("usage", "burdockctl usage <command>", "Report and verify the record of use. No daemon is asked.",
		a.leaf("usage ", leaf{
			name: "report", help: "Sum the use by tenant, service and region.",
			flags: func(fs *flag.FlagSet) {
				register(fs)
				fs.BoolVar(&csvOut, "csv", false, "write CSV")
				fs.StringVar(&plotFile, "plot", "", "draw the slot time into a file (.svg, .png or .pdf)")
			},
			run: run(func(r usageRecord) error { return a.reportUsage(r, csvOut, plotFile) }),
		}),
		a.leaf("usage ", leaf{
			name: "verify", help: "Check the chain and the signature of every statement.",
			flags: register,
			run:   run(a.verifyUsage),
		}),
		a.leaf("usage ", leaf{
			name: "compare", help: "Set the counts of both ends of each hop side by side.",
			flags: register,
			run:   run(a.compareUsage),
		}),
	)
}

// readUsage reads the usage stream and the members' public keys from the log
// and verifies the statements.
func (a *app) readUsage(ctx context.Context, url string) (usageRecord, error) {
	log, err := a.logClient(url)
	if err != nil {
		return usageRecord{}, err
	}
	defer log.Close()
	keys, err := readKeys(ctx, log)
	if err != nil {
		return usageRecord{}, err
	}
	in := usage.Input{Keys: keys}
	var r usageRecord
	oldest, err := readStream(ctx, log, logservice.UsageStream, func(e logservice.Entry) {
		var s usage.SignedStatement
		if codec.Unmarshal(e.Data, &s) != nil {
			r.malformed++
			return
		}
		in.Entries = append(in.Entries, usage.Entry{Offset: e.Offset, Statement: s})
	})
	if err != nil {
		return usageRecord{}, err
	}
	in.FromStart = oldest == 0
	r.report = usage.Verify(in)
	return r, nil
}

func (a *app) logClient(url string) (*logservice.Client, error) {
	if url == "" {
		return nil, exitf(ExitUsage, "-log is missing")
	}
	log, err := logservice.NewClient(logservice.ClientConfig{BaseURL: url, Timeout: a.timeout, RetryTime: a.timeout})
	if err != nil {
		return nil, exitf(ExitUsage, "-log: %w", err)
	}
	return log, nil
}

// readKeys returns the members' public keys that the control stream holds, in
// records of their joining and in the newest snapshot.
func readKeys(ctx context.Context, log logservice.Log) (map[ident.Member]ed25519.PublicKey, error) {
	keys := map[ident.Member]ed25519.PublicKey{}
	snapshots := ownership.NewAssembler()
	_, err := readStream(ctx, log, logservice.ControlStream, func(e logservice.Entry) {
		envelope, err := record.Decode(e.Data)
		if err != nil {
			return
		}
		switch body := envelope.Body.(type) {
		case *record.MemberJoined:
			keys[body.Member] = body.PublicKey
		case *record.SnapshotChunk:
			snapshots.AddChunk(body)
		}
	})
	if err != nil {
		return nil, err
	}
	data, _, ok := snapshots.NewestSnapshot()
	if !ok {
		return keys, nil
	}
	state, err := ownership.Restore(control.NewConfigFold(nil), data)
	if err != nil {
		return nil, exitf(ExitProblem, "snapshot in the control stream: %w", err)
	}
	for _, m := range state.Table().Members() {
		keys[m.Member] = m.PublicKey
	}
	return keys, nil
}

// readStream calls visit for each record that the stream holds now and returns
// the oldest offset.
func readStream(ctx context.Context, log logservice.Log, s logservice.Stream, visit func(logservice.Entry)) (ident.Offset, error) {
	bounds, err := log.Bounds(ctx, s)
	if err != nil {
		return 0, exitf(ExitUnreachable, "%s: %w", s, err)
	}
	for next := bounds.Oldest; next < bounds.Next; {
		entries, err := log.Read(ctx, s, next, readBatch)
		if err != nil {
			return 0, exitf(ExitUnreachable, "%s: %w", s, err)
		}
		if len(entries) == 0 {
			return 0, exitf(ExitUnreachable, "%s: no record at offset %d", s, next)
		}
		for _, e := range entries {
			visit(e)
			next = e.Offset + 1
		}
	}
	return bounds.Oldest, nil
}

var totalHeader = []string{
	"tenant", "service", "region", "requests", "refusals", "executed", "slot_ms", "bytes_in", "bytes_out", "interregion_bytes",
}

func totalCells(t usage.Total) []string {
	return []string{
		string(t.Tenant), string(t.Service), string(t.Region), fmt.Sprint(t.Requests), fmt.Sprint(t.Refusals),
		fmt.Sprint(t.Executed), fmt.Sprint(t.SlotMillis), fmt.Sprint(t.BytesIn), fmt.Sprint(t.BytesOut),
		fmt.Sprint(t.InterregionBytes),
	}
}

func (a *app) reportUsage(r usageRecord, csvOut bool, plotFile string) error {
	totals := usage.SumTotals(r.report.Statements)
	if plotFile != "" {
		if err := plotTotals(totals, plotFile); err != nil {
			return err
		}
	}
	g := grid{header: totalHeader}
	for _, t := range totals {
		g.add(totalCells(t)...)
	}
	if csvOut {
		w := csv.NewWriter(a.env.Stdout)
		if err := w.WriteAll(append([][]string{g.header}, g.rows...)); err != nil {
			return fmt.Errorf("output: %w", err)
		}
	} else if err := a.printGrid(totals, g); err != nil {
		return err
	}
	if !r.sound() {
		return exitf(ExitProblem, "the record is not sound; see usage verify")
	}
	return nil
}

func (r usageRecord) sound() bool { return r.report.Sound() && r.malformed == 0 }

// verifyView is the JSON output of usage verify.
type verifyView struct {
	Sound     bool                 `json:"sound"`
	Malformed int                  `json:"malformed"`
	Findings  []usage.Finding      `json:"findings"`
	Chains    []usage.ChainSummary `json:"chains"`
}

func (a *app) verifyUsage(r usageRecord) error {
	v := verifyView{Sound: r.sound(), Malformed: r.malformed, Findings: r.report.Findings, Chains: r.report.Chains}
	if err := a.print(v, v.write); err != nil {
		return err
	}
	if !v.Sound {
		return exitPrinted(ExitProblem)
	}
	return nil
}

func (v verifyView) write(w io.Writer) {
	g := grid{header: []string{"member", "first", "last", "statements", "until"}}
	for _, c := range v.Chains {
		g.add(c.Member.String(), fmt.Sprint(c.First), fmt.Sprint(c.Last), fmt.Sprint(c.Statements), formatMillis(c.Until))
	}
	g.write(w)
	fmt.Fprintln(w)
	for _, f := range v.Findings {
		fmt.Fprintln(w, f)
	}
	if v.Malformed > 0 {
		fmt.Fprintf(w, "%d records are no statements\n", v.Malformed)
	}
	if v.Sound {
		fmt.Fprintln(w, "the record is sound")
	} else {
		fmt.Fprintln(w, "the record is NOT sound")
	}
}

// compareView is the JSON output of usage compare.
type compareView struct {
	UnreconciledRatio float64            `json:"unreconciled_ratio"`
	Regions           []usage.RegionPair `json:"regions"`
	Pairs             []usage.MemberPair `json:"pairs"`
}

func (a *app) compareUsage(r usageRecord) error {
	v := compareView{
		Regions: usage.ReconcileRegions(r.report.Statements),
		Pairs:   usage.ReconcileMembers(r.report.Statements),
	}
	v.UnreconciledRatio = usage.UnreconciledRatio(v.Pairs, v.Regions)
	if err := a.print(v, v.write); err != nil {
		return err
	}
	if !v.agrees() {
		return exitPrinted(ExitProblem)
	}
	return nil
}

func (v compareView) agrees() bool {
	return !slices.ContainsFunc(v.Pairs, func(p usage.MemberPair) bool { return !p.Agrees() }) &&
		!slices.ContainsFunc(v.Regions, func(p usage.RegionPair) bool { return !p.Agrees() })
}

func (v compareView) write(w io.Writer) {
	regions := grid{header: []string{"from region", "to region", "service", "sent", "received", "sent_bytes", "received_bytes", "agrees"}}
	for _, p := range v.Regions {
		regions.add(append([]string{string(p.From), string(p.To), string(p.Service)}, countCells(p.Sent, p.Received, p.Agrees())...)...)
	}
	regions.write(w)
	fmt.Fprintln(w)
	daemons := grid{header: []string{"from daemon", "to daemon", "service", "sent", "received", "sent_bytes", "received_bytes", "agrees"}}
	for _, p := range v.Pairs {
		if p.Itemized {
			daemons.add(append([]string{p.From.String(), p.To.String(), string(p.Service)}, countCells(p.Sent, p.Received, p.Agrees())...)...)
		}
	}
	daemons.write(w)
	fmt.Fprintf(w, "\nunreconciled ratio %.6f\n", v.UnreconciledRatio)
}

func countCells(sent, received usage.HopCounts, agrees bool) []string {
	return []string{
		fmt.Sprint(sent.Requests), fmt.Sprint(received.Requests),
		fmt.Sprint(sent.BytesIn + sent.BytesOut), fmt.Sprint(received.BytesIn + received.BytesOut), fmt.Sprint(agrees),
	}
}
