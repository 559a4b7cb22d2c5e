package ctl_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/burdockfold/burdockfold/internal/admin"
	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/control"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/ownership"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/core/usage"
	"github.com/burdockfold/burdockfold/internal/ctl"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/leaktest"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/sheet"
	"github.com/burdockfold/burdockfold/internal/standin/logserver"
)

const examples = "../../examples/"

func TestMain(m *testing.M) { leaktest.Main(m) }

// start is the time of all sessions.
var start = time.Date(2026, 3, 2, 5, 0, 0, 0, time.UTC)

// fakeCluster is one daemon of three that share the configuration, but for one
// that may lag.
type fakeCluster struct {
	host    ident.Host
	members []api.Member
	mu      *sync.Mutex // guards the fields below
	state   *config.State
	drained *[]ident.Host
}

func (f *fakeCluster) Self() ident.Member    { return ident.Member{Host: f.host, Incarnation: 1} }
func (f *fakeCluster) Ready() error          { return nil }
func (f *fakeCluster) Members() []api.Member { return f.members }

func (f *fakeCluster) InForce() *config.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.View()
}

func (f *fakeCluster) RecordChange(_ context.Context, c config.SignedChange) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Apply(c) == config.Accepted, nil
}

func (f *fakeCluster) Locate(s config.Service, key []byte) (api.Location, error) {
	m := f.members[0]
	return api.Location{
		Service: s.Name, Key: string(key), Slice: 5, Epoch: "3.1", CallerAddr: m.CallerAddr,
		Owner: ident.Member{Host: m.Host, Incarnation: m.Incarnation},
	}, nil
}

func (f *fakeCluster) Drain(_ context.Context, h ident.Host) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h != f.host {
		return errkind.New(errkind.NotFound, "this is %s", f.host)
	}
	*f.drained = append(*f.drained, h)
	return nil
}

// world is what a session talks to. Names in it replace addresses and paths in
// the golden files.
type world struct {
	t     *testing.T
	names map[string]string // by the word used in sessions
	state *config.State
	late  *config.State
}

// newWorld starts three daemons, of which the last takes no change in while
// lagging is set.
func newWorld(t *testing.T, lagging bool) *world {
	w := &world{t: t, names: map[string]string{"EXAMPLES": examples, "DIR": t.TempDir()}}
	roots, problems := sheet.Parse(strings.NewReader(readFile(t, examples+"shared.csv")))
	assert.Equal(t, len(problems), 0)
	keys := roots.Documents()[0].Document.Keys
	w.state, w.late = config.NewState(keys), config.NewState(keys)
	if !lagging {
		w.late = w.state
	}
	var listeners []net.Listener
	var members []api.Member
	for i, host := range []ident.Host{"bkk-a-1", "cnx-a-1", "hdy-a-1"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, l)
		word := fmt.Sprintf("ADDR%d", i+1)
		w.names[word] = l.Addr().String()
		members = append(members, api.Member{
			Host: host, Incarnation: 1, Region: "central", FailureDomain: "bkk-a",
			CallerAddr: "10.0.0.1:8080", AdminAddr: l.Addr().String(), Pool: "catalog", Slices: 21 + i,
		})
	}
	mu, drained := &sync.Mutex{}, &[]ident.Host{}
	for i, l := range listeners {
		c := &fakeCluster{host: members[i].Host, members: members, mu: mu, state: w.state, drained: drained}
		if i == 2 {
			c.state = w.late
		}
		w.serve(c, l)
	}
	for _, name := range []string{"siamsaw-1", "thiruvalla-1"} {
		file := filepath.Join(w.names["DIR"], name+".pem")
		assert.NilError(t, os.WriteFile(file, []byte(readFile(t, examples+"demo-keys/"+name+".pem")), 0o600))
	}
	return w
}

func (w *world) serve(c admin.Cluster, l net.Listener) {
	s, err := admin.NewServer(admin.Config{RatePerSecond: 1e6, Burst: 1e6}, admin.Deps{
		Cluster: c, Now: func() time.Time { return start }, Logger: zap.NewNop(),
	})
	assert.NilError(w.t, err)
	g := duty.NewGroup(context.Background())
	g.Go("admin", func(context.Context) error { return s.Serve(l) })
	w.t.Cleanup(func() {
		assert.NilError(w.t, s.Shutdown(context.Background()))
		assert.NilError(w.t, g.Wait())
	})
}

func readFile(t testing.TB, name string) string {
	data, err := os.ReadFile(name)
	assert.NilError(t, err)
	return string(data)
}

func (w *world) replace(text string, toWords bool) string {
	for word, value := range w.names {
		if toWords {
			word, value = value, word
		}
		text = strings.ReplaceAll(text, word, value)
	}
	return text
}

// run plays a script: a line starting with "$ " is a command, one starting with
// "+ FILE OLD NEW" edits a file of the directory. The transcript is compared
// with the golden file.
func (w *world) run(name string) {
	var out strings.Builder
	script := bufio.NewScanner(strings.NewReader(readFile(w.t, "testdata/"+name+".session")))
	for script.Scan() {
		line := script.Text()
		fmt.Fprintln(&out, line)
		switch {
		case strings.HasPrefix(line, "$ "):
			w.command(&out, strings.Fields(line)[2:])
		case strings.HasPrefix(line, "+ "):
			w.edit(strings.Fields(line)[1:])
		}
	}
	golden.Assert(w.t, w.replace(out.String(), true), name+".golden")
}

func (w *world) command(out *strings.Builder, args []string) {
	for i := range args {
		args[i] = w.replace(args[i], false)
	}
	var both bytes.Buffer
	code := ctl.Run(context.Background(), args, ctl.Env{
		Stdout: &both, Stderr: &both, Now: func() time.Time { return start },
	})
	out.WriteString(both.String())
	fmt.Fprintf(out, "[exit %d]\n\n", code)
}

// edit copies an example into the directory, with one text replaced.
func (w *world) edit(f []string) {
	source := filepath.Join(w.names["DIR"], f[0])
	if _, err := os.Stat(source); err != nil {
		source = examples + f[0]
	}
	text := strings.Replace(readFile(w.t, source), f[1], f[2], 1)
	assert.NilError(w.t, os.WriteFile(filepath.Join(w.names["DIR"], f[0]), []byte(text), 0o600))
}

func TestSessionOfBothPlanners(t *testing.T)     { newWorld(t, false).run("planners") }
func TestSessionWithALaggingDaemon(t *testing.T) { newWorld(t, true).run("lagging") }
func TestSessionOfAnOperator(t *testing.T)       { newWorld(t, false).run("operator") }

// TestSessionOfADispute verifies a log in which one statement was altered.
func TestSessionOfADispute(t *testing.T) {
	w := newWorld(t, false)
	server := logserver.New(logserver.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g := duty.NewGroup(context.Background())
	g.Go("log", func(context.Context) error { return server.Serve(l) })
	w.names["LOG"] = l.Addr().String()
	log, err := logservice.NewClient(logservice.ClientConfig{BaseURL: "http://" + l.Addr().String()})
	assert.NilError(t, err)
	fillLog(t, log)
	w.applyAndLog(log, "siamsaw.csv", "siamsaw-1")
	w.applyAndLog(log, "shared.csv", "siamsaw-1", "thiruvalla-1")
	w.run("dispute")
	assert.Assert(t, strings.Contains(readFile(t, filepath.Join(w.names["DIR"], "use.svg")), "Use by region"))
	log.Close()
	assert.NilError(t, server.Close())
	_ = g.Wait() // Serve reports its closed listener
}

// applyAndLog puts an example in force on the daemons and in the log, followed by
// a move and a drain.
func (w *world) applyAndLog(log logservice.Log, file string, keys ...string) {
	args := []string{"sheet", "apply", "-admin", "http://" + w.names["ADDR1"], "-save", filepath.Join(w.names["DIR"], "change")}
	for _, k := range keys {
		args = append(args, "-key", k+"="+filepath.Join(w.names["DIR"], k+".pem"))
	}
	env := ctl.Env{Stdout: io.Discard, Stderr: io.Discard, Now: func() time.Time { return start }}
	assert.Equal(w.t, ctl.Run(context.Background(), append(args, examples+file), env), ctl.ExitOK)
	var changes []config.SignedChange
	assert.NilError(w.t, codec.Unmarshal([]byte(readFile(w.t, filepath.Join(w.names["DIR"], "change"))), &changes))
	assert.Equal(w.t, w.state.Apply(changes[0]), config.Accepted)
	writer := ident.Member{Host: "a", Incarnation: 1}
	records := [][]byte{
		encode(w.t, record.Envelope{Writer: writer, Seq: 5, Body: &record.ConfigChanged{Change: changes[0]}}),
		encode(w.t, record.Envelope{Writer: writer, Seq: 6, Body: &record.Assigned{Moves: make([]record.Move, 3)}}),
		encode(w.t, record.Envelope{Writer: writer, Seq: 7, Body: &record.BackendChanged{Draining: true}}),
	}
	_, err := log.Append(context.Background(), logservice.ControlStream, records)
	assert.NilError(w.t, err)
}

func encode(t *testing.T, e record.Envelope) []byte {
	data, err := record.Encode(e)
	assert.NilError(t, err)
	return data
}

// snapshotOf returns the records of a snapshot that holds what the record says.
func snapshotOf(t *testing.T, e record.Envelope) [][]byte {
	state := ownership.NewState(control.NewConfigFold(nil))
	state.Apply(0, e)
	data, err := state.Snapshot()
	assert.NilError(t, err)
	var records [][]byte
	for _, c := range ownership.SplitSnapshot(1, 1, data, len(data)/2) {
		records = append(records, encode(t, record.Envelope{Writer: e.Writer, Seq: 2, Body: c}))
	}
	return records
}

// fillLog writes the joining of one member, a snapshot that holds the other, and
// three statements of each.
func fillLog(t *testing.T, log logservice.Log) {
	a, b := ident.Member{Host: "a", Incarnation: 1}, ident.Member{Host: "b", Incarnation: 1}
	var joins, statements [][]byte
	for i, m := range []ident.Member{a, b} {
		private := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{byte(i + 1)}, ed25519.SeedSize))
		join := &record.MemberJoined{Member: m, PublicKey: private.Public().(ed25519.PublicKey)}
		joined := record.Envelope{Writer: m, Seq: 1, Body: join}
		if m == a {
			joins = append(joins, encode(t, joined))
		} else {
			joins = append(joins, snapshotOf(t, joined)...)
		}
		chain := usage.NewChain(m, "north", private)
		for n := range int64(3) {
			line := usage.Line{Service: "catalog", Tenant: "siamsaw", Peer: b, PeerRegion: "north", Sent: true, Requests: 10, BytesIn: 100}
			if m == b {
				line.Peer, line.Sent, line.Executed, line.SlotMillis = a, false, 10, 50
			}
			lines := []usage.Line{line}
			if m == a {
				lines = []usage.Line{{Service: "catalog", Tenant: "siamsaw", Requests: 10}, line}
			}
			from := start.UnixMilli() + n*10_000
			s, err := chain.SignNext(from, from+10_000, lines)
			assert.NilError(t, err)
			if m == b && n == 1 {
				s.Statement.Lines[0].SlotMillis = 5000
			}
			data, err := codec.Marshal(s)
			assert.NilError(t, err)
			statements = append(statements, data)
		}
	}
	for stream, records := range map[logservice.Stream][][]byte{
		logservice.ControlStream: joins, logservice.UsageStream: statements,
	} {
		_, err := log.Append(context.Background(), stream, records)
		assert.NilError(t, err)
	}
}
