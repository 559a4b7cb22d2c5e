package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/httpconn"
)

// maxAnswerBytes bounds an answer of the administration API.
const maxAnswerBytes = 256 << 20

// client calls the administration API of daemons.
type client struct {
	http    *fasthttp.Client
	scheme  string
	tls     *tls.Config // nil: plain text
	timeout time.Duration
}

func (a *app) client() (*client, error) {
	c := &client{timeout: a.timeout, scheme: "http://"}
	c.http = &fasthttp.Client{Name: "burdockctl", MaxResponseBodySize: maxAnswerBytes, Dial: c.dial}
	if strings.HasPrefix(a.admin, "https://") {
		c.scheme = "https://"
		c.tls = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if a.caFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(a.caFile)
	if err != nil {
		return nil, fmt.Errorf("-ca-file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, exitf(ExitUsage, "-ca-file: no certificate in %s", a.caFile)
	}
	if c.tls != nil {
		c.tls.RootCAs = pool
	}
	return c, nil
}

// dial connects to a daemon, with TLS if the client uses it. The connection validates the heads of
// answers, which the HTTP client does not.
func (c *client) dial(addr string) (net.Conn, error) {
	conn, err := fasthttp.Dial(addr)
	if err != nil {
		return nil, err
	}
	if c.tls == nil {
		return httpconn.NewAnswerConn(conn), nil
	}
	tc, err := c.handshake(conn, addr)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &tlsAnswerConn{AnswerConn: httpconn.NewAnswerConn(tc), tls: tc}, nil
}

// handshake establishes TLS within the time limit of a request, which the HTTP client does not
// apply to it.
func (c *client) handshake(conn net.Conn, addr string) (*tls.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	config := c.tls.Clone()
	config.ServerName = host
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	tc := tls.Client(conn, config)
	return tc, tc.HandshakeContext(ctx)
}

// tlsAnswerConn is an AnswerConn on top of TLS.
type tlsAnswerConn struct {
	*httpconn.AnswerConn
	tls *tls.Conn
}

// Handshake tells fasthttp that the connection uses TLS already, so that it adds no second layer.
func (c *tlsAnswerConn) Handshake() error { return c.tls.Handshake() }

// urlOf returns the base URL of another daemon by its administration address.
func (c *client) urlOf(addr string) string { return c.scheme + addr }

// problemError is a refusal with problem details.
type problemError struct{ problem errkind.Problem }

func (e *problemError) Error() string {
	if e.problem.Detail == "" {
		return e.problem.Title
	}
	return e.problem.Title + ": " + e.problem.Detail
}

// get reads JSON into out.
func (c *client) get(ctx context.Context, base, path string, out any) error {
	_, err := c.do(ctx, fasthttp.MethodGet, base+path, "", nil, out)
	return err
}

// do sends a request. Answers with JSON other than problem details are read
// into out whatever their status.
func (c *client) do(ctx context.Context, method, url, contentType string, body []byte, out any) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	if body != nil {
		req.Header.SetContentType(contentType)
		req.SetBody(body)
	}
	if err := ctx.Err(); err != nil {
		return 0, exitf(ExitUnreachable, "%s: %w", url, err)
	}
	if err := c.http.DoTimeout(req, resp, c.timeout); err != nil {
		return 0, exitf(ExitUnreachable, "%s: %w", url, err)
	}
	if string(resp.Header.ContentType()) == errkind.ProblemMediaType {
		return resp.StatusCode(), refusal(resp)
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return resp.StatusCode(), exitf(ExitUnreachable, "%s: status %d with an answer that is not JSON", url, resp.StatusCode())
	}
	return resp.StatusCode(), nil
}

func refusal(resp *fasthttp.Response) error {
	var e problemError
	if err := json.Unmarshal(resp.Body(), &e.problem); err != nil {
		return exitf(ExitUnreachable, "status %d with malformed problem details", resp.StatusCode())
	}
	code := ExitRefused
	if s := resp.StatusCode(); s >= fasthttp.StatusInternalServerError || s == fasthttp.StatusTooManyRequests {
		code = ExitUnreachable
	}
	return &exitError{code: code, err: &e}
}
