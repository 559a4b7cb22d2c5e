package callerport_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/burdockfold/burdockfold/internal/callerport"
	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// The library never stops these two goroutines.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

const maxBody = 80 << 20

type catalog struct{}

func (catalog) Service(n ident.Service) (config.Service, bool) {
	limit := int64(maxBody)
	if n == "small" {
		limit = 10
	}
	deadline := time.Minute
	if n == "brief" {
		deadline = 50 * time.Millisecond
	}
	known := n == "svc" || n == "small" || n == "brief"
	return config.Service{Name: n, Mode: config.Pooled, MaxBody: limit, Deadline: deadline}, known
}

// pathHandler chooses its answer by the last path segment of the request.
type pathHandler struct {
	requests chan *pipeline.Request // every request, in order; the buffer exceeds what a test sends
	canceled chan error             // receives the context's error at the end of each /wait
	gate     chan struct{}          // each value lets one /gate request continue
	closed   chan struct{}          // receives a value when the body of a /big answer is closed
}

func (h *pathHandler) Handle(ctx context.Context, r *pipeline.Request) (*pipeline.Response, error) {
	h.requests <- r
	path, _, _ := strings.Cut(r.URI, "?")
	switch path[strings.LastIndexByte(path, '/')+1:] {
	case "echo":
		return echo(r)
	case "ignore":
		return text("ignored"), nil
	case "early": // answers while its body is still being sent
		return &pipeline.Response{Status: 200, Truth: errkind.Ran, ContentLength: -1, Body: io.NopCloser(strings.NewReader("early"))}, nil
	case "refuse":
		return nil, &errkind.Error{Kind: errkind.Overloaded, Detail: "queue", RetryAfter: 1200 * time.Millisecond}
	case "cut-small", "cut-large", "cut-chunked":
		return cut(path), nil
	case "big":
		return &pipeline.Response{Status: 200, Truth: errkind.Ran, ContentLength: 64 << 20, Body: &bigBody{io.LimitReader(zeroReader{}, 64<<20), h.closed}}, nil
	case "panic":
		panic("broken handler")
	case "wait":
		<-ctx.Done()
		h.canceled <- ctx.Err()
		return nil, errkind.New(errkind.Canceled, "%w", ctx.Err())
	case "gate":
		<-h.gate
		return text("through"), nil
	default:
		return text(fmt.Sprintf("%s %s key=%s", r.Method, r.URI, r.IdempotencyKey)), nil
	}
}

func text(s string) *pipeline.Response {
	return &pipeline.Response{
		Status:        200,
		Header:        []pipeline.HeaderField{{Name: "Connection", Value: "X-Secret"}, {Name: "X-Secret", Value: "s"}, {Name: "Burdock-Truth", Value: "lie"}, {Name: "X-Kept", Value: "k"}},
		Truth:         errkind.Ran,
		ServedBy:      ident.Member{Host: "h1", Incarnation: 7},
		OwnerAddr:     "192.0.2.1:80",
		ContentLength: int64(len(s)),
		Body:          io.NopCloser(strings.NewReader(s)),
	}
}

func echo(r *pipeline.Request) (*pipeline.Response, error) {
	if r.Body == nil {
		return text("no body"), nil
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errkind.New(errkind.OutcomeUnknown, "%w", err)
	}
	return text(string(b)), nil
}

func cut(path string) *pipeline.Response {
	n := map[byte]int64{'l': 50, 'e': 1 << 20, 'd': -1}[path[len(path)-1]]
	body := io.MultiReader(strings.NewReader("partial"), failingReader{})
	return &pipeline.Response{Status: 200, Truth: errkind.Ran, ContentLength: n, Body: io.NopCloser(body)}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("link lost") }

type bigBody struct {
	io.Reader
	closed chan struct{}
}

func (b *bigBody) Close() error { b.closed <- struct{}{}; return nil }

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// startPort starts a port with a pathHandler on a local address. configure may change the
// default configuration.
func startPort(t *testing.T, configure func(*callerport.Config)) (string, *pathHandler, *callerport.Port) {
	t.Helper()
	cfg := callerport.DefaultConfig()
	cfg.WatchInterval = 5 * time.Millisecond
	if configure != nil {
		configure(&cfg)
	}
	h := &pathHandler{requests: make(chan *pipeline.Request, 100), canceled: make(chan error, 1), gate: make(chan struct{}), closed: make(chan struct{}, 9)}
	p, err := callerport.New(cfg, h, catalog{}, ident.NewMonotonicClock(), zap.NewNop())
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- p.Serve(ln) }()
	t.Cleanup(func() {
		assert.NilError(t, p.Shutdown(context.Background()))
		assert.NilError(t, <-served)
	})
	return ln.Addr().String(), h, p
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

var masks = []struct {
	re *regexp.Regexp
	by string
}{
	{regexp.MustCompile(`Date: [^\r]*`), "Date: DATE"},
	{regexp.MustCompile(`[0-9a-f]{16}-[0-9a-z]+`), "ID"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDR"},
}

func mask(s string) string {
	for _, m := range masks {
		s = m.re.ReplaceAllString(s, m.by)
	}
	return strings.ReplaceAll(s, "\r\n", "\n")
}

const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"

// TestSessions sends raw bytes and compares all bytes that come back until the
// daemon closes the connection.
func TestSessions(t *testing.T) {
	last := func(line string) string { return line + " HTTP/1.1\r\nHost: d\r\nConnection: close\r\n" }
	next := func(line string) string { return line + " HTTP/1.1\r\nHost: d\r\n" }
	sessions := []struct{ name, send string }{
		{"get", last("GET /svc/a?b=c") + "Burdock-Request-Id: my.id_1\r\nIdempotency-Key: k1\r\n\r\n"},
		{"head", last("HEAD /svc/a") + "\r\n"},
		{"absolute-target", last("GET http://d/svc/a") + "\r\n"},
		{"service-header", last("GET /any/path") + "Burdock-Service: svc\r\n\r\n"},
		{"refused", last("GET /svc/refuse") + "\r\n"},
		{"panic", last("GET /svc/panic") + "\r\n"},
		{"refused-head", last("HEAD /svc/refuse") + "\r\n"},
		{"unknown-service", next("GET /nope/a") + "\r\n"},
		{"deadline-malformed", next("GET /svc/a") + "Burdock-Deadline-Ms: -1\r\n\r\n"},
		{"body", last("POST /svc/echo") + "Content-Length: 5\r\n\r\nhello"},
		{"body-chunked", last("POST /svc/echo") + chunkedHead + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"},
		{"body-chunked-malformed", next("POST /svc/echo") + chunkedHead + "zz\r\nabc\r\n0\r\n\r\n"},
		{"body-too-large-declared", next("POST /small/echo") + "Content-Length: 11\r\n\r\nhello world"},
		{"body-too-large-chunked", next("POST /small/echo") + chunkedHead + "b\r\nhello world\r\n0\r\n\r\n"},
		{"length-and-chunked", next("POST /svc/echo") + "Content-Length: 5\r\n" + chunkedHead + "0\r\n\r\n"},
		{"two-lengths", next("POST /svc/echo") + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello"},
		{"length-malformed", next("POST /svc/echo") + "Content-Length: +5\r\n\r\nhello"},
		{"coding-unknown", next("POST /svc/echo") + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		{"no-host", "GET /svc/a HTTP/1.1\r\n\r\n"},
		{"method-connect", "CONNECT d:80 HTTP/1.1\r\nHost: d\r\n\r\n"},
		{"method-unknown", next("BREW /svc/a") + "\r\n"},
		{"garbage", "\x16\x03\x01\x02\r\n\r\n"},
		{"header-too-large", next("GET /svc/a") + "X: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"},
		{"expect-refused", next("POST /small/echo") + "Content-Length: 11\r\nExpect: 100-continue\r\n\r\n"},
		{"pipelined", next("GET /svc/1") + "\r\n" + next("POST /svc/echo") + "Content-Length: 2\r\n\r\nhi" + last("GET /svc/3") + "\r\n"},
		{"trailing-bytes", next("POST /svc/echo") + "Content-Length: 2\r\n\r\nhi%%\r\n\r\n"},
		{"unread-body-is-no-request", next("POST /svc/ignore") + chunkedHead + "30\r\n" + next("GET /svc/smuggled") + "\r\n"},
		{"early-answer", next("POST /svc/early") + chunkedHead + "30\r\n" + next("GET /svc/smuggled") + "\r\n"},
		{"cut-small", last("GET /svc/cut-small") + "\r\n"},
		{"cut-large", next("GET /svc/cut-large") + "\r\n"},
		{"cut-chunked", next("GET /svc/cut-chunked") + "\r\n"},
	}
	addr, _, _ := startPort(t, nil)
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			c := dial(t, addr)
			_, err := io.WriteString(c, s.send)
			assert.NilError(t, err)
			got, err := io.ReadAll(c)
			assert.NilError(t, err)
			golden.Assert(t, mask(string(got)), s.name+".golden")
		})
	}
}
