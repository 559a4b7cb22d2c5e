// Package pipeline is the request path: a chain of filters, one file each, from
// the caller's HTTP request to the answer. Filters depend on the narrow
// interfaces of ports.go and do no socket I/O of their own.
package pipeline

import (
	"context"
	"io"

	"github.com/burdockfold/burdockfold/internal/core/config"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// HeaderField is one field of an HTTP header, in the order received.
type HeaderField struct {
	Name  string `codec:"n"`
	Value string `codec:"v"`
}

// Origin says how a request reached this daemon.
type Origin uint8

// The origins of a request.
const (
	FromCaller Origin = iota
	FromPeer
)

// Request is one request on its way through the filters. A filter fills in the
// fields of its step; the body is read once.
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
	ClaimsRepeat     bool // the caller says that it sent the request before
	Hops             uint8
	CallerRegion     ident.Region
	CallerRemoteAddr string // remote address of the caller, for logs

	Service    config.Service // set by classify
	Key        []byte         // set by classify; nil when the service is pooled
	KeyHash    ident.KeyHash
	Repeatable bool

	Slice ident.Slice // set by locate or by the forwarding daemon, keyed only
	Epoch ident.Epoch // set by execute from the lease held

	Started ident.Instant // set by execute right before the hand-over; zero before
}

// Response is an answer on its way back. Body must be closed by the last
// reader; a read error other than io.EOF means that the answer is cut.
type Response struct {
	Status        int
	Header        []HeaderField
	Body          io.ReadCloser // never nil
	ContentLength int64         // bytes; -1 when unknown
	Truth         errkind.Truth
	ServedBy      ident.Member
	OwnerAddr     string // caller address of the daemon that served it
}

// Handler serves a request. An error is always an *errkind.Error in the end.
type Handler interface {
	Handle(ctx context.Context, r *Request) (*Response, error)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, r *Request) (*Response, error)

// Handle calls f.
func (f HandlerFunc) Handle(ctx context.Context, r *Request) (*Response, error) { return f(ctx, r) }

// Filter wraps the next step of the pipeline.
type Filter func(next Handler) Handler

// Chain joins filters, the first outermost, in front of a last handler.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}
