package logservice

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Defaults of ClientConfig.
const (
	DefaultTimeout        = 3 * time.Second
	DefaultPollTime       = 10 * time.Second
	DefaultRetryTime      = 5 * time.Second
	DefaultIdleTime       = 5 * time.Second
	DefaultMaxAnswerBytes = 64 << 20

	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 1 * time.Second
)

// ClientConfig sets up a Client. Zero values take the defaults.
type ClientConfig struct {
	BaseURL        string        // http or https URL of the log service
	Timeout        time.Duration // limit of one call, without the poll time
	PollTime       time.Duration // how long a read waits for a first entry
	RetryTime      time.Duration // how long a failed read is tried again
	IdleTime       time.Duration // age at which an unused connection is closed
	MaxAnswerBytes int           // largest answer accepted
}

// Validate reports the first problem of the configuration.
func (c ClientConfig) Validate() error {
	u, err := url.Parse(c.BaseURL)
	if err != nil {
		return fmt.Errorf("logservice: base URL: %w", err)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("logservice: base URL %q: scheme must be http or https", c.BaseURL)
	}
	if u.Host == "" {
		return fmt.Errorf("logservice: base URL %q has no host", c.BaseURL)
	}
	if min(c.Timeout, c.PollTime, c.RetryTime, c.IdleTime) < 0 || c.MaxAnswerBytes < 0 {
		return errors.New("logservice: limits must not be negative")
	}
	return nil
}

func (c ClientConfig) withDefaults() ClientConfig {
	c.Timeout = orDefault(c.Timeout, DefaultTimeout)
	c.PollTime = orDefault(c.PollTime, DefaultPollTime)
	c.RetryTime = orDefault(c.RetryTime, DefaultRetryTime)
	c.IdleTime = orDefault(c.IdleTime, DefaultIdleTime)
	c.MaxAnswerBytes = orDefault(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	return c
}

func orDefault[T time.Duration | int](v, standard T) T {
	if v == 0 {
		return standard
	}
	return v
}

// Client is a Log over HTTP. An append is sent once and never repeated: after
// ErrOutcomeUnknown the caller repeats it with the same writer and sequence
// number, which the fold takes once.
type Client struct {
	cfg   ClientConfig
	base  *url.URL
	conns *connPool
}

// NewClient returns a client of the log service at cfg.BaseURL. It opens
// connections when they are needed.
func NewClient(cfg ClientConfig) (*Client, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	base, err := url.Parse(cfg.BaseURL)
	if err != nil {
		return nil, fmt.Errorf("logservice: base URL: %w", err)
	}
	return &Client{cfg: cfg, base: base, conns: newConnPool(base, cfg.IdleTime)}, nil
}

// Close closes the connections that are not in use. Calls that still run end by
// their own contexts.
func (c *Client) Close() { c.conns.close() }

// Append implements Log.
func (c *Client) Append(ctx context.Context, s Stream, records [][]byte) (ident.Offset, error) {
	body, err := json.Marshal(appendRequest{Records: records})
	if err != nil {
		return 0, fmt.Errorf("logservice: encode append: %w", err)
	}
	u := c.streamURL(s, "records")
	a, err := c.call(ctx, fasthttp.MethodPost, u, body, c.cfg.Timeout)
	if err != nil {
		return 0, appendError(err)
	}
	if err := a.appendError(); err != nil {
		return 0, err
	}
	first, err := decodeAppendAnswer(a.body)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return first, nil
}

// appendError maps a failed exchange to what is known about the append.
func appendError(err error) error {
	var e *exchangeError
	if errors.As(err, &e) && !e.sent {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// Read implements Log. A call that ctx ends returns the error of ctx.
func (c *Client) Read(ctx context.Context, s Stream, from ident.Offset, limit int) ([]Entry, error) {
	wait := c.cfg.PollTime
	if deadline, ok := ctx.Deadline(); ok {
		wait = max(0, min(wait, time.Until(deadline)-c.cfg.Timeout))
	}
	u := c.streamURL(s, "records")
	u.RawQuery = readQuery(from, limit, wait)
	body, err := c.get(ctx, u, wait+c.cfg.Timeout)
	if err != nil {
		return nil, err
	}
	return decodeReadAnswer(body, from, limit)
}

// Bounds implements Log.
func (c *Client) Bounds(ctx context.Context, s Stream) (Bounds, error) {
	body, err := c.get(ctx, c.streamURL(s), c.cfg.Timeout)
	if err != nil {
		return Bounds{}, err
	}
	return decodeBoundsAnswer(body)
}

// get reads a resource and tries again with growing delays while the service is
// not available.
func (c *Client) get(ctx context.Context, u *url.URL, timeout time.Duration) ([]byte, error) {
	attempt := func() ([]byte, error) {
		a, err := c.call(ctx, fasthttp.MethodGet, u, nil, timeout)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		err = a.readError()
		if err != nil && !errors.Is(err, ErrUnavailable) {
			return nil, backoff.Permanent(err)
		}
		return a.body, err
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstRetryDelay
	delays.MaxInterval = maxRetryDelay
	body, err := backoff.Retry(ctx, attempt,
		backoff.WithBackOff(delays),
		backoff.WithMaxElapsedTime(c.cfg.RetryTime))
	if err != nil && ctx.Err() != nil {
		return nil, fmt.Errorf("logservice: read: %w", ctx.Err())
	}
	return body, err
}

func (c *Client) streamURL(s Stream, rest ...string) *url.URL {
	path := append([]string{"v1", "streams", url.PathEscape(string(s))}, rest...)
	return c.base.JoinPath(path...)
}
