package daemon_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/burdockfold/burdockfold/internal/bench/testbed"
	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
	"github.com/burdockfold/burdockfold/internal/core/usage"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/logservice"
)

// callers send plain requests without retries and count what they see.
type callers struct {
	addrs  []string
	client *http.Client
}

// run sends n requests, a tenth of them without the key they need, and returns
// the counts by service.
func (c *callers) run(seed uint64, n int) (map[ident.Service]usage.Total, error) {
	random := rand.New(rand.NewPCG(seed, seed))
	totals := map[ident.Service]usage.Total{}
	for range n {
		service, path := ident.Service("catalog"), fmt.Sprintf("/catalog/k%d/x", random.IntN(100))
		switch {
		case random.IntN(10) == 0:
			path = "/catalog"
		case random.IntN(3) == 0:
			service, path = "bidding", "/bidding/x"
		}
		body := bytes.Repeat([]byte("x"), random.IntN(2000))
		resp, err := c.client.Post("http://"+c.addrs[random.IntN(len(c.addrs))]+path, "", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return nil, err
		}
		t := totals[service]
		t.Requests++
		switch {
		case resp.StatusCode == http.StatusOK:
			t.BytesIn += uint64(len(body))
			t.BytesOut += uint64(len(answer))
		case resp.Header.Get("Burdock-Truth") == "not-run":
			t.Refusals++
		}
		totals[service] = t
	}
	return totals, nil
}

// verified returns the sound statements of the log.
func (c *cluster) verified() []usage.Statement {
	c.t.Helper()
	in := usage.Input{FromStart: true, Keys: map[ident.Member]ed25519.PublicKey{}}
	for _, e := range c.Log.Entries(string(logservice.ControlStream)) {
		env, err := record.Decode(e.Data)
		assert.NilError(c.t, err)
		if b, ok := env.Body.(*record.MemberJoined); ok {
			in.Keys[b.Member] = b.PublicKey
		}
	}
	for _, e := range c.Log.Entries(string(logservice.UsageStream)) {
		entry := usage.Entry{Offset: ident.Offset(e.Offset)}
		assert.NilError(c.t, codec.Unmarshal(e.Data, &entry.Statement))
		in.Entries = append(in.Entries, entry)
	}
	report := usage.Verify(in)
	assert.Assert(c.t, report.Sound(), "%v", report.Findings)
	return report.Statements
}

// awaitServices waits until every daemon knows the services: before that it
// cannot say whose use a request is.
func (c *cluster) awaitServices() {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for i, s := range c.Sites {
			if !s.Daemon.Serves("catalog") || !s.Daemon.Serves("bidding") {
				return poll.Continue("site %d does not know the services", i)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(limit), poll.WithDelay(10*time.Millisecond))
}

// TestUseIsWhatCallersAndServersCounted drains one site during the load and the
// others after it, so that every statement is in the log.
func TestUseIsWhatCallersAndServersCounted(t *testing.T) {
	c := start(t, sites(testbed.SiteConfig{})...)
	c.awaitServices()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	load := callers{addrs: c.CallerAddrs(1, 2, 3, 4), client: &http.Client{Timeout: limit, Transport: transport}}
	const workers, each = 4, 300
	results := make(chan map[ident.Service]usage.Total, workers)
	g := duty.NewGroup(context.Background())
	for w := range workers {
		g.Go("caller", func(context.Context) error {
			totals, err := load.run(uint64(w), each)
			results <- totals
			return err
		})
	}
	assert.NilError(t, c.Sites[0].StopDaemon())
	assert.NilError(t, g.Wait())
	transport.CloseIdleConnections()
	for _, s := range c.Sites[1:] {
		assert.NilError(t, s.StopDaemon())
	}

	want := map[ident.Service]usage.Total{}
	for range workers {
		for service, t := range <-results {
			want[service] = sum(want[service], t)
		}
	}
	for _, e := range c.Events() {
		if !e.End {
			want[e.Service] = sum(want[e.Service], usage.Total{Executed: 1})
		}
	}
	statements := c.verified()
	totals := usage.SumTotals(statements)
	assert.Equal(t, len(totals), 2)
	for _, got := range totals {
		w := want[got.Service]
		assert.Equal(t, got.Tenant, testbed.Tenant)
		assert.DeepEqual(t, []uint64{got.Requests, got.Refusals, got.Executed}, []uint64{w.Requests, w.Refusals, w.Executed})
		assert.Assert(t, got.BytesIn >= w.BytesIn && got.BytesOut >= w.BytesOut, "%+v, want %+v", got, w)
		t.Logf("%s: %+v, callers and servers %+v", got.Service, got, w)
	}
	pairs, regions := usage.ReconcileMembers(statements), usage.ReconcileRegions(statements)
	assert.Assert(t, len(pairs) > 0)
	for _, p := range pairs {
		assert.Equal(t, p.Sent.Requests, p.Received.Requests, "%+v", p)
	}
	assert.Equal(t, usage.UnreconciledRatio(pairs, regions), 0.0)
}

func sum(a, b usage.Total) usage.Total {
	a.Requests += b.Requests
	a.Refusals += b.Refusals
	a.Executed += b.Executed
	a.BytesIn += b.BytesIn
	a.BytesOut += b.BytesOut
	return a
}
