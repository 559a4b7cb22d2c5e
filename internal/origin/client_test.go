package origin

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/core/heldmem"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/held"
	"github.com/burdockfold/burdockfold/internal/hop"
)

var names = hop.HeaderNames{
	RequestID: "Id", Deadline: "Deadline", ShardKey: "Key", CallerService: "Caller", TargetServer: "Target",
	ServerID: "Server", Signature: "Signature", NotRun: "Not-Run", Load: "Load", Limit: "Limit", Leaving: "Leaving",
}

// startScriptedServer starts a server that answers each request with the next of the
// given texts, and returns its address. An empty text closes the connection without an
// answer; a text that ends with "!" closes it after the answer.
func startScriptedServer(t *testing.T, answers ...string) (addr string) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveConn(c, next)
		}
	}()
	return ln.Addr().String()
}

func serveConn(c net.Conn, next chan string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		text := <-next
		if text == "" {
			return
		}
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
		if text[len(text)-1] == '!' {
			return
		}
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nContent-Length: 2\r\n\r\nhi"

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
		body   string
		kind   errkind.Kind
		truth  errkind.Truth
	}{
		{"whole", okAnswer, "hi", 0, ""},
		{"late answer to another request first", "HTTP/1.1 200 OK\r\nId: z\r\nSignature: s\r\nContent-Length: 3\r\n\r\nold" + okAnswer, "hi", 0, ""},
		{"no length, clean end", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\n\r\nhi!", "hi!", 0, ""},
		{"cut", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhi!", "", errkind.AnswerCut, errkind.Unknown},
		{"no signature", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nhi", "", errkind.AnswerCut, errkind.Unknown},
		{"encoded", "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi", "", errkind.AnswerCut, errkind.Unknown},
		{"no answer", "", "", errkind.OutcomeUnknown, errkind.Unknown},
		{"not HTTP", "nonsense\r\n\r\n!", "", errkind.OutcomeUnknown, errkind.Unknown},
		{"not run", "HTTP/1.1 503 Full\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "", errkind.BackendRefused, errkind.NotRun},
		{"another server", "HTTP/1.1 421 Wrong\r\nId: a\r\nContent-Length: 0\r\n\r\n", "", errkind.NotOwner, errkind.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := ident.NewMonotonicClock()
			client := NewClient(names, 2, clock)
			defer client.Close()
			r := &hop.Request{ID: "a", Method: "GET", URI: "/", Host: "h", Key: hop.NoKey, Deadline: clock.Now().Add(5 * time.Second)}
			a := client.Do(context.Background(), Server{Addr: startScriptedServer(t, c.answer), ID: "i"}, r)
			assert.Assert(t, a.ReachedBackend)
			if c.truth == "" {
				assert.Assert(t, a.Failure == nil, "%v", a.Failure)
				assert.Equal(t, string(a.Body), c.body)
				return
			}
			assert.Equal(t, a.Failure.Kind, c.kind)
			assert.Equal(t, a.Failure.Answer().Truth, c.truth)
		})
	}
}

// A status that is none never reaches a caller as an answer nor promises that the request has
// not run, also beside a field that states it; an interim answer is not the final one.
func TestAnswersOfNoStatus(t *testing.T) {
	const rest = " Text\r\nId: a\r\nSignature: s\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nhi"
	for _, status := range []string{"000", "099", "101", "199", "600", "999", "+20", "-20", " 20", "2 0", "20", "0200", "2000", "20x", "OK", ""} {
		clock := ident.NewMonotonicClock()
		client := NewClient(names, 2, clock)
		for _, fields := range []string{rest, strings.Replace(rest, "Not-Run: 1\r\n", "", 1)} {
			r := &hop.Request{ID: "a", Method: "GET", URI: "/", Host: "h", Key: hop.NoKey, Deadline: clock.Now().Add(5 * time.Second)}
			a := client.Do(context.Background(), Server{Addr: startScriptedServer(t, "HTTP/1.1 "+status+fields+"!"), ID: "i"}, r)
			assert.Assert(t, a.Failure != nil, "status %q became %d", status, a.Status)
			assert.Equal(t, a.Failure.Answer().Truth, errkind.Unknown, "status %q", status)
			assert.Assert(t, a.ReachedBackend)
		}
		client.Close()
	}
}

// A request that ran and whose answer finds no room is no refusal.
func TestAnswerWithoutRoom(t *testing.T) {
	clock := ident.NewMonotonicClock()
	client := NewClient(names, 2, clock)
	defer client.Close()
	client.UseMemory(held.New(heldmem.Limits{Total: 1 << 16, Over: 1 << 17, Bodies: 1, Answers: 1 << 20, Reading: 1 << 20, Garbage: 1 << 40, Heap: 1, CutAfter: time.Millisecond, GiveUp: 5 * time.Millisecond}))
	long := "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("a", 100_000)
	r := &hop.Request{ID: "a", Method: "GET", URI: "/", Host: "h", Key: hop.NoKey, Deadline: clock.Now().Add(5 * time.Second)}
	a := client.Do(context.Background(), Server{Addr: startScriptedServer(t, long), ID: "i"}, r)
	assert.Equal(t, a.Failure.Kind, errkind.AnswerCut)
	assert.Equal(t, a.Failure.Answer().Truth, errkind.Unknown)
}

// A connection that carries bytes after the answer is closed, not reused: the bytes
// would be read as the answer to the next request.
func TestExtraBytesCloseConnection(t *testing.T) {
	clock := ident.NewMonotonicClock()
	client := NewClient(names, 2, clock)
	defer client.Close()
	to := Server{Addr: startScriptedServer(t, okAnswer+"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nextra", okAnswer), ID: "i"}
	for range 2 {
		r := &hop.Request{ID: "a", Method: "GET", URI: "/", Host: "h", Key: hop.NoKey, Deadline: clock.Now().Add(5 * time.Second)}
		a := client.Do(context.Background(), to, r)
		assert.Assert(t, a.Failure == nil, "%v", a.Failure)
		assert.Equal(t, string(a.Body), "hi")
	}
}

func TestClosedPortIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	clock := ident.NewMonotonicClock()
	r := &hop.Request{ID: "a", Method: "GET", URI: "/", Host: "h", Key: hop.NoKey, Deadline: clock.Now().Add(time.Second)}
	a := NewClient(names, 1, clock).Do(context.Background(), Server{Addr: ln.Addr().String(), ID: "i"}, r)
	assert.Equal(t, a.Failure.Kind, errkind.BackendUnavailable)
	assert.Equal(t, a.Failure.Answer().Truth, errkind.NotRun)
	assert.Assert(t, !a.ReachedBackend)
}

// Client must read whether the request reached the server before it puts the
// connection back into the pool, where another request may take it at once.
// Otherwise a request that the server refused on a reused connection looks unsent
// and is sent a second time. Each refused request must count as reached.
func TestConnectionStateIsReadBeforePut(t *testing.T) {
	const callers, requestsPerCaller = 8, 50
	answers := make([]string, 2*callers*requestsPerCaller)
	for i := range answers {
		answers[i] = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	clock := ident.NewMonotonicClock()
	client := NewClient(names, 2, clock)
	defer client.Close()
	to := Server{Addr: startScriptedServer(t, answers...), ID: "i"}
	var wg sync.WaitGroup
	var unreached atomic.Int32
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range requestsPerCaller {
				r := &hop.Request{ID: "a", Method: "GET", URI: "/", Host: "h", Key: hop.NoKey, Deadline: clock.Now().Add(5 * time.Second)}
				if a := client.Do(context.Background(), to, r); !a.ReachedBackend {
					unreached.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	assert.Equal(t, unreached.Load(), int32(0))
}

// A request whose caller has left before its turn comes is not sent. On a busy daemon its
// cancellation and its slot come at the same time. A simulated day showed requests at
// servers 0.66 s after their callers had left.
func TestCanceledRequestIsNotSent(t *testing.T) {
	const requests = 200
	answers := make([]string, requests)
	for i := range answers {
		answers[i] = okAnswer
	}
	clock := ident.NewMonotonicClock()
	client := NewClient(names, 2, clock)
	defer client.Close()
	to := Server{Addr: startScriptedServer(t, answers...), ID: "i"}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range requests {
		r := &hop.Request{ID: "a", Method: "GET", URI: "/", Host: "h", Key: hop.NoKey, Deadline: clock.Now().Add(5 * time.Second)}
		a := client.Do(ctx, to, r)
		assert.Assert(t, !a.ReachedBackend)
		assert.Equal(t, a.Failure.Kind, errkind.Canceled)
		assert.Equal(t, a.Failure.Answer().Truth, errkind.NotRun)
	}
}
