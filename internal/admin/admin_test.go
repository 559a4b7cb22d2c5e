package admin_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/burdockfold/burdockfold/internal/admin"
	"github.com/burdockfold/burdockfold/internal/admin/api"
	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/leaktest"
	"github.com/burdockfold/burdockfold/internal/logservice"
	"github.com/burdockfold/burdockfold/internal/telemetry"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

var (
	keyA = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))
	keyB = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{2}, ed25519.SeedSize))
	now  = time.Date(2026, 3, 2, 5, 0, 0, 0, time.UTC)
)

// fakeCluster folds changes at once, or loses them.
type fakeCluster struct {
	mu      sync.Mutex // guards the fields below
	state   *config.State
	drained []ident.Host
	lose    error
	rival   *config.SignedChange // folds before the next change
	stale   *config.View         // shown instead of what was folded
}

func newCluster() *fakeCluster {
	return &fakeCluster{state: config.NewState([]config.Key{
		{Name: "a", Tenant: "siamsaw", PublicKey: keyA.Public().(ed25519.PublicKey)},
		{Name: "b", Tenant: "thiruvalla", PublicKey: keyB.Public().(ed25519.PublicKey)},
	})}
}

func (f *fakeCluster) Self() ident.Member { return ident.Member{Host: "h1", Incarnation: 1} }
func (f *fakeCluster) Ready() error       { return errkind.New(errkind.Draining, "leaving") }
func (f *fakeCluster) Members() []api.Member {
	return []api.Member{{Host: "h1", Pool: "catalog"}, {Host: "h2"}}
}

func (f *fakeCluster) InForce() *config.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale != nil {
		return f.stale
	}
	return f.state.View()
}

func (f *fakeCluster) RecordChange(_ context.Context, c config.SignedChange) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lose != nil {
		return false, f.lose
	}
	if f.rival != nil {
		f.state.Apply(*f.rival)
	}
	return f.state.Apply(c) == config.Accepted, nil
}

func (f *fakeCluster) Locate(config.Service, []byte) (api.Location, error) {
	return api.Location{}, errkind.New(errkind.NoOwner, "nobody")
}

func (f *fakeCluster) Drain(_ context.Context, h ident.Host) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = append(f.drained, h)
	return nil
}

// fakeLog holds ten usage records from offset 5 on.
type fakeLog struct{ logservice.Log }

func (fakeLog) Bounds(context.Context, logservice.Stream) (logservice.Bounds, error) {
	return logservice.Bounds{Oldest: 5, Next: 15}, nil
}

func (fakeLog) Read(_ context.Context, _ logservice.Stream, from ident.Offset, limit int) ([]logservice.Entry, error) {
	var entries []logservice.Entry
	for o := from; o < 15 && len(entries) < limit; o++ {
		entries = append(entries, logservice.Entry{Offset: o, Data: []byte{byte(o)}})
	}
	return entries, nil
}

var unlimited = admin.Config{RatePerSecond: 1e6, Burst: 1e6}

// harness calls a server without a socket.
type harness struct {
	t       *testing.T
	server  *admin.Server
	cluster *fakeCluster
	logs    bytes.Buffer
	now     time.Time
}

func newHarness(t *testing.T, c admin.Config) *harness {
	h := &harness{t: t, cluster: newCluster(), now: now}
	logger, err := telemetry.NewLogger(&h.logs, "info")
	assert.NilError(t, err)
	h.server, err = admin.NewServer(c, admin.Deps{
		Cluster: h.cluster, Log: fakeLog{}, Now: func() time.Time { return h.now }, Logger: logger,
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "m 1") }),
	})
	assert.NilError(t, err)
	return h
}

// call returns the status and the body, or the kind of problem details.
func (h *harness) call(method, path string, body []byte) (int, string) {
	req := httptest.NewRequest(method, path, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.server.Test(req)
	assert.NilError(h.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(h.t, err)
	if resp.Header.Get("Content-Type") != errkind.ProblemMediaType {
		return resp.StatusCode, string(data)
	}
	var p errkind.Problem
	assert.NilError(h.t, json.Unmarshal(data, &p))
	return resp.StatusCode, p.Kind
}

func signed(t testing.TB, c config.Change, name string, key ed25519.PrivateKey) []byte {
	s, err := config.Sign(c, name, key)
	assert.NilError(t, err)
	data, err := codec.Marshal(config.SignedChange{Change: c, Signatures: []config.Signature{s}})
	assert.NilError(t, err)
	return data
}

func change(pool string, base config.Version, author string) config.Change {
	doc := config.Document{Pools: []config.Pool{{Name: ident.Pool(pool), Tenant: "siamsaw"}}}
	return config.Change{Scope: "siamsaw", Base: base, Author: author, Document: doc}
}

func TestEveryAnswerIsOfTheClosedList(t *testing.T) {
	h := newHarness(t, unlimited)
	cases := []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"GET", "/healthz", "", 200, `{"member":{"Host":"h1","Incarnation":1},"ok":true}`},
		{"GET", "/readyz", "", 503, `{"member":{"Host":"h1","Incarnation":1},"ok":false,"reason":"draining: leaving"}`},
		{"GET", "/metrics", "", 200, "m 1"},
		{"GET", "/nothing", "", 404, "not-found"},
		{"DELETE", "/v1/members", "", 404, "not-found"},
		{"GET", "/v1/keys/locate?service=none&key=k", "", 404, "unknown-service"},
		{"POST", "/v1/changes", "{}", 400, "malformed"},
		{"POST", "/v1/members/h1/drain", "[1", 400, "malformed"},
		{"GET", "/v1/usage?from=13&limit=1", "", 200, `{"oldest":5,"next":15,"entries":[{"offset":13,"data":"DQ=="}]}`},
		{"GET", "/v1/usage?from=99", "", 200, `{"oldest":5,"next":15,"entries":null}`},
		{"GET", "/v1/usage?from=-1", "", 400, "malformed"},
	}
	for _, c := range cases {
		status, got := h.call(c.method, c.path, []byte(c.body))
		assert.Equal(t, status, c.status, "%s %s: %s", c.method, c.path, got)
		assert.Equal(t, got, c.want, "%s %s", c.method, c.path)
	}
}

// TestRacingChangesHaveOneWinner lets two planners change the same version at
// once, many times.
func TestRacingChangesHaveOneWinner(t *testing.T) {
	races := 50
	if os.Getenv("BURDOCK_LONG") != "" {
		races = 1000
	}
	h := newHarness(t, unlimited)
	for base := range config.Version(races) {
		results := make([]api.ChangeResult, 2)
		g := duty.NewGroup(context.Background())
		for i, author := range []string{"mali", "niran"} {
			body := signed(t, change("pool-"+author, base, author), "a", keyA)
			g.Go(author, func(context.Context) error {
				_, text := h.call("POST", api.PathChanges, body)
				return json.Unmarshal([]byte(text), &results[i])
			})
		}
		assert.NilError(t, g.Wait())
		outcomes := results[0].Outcome + " " + results[1].Outcome
		assert.Assert(t, outcomes == "accepted conflict" || outcomes == "conflict accepted", outcomes)
		for _, r := range results {
			assert.Equal(t, r.InForce.Version, base+1)
			assert.Equal(t, len(r.Differences) > 0, r.Outcome == "conflict")
		}
	}
	assert.Equal(t, strings.Count(h.logs.String(), "msg=audit action=config_change"), 2*races)
}

// TestLogDecidesBetweenCheckAndFold lets a rival's change fold first, and lets
// the table be published late.
func TestLogDecidesBetweenCheckAndFold(t *testing.T) {
	h := newHarness(t, unlimited)
	h.cluster.rival = &config.SignedChange{}
	assert.NilError(t, codec.Unmarshal(signed(t, change("rival", 0, "niran"), "a", keyA), h.cluster.rival))
	status, text := h.call("POST", api.PathChanges, signed(t, change("mine", 0, "mali"), "a", keyA))
	assert.Equal(t, status, 409, text)
	assert.Assert(t, cmp.Contains(text, `"version":1,"author":"niran"`))

	h.cluster.rival = nil
	h.cluster.stale = h.cluster.state.View()
	status, text = h.call("POST", api.PathChanges, signed(t, change("mine", 1, "mali"), "a", keyA))
	assert.Equal(t, status, 200, text)
	assert.Assert(t, cmp.Contains(text, `"version":2,"author":"mali"`))
}

func TestChangeRepeatedAfterALostAnswerIsAccepted(t *testing.T) {
	h := newHarness(t, unlimited)
	body := signed(t, change("p", 0, "mali"), "a", keyA)
	h.cluster.lose = errkind.New(errkind.OutcomeUnknown, "no answer")
	status, kind := h.call("POST", api.PathChanges, body)
	assert.Equal(t, fmt.Sprint(status, " ", kind), "502 outcome-unknown")
	h.cluster.lose = nil
	for range 2 {
		status, text := h.call("POST", api.PathChanges, body)
		assert.Equal(t, status, 200)
		assert.Assert(t, cmp.Contains(text, `"outcome":"accepted","in_force":{"scope":"siamsaw","version":1`))
	}
	status, text := h.call("POST", api.PathChanges, signed(t, change("q", 1, "mali"), "a", keyA))
	assert.Equal(t, status, 200, text)
	status, text = h.call("POST", api.PathChanges, body)
	assert.Equal(t, status, 409, text)
	assert.Assert(t, cmp.Contains(text, `"outcome":"superseded","in_force":{"scope":"siamsaw","version":2`))
	status, text = h.call("POST", api.PathChanges, signed(t, change("p", 1, "anju"), "b", keyB))
	assert.Equal(t, status, 403, text)
	status, text = h.call("POST", api.PathChanges, signed(t, change("p p", 2, "mali"), "a", keyA))
	assert.Equal(t, status, 422, text)
	assert.Assert(t, cmp.Contains(text, "pool p p: name: is not a valid name"))
}

func TestDrainNeedsAFreshProofOfTheTenant(t *testing.T) {
	h := newHarness(t, unlimited)
	_, text := h.call("POST", api.PathChanges, signed(t, change("catalog", 0, "mali"), "a", keyA))
	assert.Assert(t, cmp.Contains(text, "accepted"))
	prove := func(path, name string, key ed25519.PrivateKey, at time.Time) []byte {
		p, err := api.NewProof(fiber.MethodPost, path, name, key, at)
		assert.NilError(t, err)
		data, err := json.Marshal(p)
		assert.NilError(t, err)
		return data
	}
	path := api.DrainPath("h1")
	good := prove(path, "a", keyA, now)
	cases := []struct {
		name string
		body []byte
		want string
	}{
		{"another tenant", prove(path, "b", keyB, now), "403 forbidden"},
		{"another's key", prove(path, "a", keyB, now), "401 unauthorized"},
		{"another path", prove(api.DrainPath("h2"), "a", keyA, now), "401 unauthorized"},
		{"old", prove(path, "a", keyA, now.Add(-2*time.Minute)), "401 unauthorized"},
		{"early", prove(path, "a", keyA, now.Add(2*time.Minute)), "401 unauthorized"},
		{"unknown key", prove(path, "c", keyA, now), "401 unauthorized"},
		{"replayed", good, "401 unauthorized"},
	}
	status, text := h.call("POST", path, good)
	assert.Equal(t, status, 202, text)
	for _, c := range cases {
		status, kind := h.call("POST", path, c.body)
		assert.Equal(t, fmt.Sprint(status, " ", kind), c.want, c.name)
	}
	assert.DeepEqual(t, h.cluster.drained, []ident.Host{"h1"})
	assert.Equal(t, strings.Count(h.logs.String(), "msg=audit action=drain"), 1+len(cases))
}

func TestRateLimit(t *testing.T) {
	h := newHarness(t, admin.Config{RatePerSecond: 1, Burst: 1})
	status, _ := h.call("GET", api.PathMembers, nil)
	assert.Equal(t, status, 200)
	status, kind := h.call("GET", api.PathMembers, nil)
	assert.Equal(t, fmt.Sprint(status, " ", kind), "429 rate-limited")
	status, _ = h.call("GET", api.PathHealth, nil)
	assert.Equal(t, status, 200)
	h.now = h.now.Add(2 * time.Second)
	status, _ = h.call("GET", api.PathMembers, nil)
	assert.Equal(t, status, 200)
}
