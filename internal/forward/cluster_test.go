package forward_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/admitting"
	"github.com/burdockfold/burdockfold/internal/core/admission"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/idempotency"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/retry"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/forward"
	"github.com/burdockfold/burdockfold/internal/mesh"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

var slice = ident.Slice{Service: "keyed", Index: 3}

const slots = 4

func member(i int) ident.Member {
	return ident.Member{Host: ident.Host(fmt.Sprint("h", i)), Incarnation: 1}
}

// fault is the fault that the fake mesh injects into one stream.
type fault int

const (
	noFault     fault = iota
	unsent            // Open fails before a byte is sent
	requestLost       // Open fails; the request did not reach the peer
	answerLost        // Open fails after the peer served the request
	answerCut         // the answer's body ends early
)

// cluster is a set of daemons on a fake mesh. One of them, or none, holds the lease
// of the slice. Each daemon has its own ownership table, which may be stale.
type cluster struct {
	clock *ident.MonotonicClock

	mu                    sync.Mutex // guards all fields below
	nodes                 []*node
	owner                 int            // index of the node that holds the lease; -1 for none
	faults                []fault        // faults of the next streams; later streams have none
	runs                  map[string]int // by request ID
	openHops, maxOpenHops int            // nested hops that are open now, and their maximum
}

// node is one daemon. It implements the interfaces on which its pipeline depends.
type node struct {
	c            *cluster
	index        int
	tableTargets []int // owner and successors in this daemon's table
	caller       pipeline.Handler
	server       *forward.Server
	idempotency  *pipeline.IdempotencyStore
	usage        []pipeline.Usage
	backend      func(ctx context.Context, r *pipeline.Request) (*pipeline.Response, error)
	leaseEnd     ident.Instant // zero means one hour from now
	checksGrants bool          // the backend server checks grants
}

func newCluster(size int) *cluster { return newTracedCluster(size, nil) }

func newTracedCluster(size int, tracer trace.Tracer) *cluster {
	c := &cluster{clock: ident.NewMonotonicClock(), runs: map[string]int{}}
	for i := range size {
		n := &node{c: c, index: i, tableTargets: []int{0}, checksGrants: true}
		n.idempotency = pipeline.NewIdempotencyStore(idempotency.DefaultConfig(), c.clock)
		n.backend = n.run
		caller, peer := pipeline.New(pipeline.Deps{
			Self: member(i), CallerAddr: fmt.Sprint("caller-", i), Clock: c.clock, Catalog: c, Locator: n,
			Peers: forward.NewClient(n, c.clock), Leases: n, Capabilities: n, Backend: n,
			Admission:   admitting.NewGate(admission.DefaultConfig(slots), c.clock),
			Idempotency: n.idempotency, Meter: n, Regions: n, Retry: retry.DefaultPolicy(),
			Tracer: tracer, Log: zap.NewNop(),
		})
		n.caller, n.server = caller, forward.NewServer(peer, c.clock, zap.NewNop())
		c.nodes = append(c.nodes, n)
	}
	return c
}

func (c *cluster) Service(name ident.Service) (config.Service, bool) {
	s := config.Service{Name: name, Tenant: "t", Mode: config.Keyed, Slices: 8, KeyFrom: config.KeyFromPath, Deadline: 10 * time.Second, MaxBody: 1 << 20}
	switch name {
	case "keyed":
	case "repeatable":
		s.Repeatable = true
	case "pooled":
		s.Mode, s.Slices = config.Pooled, 0
	default:
		return s, false
	}
	return s, true
}

// route returns the route by this daemon's table.
func (n *node) route() pipeline.Route {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	r := pipeline.Route{Slice: slice}
	for _, i := range n.tableTargets {
		r.Targets = append(r.Targets, pipeline.Target{Member: member(i), Addr: fmt.Sprint(i), Local: i == n.index})
	}
	return r
}

func (n *node) LocateKey(config.Service, ident.KeyHash) (pipeline.Route, error) {
	return n.route(), nil
}

func (n *node) LocatePool(config.Service, []ident.Member) (pipeline.Route, error) {
	return n.route(), nil
}

func (n *node) Hold(context.Context, ident.Slice) (pipeline.Lease, func(), error) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.c.owner != n.index {
		return pipeline.Lease{}, nil, errkind.New(errkind.NotOwner, "owner is %d", n.c.owner)
	}
	until := n.leaseEnd
	if until == 0 {
		until = n.c.clock.Now().Add(time.Hour)
	}
	return pipeline.Lease{Epoch: 7, Until: until}, func() {}, nil
}

func (n *node) Check(_ ident.Slice, l pipeline.Lease, at ident.Instant) error {
	if l.Until.Before(at) {
		return errkind.New(errkind.LeaseLapsed, "lapsed")
	}
	return nil
}

func (n *node) ChecksGrants() bool                 { return n.checksGrants }
func (n *node) RegionOf(ident.Member) ident.Region { return "r" }

func (n *node) Record(u pipeline.Usage) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.usage = append(n.usage, u)
}

func (n *node) Execute(ctx context.Context, r *pipeline.Request) (*pipeline.Response, error) {
	return n.backend(ctx, r)
}

// run is the default backend server. It counts the run and answers with the
// request's body.
func (n *node) run(_ context.Context, r *pipeline.Request) (*pipeline.Response, error) {
	var body []byte
	if r.Body != nil {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, errkind.New(errkind.OutcomeUnknown, "%w", err)
		}
		body = b
	}
	n.c.mu.Lock()
	n.c.runs[r.ID]++
	n.c.mu.Unlock()
	return &pipeline.Response{Status: 200, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}, nil
}

// Send implements mesh.Transport. Requests do not use it.
func (n *node) Send(mesh.Peer, mesh.Message) {}

// Open implements mesh.Transport. It carries one stream over the fake mesh.
func (n *node) Open(ctx context.Context, to mesh.Peer, head []byte, body io.Reader) (mesh.ClientStream, error) {
	f, peer := n.c.nextStream(to)
	defer n.c.endHop()
	if f == unsent {
		return nil, &mesh.UnsentError{Err: errors.New("refused")}
	}
	s := &stream{head: head}
	if body != nil {
		b, err := io.ReadAll(body)
		if err != nil {
			return nil, err
		}
		s.body = b
	}
	if f == requestLost {
		return nil, errors.New("lost on the way")
	}
	peer.server.HandleStream(ctx, member(n.index), serverEnd{s})
	switch {
	case f == answerLost:
		return nil, errors.New("lost on the way back")
	case s.reset != nil:
		return nil, &mesh.ResetError{Reason: s.reset}
	case f == answerCut:
		s.answer = s.answer[:len(s.answer)/2]
		s.cutErr = errors.New("stream lost")
	}
	return clientEnd{s}, nil
}

// nextStream begins a hop and returns its fault and the node that receives it.
func (c *cluster) nextStream(to mesh.Peer) (fault, *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openHops++
	c.maxOpenHops = max(c.maxOpenHops, c.openHops)
	f := noFault
	if len(c.faults) > 0 {
		f, c.faults = c.faults[0], c.faults[1:]
	}
	for _, n := range c.nodes {
		if member(n.index) == to.Member {
			return f, n
		}
	}
	return unsent, nil
}

// endHop ends the hop that nextStream began.
func (c *cluster) endHop() {
	c.mu.Lock()
	c.openHops--
	c.mu.Unlock()
}

// stream holds the data that both ends of a stream exchange.
type stream struct {
	head, body []byte
	respHead   []byte
	answer     []byte
	reset      []byte // reason; nil without a reset
	cutErr     error  // the error at the end of the answer; nil for a whole answer
}

type serverEnd struct{ *stream }

func (s serverEnd) Head() []byte        { return s.head }
func (s serverEnd) Body() io.Reader     { return bytes.NewReader(s.body) }
func (s serverEnd) Reset(reason []byte) { s.reset = reason }

func (s serverEnd) Respond(head []byte, body io.Reader) error {
	s.respHead = head
	s.answer, s.cutErr = io.ReadAll(body)
	return s.cutErr
}

type clientEnd struct{ *stream }

func (s clientEnd) Head() []byte { return s.respHead }

func (s clientEnd) Body() io.ReadCloser {
	rest := io.Reader(strings.NewReader(""))
	if s.cutErr != nil {
		rest = failingReader{s.cutErr}
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(s.answer), rest))
}

// failingReader fails every read with err.
type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }
