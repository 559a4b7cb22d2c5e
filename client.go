package burdockfold

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/httpconn"
)

// Truth states what is known about the execution of a request: that it did not
// run, that it ran, or that neither is known.
type Truth = errkind.Truth

// The values of Truth.
const (
	NotRun  = errkind.NotRun
	Ran     = errkind.Ran
	Unknown = errkind.Unknown
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Daemons        []string      // host:port of the caller ports of at least one daemon
	AttemptTimeout time.Duration // limit of a single attempt; default 2 s
	MaxAnswer      int           // largest response body in bytes; default 64 MiB
}

const (
	defaultAttemptTimeout = 2 * time.Second
	defaultMaxAnswer      = 64 << 20 // bytes
	retryPauseMin         = 10 * time.Millisecond
	retryPauseMax         = 250 * time.Millisecond
	maxOwnerHints         = 1 << 16 // slices whose owner the client remembers
	dialTimeout           = 500 * time.Millisecond
	idleConnTimeout       = 5 * time.Second
	maxConnsPerDaemon     = 4096
)

// HeaderField is one header field of a request.
type HeaderField struct{ Name, Value string }

// Request is a request that a caller sends through the router.
type Request struct {
	Service    string
	Key        string // empty for a pooled service
	KeyHeader  bool   // send Key in the Burdock-Key header instead of the path, as the service requires
	Method     string
	Path       string // path and query for the backend server, appended after the service and the key in the path
	Header     []HeaderField
	Body       []byte
	Repeatable bool   // the request may run more than once
	Token      string // sent as Idempotency-Key when not empty
	ID         string // correlation id; the client appends the attempt number
}

// Response is the complete answer of a backend server.
type Response struct {
	Status   int
	Header   *fasthttp.ResponseHeader
	Body     []byte
	Truth    Truth
	Attempts int
}

// Error describes a request that got no answer from a backend server.
type Error struct {
	Truth    Truth  // what is known about the execution of the request
	Kind     string // name of the error kind; empty if no daemon answered
	Detail   string
	Attempts int
}

// Error returns the error kind, the execution status, the number of attempts and
// the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("burdockfold: %s (%s) after %d attempts: %s", e.Kind, e.Truth, e.Attempts, e.Detail)
}

// Client sends requests to daemons. If earlier answers named the owner of a key,
// the first attempt goes to the daemon beside that owner; otherwise it goes to
// any configured daemon. A Client is safe for concurrent use.
type Client struct {
	cfg     ClientConfig
	http    *fasthttp.Client
	daemons *daemonSet
	owners  *ownerHints
}

// NewClient returns a client that uses the daemons in cfg. It returns an error if
// cfg names no daemon.
func NewClient(cfg ClientConfig) (*Client, error) {
	if len(cfg.Daemons) == 0 {
		return nil, errors.New("burdockfold: client needs at least one daemon")
	}
	if cfg.AttemptTimeout <= 0 {
		cfg.AttemptTimeout = defaultAttemptTimeout
	}
	if cfg.MaxAnswer <= 0 {
		cfg.MaxAnswer = defaultMaxAnswer
	}
	dialer := &fasthttp.TCPDialer{}
	return &Client{
		cfg:     cfg,
		daemons: newDaemonSet(cfg.Daemons),
		owners:  newOwnerHints(maxOwnerHints),
		http: &fasthttp.Client{
			NoDefaultUserAgentHeader:  true,
			MaxIdemponentCallAttempts: 1,
			MaxConnsPerHost:           maxConnsPerDaemon,
			MaxResponseBodySize:       cfg.MaxAnswer,
			MaxIdleConnDuration:       idleConnTimeout,
			DisablePathNormalizing:    true,
			Dial: func(addr string) (net.Conn, error) {
				c, err := dialer.DialTimeout(addr, dialTimeout)
				if err != nil {
					return nil, &dialError{err}
				}
				return httpconn.NewAnswerConn(c), nil
			},
		},
	}, nil
}

// dialError wraps an error from establishing a connection, which means that no
// byte of the request was sent.
type dialError struct{ err error }

// Error returns the text of the cause with the prefix "dial: ".
func (e *dialError) Error() string { return "dial: " + e.err.Error() }

// Unwrap returns the cause of the failed dial.
func (e *dialError) Unwrap() error { return e.err }

// Close closes the idle connections to the daemons.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends r repeatedly until a backend server answers it, until an attempt may
// have run and r must not be repeated, or until ctx ends. If an attempt of a
// request with a token may have run, Do sends the request again and marks it as
// a repeat: the router then answers from its record or reports that the outcome
// remains unknown, but does not run the request again. Every error that Do
// returns is an *Error.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	pause := retryPauseMin
	last := &Error{Truth: NotRun, Detail: "not tried"}
	for attempt := 1; ctx.Err() == nil; attempt++ {
		resp, failure := c.attempt(ctx, r, attempt, last.Truth != NotRun)
		if failure == nil {
			return resp, nil
		}
		// If an earlier attempt may have run, a later attempt that did not run
		// does not change the status of the request.
		if last.Truth != NotRun {
			failure.Truth = last.Truth
		}
		last = failure
		if last.Truth != NotRun && !mayRepeat(r, last) {
			return nil, last
		}
		if !sleep(ctx, pause/2+rand.N(pause)) {
			break
		}
		pause = min(2*pause, retryPauseMax)
	}
	return nil, last
}

// mayRepeat reports whether r may be sent again after an attempt that may have
// run and failed with last.
func mayRepeat(r *Request, last *Error) bool {
	if r.Token != "" {
		return last.Kind != errkind.RepeatUnknown.String()
	}
	return r.Repeatable
}

// sleep waits for d and returns true, or returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// attempt sends r once. The first attempt goes to the daemon of the key's owner
// if that daemon is known and trusted; all others go to any daemon. number counts
// the attempts of r from 1; repeat states that an earlier attempt may have run.
func (c *Client) attempt(ctx context.Context, r *Request, number int, repeat bool) (*Response, *Error) {
	addr := c.daemons.pick()
	if number == 1 {
		if owner, ok := c.owners.lookup(r.Service, r.Key); ok && c.daemons.trusted(owner) {
			addr = owner
		}
	}
	deadline := time.Now().Add(c.cfg.AttemptTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	req := fasthttp.AcquireRequest()
	resp := &fasthttp.Response{}
	defer fasthttp.ReleaseRequest(req)
	fillRequest(req, r, addr, number, time.Until(deadline))
	if repeat && r.Token != "" {
		req.Header.Set("Burdock-Repeat", "true")
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		c.owners.forget(r.Service, r.Key)
		c.daemons.markSuspect(addr)
		return nil, transportError(err, addr, number)
	}
	c.owners.learn(r.Service, r.Key, &resp.Header)
	return classifyResponse(resp, number)
}

// fillRequest writes r into req for the daemon at addr. number is the number of
// the attempt; remaining is the time until its deadline, which is sent as at
// least 1 ms.
func fillRequest(req *fasthttp.Request, r *Request, addr string, number int, remaining time.Duration) {
	h := &req.Header
	h.SetMethod(r.Method)
	target := "/" + r.Service
	switch {
	case r.Key != "" && r.KeyHeader:
		h.Set("Burdock-Key", r.Key)
	case r.Key != "":
		target += "/" + url.PathEscape(r.Key)
	}
	req.URI().DisablePathNormalizing = true
	req.SetRequestURI("http://" + addr + target + r.Path)
	for _, f := range r.Header {
		h.Set(f.Name, f.Value)
	}
	if r.Token != "" {
		h.Set("Idempotency-Key", r.Token)
	}
	if r.ID != "" {
		h.Set("Burdock-Request-Id", r.ID+"-"+strconv.Itoa(number))
	}
	h.Set("Burdock-Deadline-Ms", strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	req.SetBodyRaw(r.Body)
}

// transportError converts the error of an attempt that got no complete answer
// from the daemon at addr. The request certainly did not run only if no connection
// to the daemon was available; otherwise its execution is unknown.
func transportError(err error, addr string, attempts int) *Error {
	e := &Error{Truth: Unknown, Detail: addr + ": " + err.Error(), Attempts: attempts}
	var dialErr *dialError
	if errors.As(err, &dialErr) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		e.Truth = NotRun
	}
	return e
}

// classifyResponse returns a Response if a backend server answered, and an Error
// if the router refused the request. An answer without a valid Burdock-Truth
// header counts as Unknown.
func classifyResponse(resp *fasthttp.Response, attempts int) (*Response, *Error) {
	truth := Truth(resp.Header.Peek("Burdock-Truth"))
	kind := problemKind(resp.Body())
	if truth == Ran && kind == "" {
		return &Response{
			Status:   resp.StatusCode(),
			Header:   &resp.Header,
			Body:     resp.Body(),
			Truth:    truth,
			Attempts: attempts,
		}, nil
	}
	if truth != NotRun && truth != Ran {
		truth = Unknown
	}
	return nil, &Error{
		Truth:    truth,
		Kind:     kind,
		Detail:   "status " + strconv.Itoa(resp.StatusCode()),
		Attempts: attempts,
	}
}
