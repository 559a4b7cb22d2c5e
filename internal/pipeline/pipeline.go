// Package pipeline implements the request path as a chain of filters, one file
// each. A Request comes in from a caller or from another daemon; a Response, or an
// *errkind.Error that states whether the request ran, goes out. Filters depend on
// the narrow interfaces of ports.go and do no socket I/O of their own. A keyed
// request reaches the backend server only while this daemon holds the lease of the
// request's slice.
package pipeline

import (
	"context"
	"io"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// HeaderField is one field of an HTTP header. Slices of fields keep the order in
// which the fields were received.
type HeaderField struct {
	Name  string `codec:"n"`
	Value string `codec:"v"`
}

// Origin is the kind of sender from which this daemon received a request.
type Origin uint8

// The origins of a request.
const (
	FromCaller Origin = iota
	FromPeer          // forwarded by another daemon
)

// Request is a request that passes through the filters. Each filter sets the
// fields of its own step. The body can be read only once.
type Request struct {
	ID               string // correlation id, unique for each request
	Origin           Origin
	Peer             ident.Member // the forwarding daemon, for FromPeer
	Method           string
	URI              string // path and query as received
	Header           []HeaderField
	Body             io.Reader // nil without a body
	ContentLength    int64     // bytes; -1 when unknown
	Arrived          ident.Instant
	Deadline         ident.Instant
	Traceparent      string // W3C trace context
	Tracestate       string
	IdempotencyKey   string
	ClaimsRepeat     bool // the caller states that this request repeats an earlier one
	Hops             uint8
	CallerRegion     ident.Region
	CallerRemoteAddr string // remote address of the caller, for logs

	Service    config.Service // set by classify
	Key        []byte         // set by classify; nil when the service is pooled
	KeyHash    ident.KeyHash
	Repeatable bool

	Slice ident.Slice // set by router or relay; keyed services only
	Epoch ident.Epoch // set from the lease of the slice; keyed services only

	Started ident.Instant // set right before the dispatch to the backend server; zero before
}

// Response is the answer to a request. The last reader must close Body. A read
// error other than io.EOF means that the answer was cut short.
type Response struct {
	Status        int
	Header        []HeaderField
	Body          io.ReadCloser // never nil
	ContentLength int64         // bytes; -1 when unknown
	Truth         errkind.Truth
	ServedBy      ident.Member
	OwnerAddr     string // caller address of the daemon that served the request
}

// Handler serves a request. An error that leaves the whole chain is an
// *errkind.Error.
type Handler interface {
	Handle(ctx context.Context, r *Request) (*Response, error)
}

// HandlerFunc adapts a function to the Handler interface.
type HandlerFunc func(ctx context.Context, r *Request) (*Response, error)

// Handle calls f(ctx, r).
func (f HandlerFunc) Handle(ctx context.Context, r *Request) (*Response, error) { return f(ctx, r) }

// Filter wraps the next handler of the pipeline.
type Filter func(next Handler) Handler

// Chain returns a handler that runs the filters in the given order and then last.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}
