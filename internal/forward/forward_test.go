package forward_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// request returns a caller's POST request to a service.
func (c *cluster) request(id, service string, body []byte) *pipeline.Request {
	r := &pipeline.Request{ID: id, Method: "POST", URI: "/" + service + "/key/x", Arrived: c.clock.Now(), ContentLength: int64(len(body))}
	if len(body) > 0 {
		r.Body = bytes.NewReader(body)
	}
	return r
}

// do sends the request to the daemon with the given index and reads the whole
// answer.
func (c *cluster) do(at int, r *pipeline.Request) (*pipeline.Response, []byte, error) {
	resp, err := c.nodes[at].caller.Handle(context.Background(), r)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp, b, err
}

func truth(err error) errkind.Truth { return errkind.As(err).Answer().Truth }

// TestTruthUnderFaults draws faults of the mesh, stale tables and changes of the
// owner. It checks that the execution status that the caller receives agrees with
// the runs on the backend servers.
func TestTruthUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(4)
		for i := range rapid.IntRange(1, 6).Draw(t, "requests") {
			c.faults = rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, unsent, requestLost, answerLost, answerCut}), 0, 5).Draw(t, "faults")
			c.owner = rapid.IntRange(0, 3).Draw(t, "owner")
			for _, n := range c.nodes {
				n.tableTargets = rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 1, 3, rapid.ID[int]).Draw(t, "table")
			}
			service := rapid.SampledFrom([]string{"keyed", "repeatable", "pooled"}).Draw(t, "service")
			id := fmt.Sprint(i)
			body := bytes.Repeat([]byte(id), rapid.SampledFrom([]int{0, 10, 200 << 10}).Draw(t, "size"))
			r := c.request(id, service, body)
			r.Deadline = r.Arrived.Add(50 * time.Millisecond)
			_, got, err := c.do(rapid.IntRange(0, 3).Draw(t, "at"), r)
			runs := c.runs[id]
			switch {
			case err == nil:
				assert.Assert(t, bytes.Equal(got, body), "an answer that is not whole or not its own")
				assert.Assert(t, runs >= 1)
			case truth(err) == errkind.NotRun:
				assert.Equal(t, runs, 0, "said not run: %v", err)
			case truth(err) == errkind.Ran:
				assert.Assert(t, runs >= 1, "said ran: %v", err)
			}
			if service != "repeatable" {
				assert.Assert(t, runs <= 1, "ran %d times", runs)
			}
		}
	})
}

// A daemon with a stale table forwards a request at most once more, even if the
// tables form a cycle.
func TestStaleTableCostsOneMoreHopAndNeverALoop(t *testing.T) {
	c := newCluster(3)
	c.owner = 2
	c.nodes[0].tableTargets, c.nodes[1].tableTargets = []int{1}, []int{2}
	resp, got, err := c.do(0, c.request("a", "keyed", []byte("hello")))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "hello")
	assert.Equal(t, resp.ServedBy, member(2))
	assert.Equal(t, resp.OwnerAddr, "caller-2")
	assert.Equal(t, c.maxOpenHops, 2)

	c.nodes[2].tableTargets, c.owner = []int{0}, -1 // every table is wrong, and together they form a cycle
	r := c.request("b", "keyed", nil)
	r.Deadline = r.Arrived.Add(20 * time.Millisecond)
	_, _, err = c.do(0, r)
	assert.Equal(t, truth(err), errkind.NotRun)
	assert.Equal(t, c.maxOpenHops, 2)
}

// A refusal must not be reported as not-run if an earlier attempt may have run.
func TestRefusalAfterALostAttemptIsNotNotRun(t *testing.T) {
	c := newCluster(2)
	c.faults = []fault{answerLost}
	for range 100 {
		c.faults = append(c.faults, unsent)
	}
	r := c.request("a", "repeatable", nil)
	r.Deadline = r.Arrived.Add(100 * time.Millisecond)
	_, _, err := c.do(1, r)
	assert.Equal(t, c.runs["a"], 1)
	assert.Equal(t, truth(err), errkind.Unknown)
}

func TestErrorCrossesAHopUnchanged(t *testing.T) {
	c := newCluster(2)
	c.nodes[0].backend = func(context.Context, *pipeline.Request) (*pipeline.Response, error) {
		return nil, &errkind.Error{Kind: errkind.BackendRefused, Truth: errkind.Unknown, Detail: "d", RetryAfter: 3 * time.Second}
	}
	_, _, err := c.do(1, c.request("a", "keyed", nil))
	assert.DeepEqual(t, errkind.As(err), &errkind.Error{Kind: errkind.BackendRefused, Truth: errkind.Unknown, Detail: "d", RetryAfter: 3 * time.Second})
}

func TestRequestWaitsForTheNextOwner(t *testing.T) {
	c := newCluster(2)
	c.owner = -1
	c.nodes[0].tableTargets = []int{0, 1}
	go func() {
		time.Sleep(30 * time.Millisecond)
		c.mu.Lock()
		c.owner = 1
		c.mu.Unlock()
	}()
	resp, got, err := c.do(0, c.request("a", "keyed", []byte("hello")))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "hello")
	assert.Equal(t, resp.ServedBy, member(1))
}

// For a backend server that does not check grants, a request whose deadline is
// later than the end of the lease must not be dispatched.
func TestServerThatDoesNotCheckGrantsIsGuarded(t *testing.T) {
	c := newCluster(1)
	n := c.nodes[0]
	n.checksGrants = false
	n.leaseEnd = c.clock.Now().Add(time.Second) // shorter than the deadline
	r := c.request("a", "keyed", nil)
	r.Deadline = r.Arrived.Add(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := n.caller.Handle(ctx, r)
	assert.Equal(t, truth(err), errkind.NotRun)
	assert.Equal(t, c.runs["a"], 0)
	r = c.request("b", "keyed", nil)
	r.Deadline = r.Arrived.Add(500 * time.Millisecond)
	_, _, err = c.do(0, r)
	assert.NilError(t, err)
}

// Concurrent repeats run once, and so does a repeat that reaches the next owner
// after a handoff that moved the records.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	c := newCluster(2)
	started, proceed := make(chan struct{}), make(chan struct{})
	c.nodes[0].backend = func(ctx context.Context, r *pipeline.Request) (*pipeline.Response, error) {
		close(started) // panics on a second run
		<-proceed
		return c.nodes[0].run(ctx, r)
	}
	keyed := func(id string) *pipeline.Request {
		r := c.request(id, "keyed", []byte("bid"))
		r.IdempotencyKey = "k"
		return r
	}
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			_, got, err := c.do(i%2, keyed(fmt.Sprint(i)))
			assert.Check(t, err)
			assert.Check(t, string(got) == "bid", "%q", got)
		})
	}
	<-started
	close(proceed)
	wg.Wait()
	assert.Equal(t, len(c.runs), 1)

	data, err := c.nodes[0].idempotency.ExportSlice(slice)
	assert.NilError(t, err)
	assert.NilError(t, c.nodes[1].idempotency.ImportSlice(slice, data))
	c.owner, c.nodes[0].tableTargets, c.nodes[1].tableTargets = 1, []int{1}, []int{1}
	_, got, err := c.do(0, keyed("after the handoff"))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "bid")
	assert.Equal(t, len(c.runs), 1)
}

// A repeat to a pooled service finds the record through any daemon, even if the
// first answer was lost on the way back. While the daemon that holds the record is
// unreachable, the repeat is not sent to another daemon.
func TestPooledKeyStaysWithItsRecord(t *testing.T) {
	for _, f := range []fault{answerLost, answerCut, noFault} {
		c := newCluster(4)
		for i, n := range c.nodes {
			n.tableTargets = []int{i, (i + 1) % 4, (i + 2) % 4, (i + 3) % 4}
		}
		for i := range 8 {
			c.faults = []fault{f}
			r := c.request(fmt.Sprint(i), "pooled", []byte("deposit"))
			r.IdempotencyKey = "k"
			if _, got, err := c.do(i%4, r); err == nil {
				assert.Equal(t, string(got), "deposit")
			}
		}
		assert.Equal(t, len(c.runs), 1)
		for range 3 {
			c.faults = []fault{unsent, unsent, unsent, unsent, unsent, unsent, unsent, unsent}
			r := c.request("later", "pooled", []byte("deposit"))
			r.IdempotencyKey, r.Deadline = "k", r.Arrived.Add(20*time.Millisecond)
			_, _, err := c.do(0, r)
			assert.Assert(t, err == nil || truth(err) == errkind.NotRun)
		}
		assert.Equal(t, len(c.runs), 1)
	}
}

// A panic gives an unknown outcome and releases the slot of the request.
func TestPanicIsAnUnknownOutcome(t *testing.T) {
	c := newCluster(2)
	c.nodes[0].backend = func(context.Context, *pipeline.Request) (*pipeline.Response, error) { panic("broken") }
	for range 2 * slots { // a slot that is not released would block later requests
		r := c.request("a", "keyed", nil)
		r.IdempotencyKey = "k"
		_, _, err := c.do(1, r)
		assert.Equal(t, truth(err), errkind.Unknown)
		_, _, err = c.do(1, c.request("b", "keyed", nil))
		assert.Equal(t, errkind.Of(err), errkind.Internal)
	}
}

func TestOneTraceWithASpanForEachHop(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	c := newTracedCluster(2, sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test"))
	r := c.request("a", "keyed", nil)
	r.Traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	_, err := c.nodes[1].caller.Handle(pipeline.ExtractTrace(context.Background(), r), r)
	assert.NilError(t, err)
	parent := "b7ad6b7169203331"
	byParent := map[string]sdktrace.ReadOnlySpan{}
	for _, s := range spans.Started() {
		assert.Equal(t, s.SpanContext().TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
		byParent[s.Parent().SpanID().String()] = s
	}
	for _, name := range []string{"burdock.caller", "burdock.forward", "burdock.peer", "burdock.admit", "burdock.execute"} {
		s := byParent[parent]
		assert.Equal(t, s.Name(), name)
		parent = s.SpanContext().SpanID().String()
	}
}

func TestCutRequestBodyIsNeverRun(t *testing.T) {
	c := newCluster(2)
	r := c.request("a", "keyed", []byte("x"))
	r.Body, r.ContentLength = io.MultiReader(strings.NewReader("half"), failingReader{errors.New("caller left")}), 9
	_, _, err := c.do(1, r)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(c.runs), 0)
}
