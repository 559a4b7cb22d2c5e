// Package hop carries requests from the daemon that a caller uses to the daemon
// beside the backend server, as compact CBOR over the mesh.
package hop

import (
	"context"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// HeaderNames are the HTTP header fields that a deployment uses.
type HeaderNames struct {
	RequestID     string // of one attempt of a caller
	Deadline      string // milliseconds that the caller waits
	ShardKey      string
	CallerService string // service on the host where the request began
	TargetServer  string // id of the only server that may run the request
	ServerID      string // id of the server that answers
	Signature     string // proof that an answer is the server's
	NotRun        string // the server says that it did not run the request
	Load          string // running, waiting and slots of a server
}

// Field is one field of an HTTP header.
type Field struct {
	Name, Value string
}

// NoKey is the shard key of a request without one.
const NoKey = -1

// Request is one attempt of a caller on its way to a backend server.
type Request struct {
	ID         string
	Method     string
	Host       string
	URI        string // path and query as received
	Header     []Field
	Body       []byte
	Deadline   ident.Instant // on the clock of the daemon that holds it
	TargetTime ident.Instant // an answer by then is worth most; zero: the deadline
	Key        int           // shard key, or NoKey
	Service    ident.Service
	Route      string // name, for the order of waiting requests
	Priority   int    // of the route, 0 is the most urgent
	Caller     string // service on the host where the request began
	Trace      string // W3C trace context, empty without one
}

// Load is the use of a backend server's slots.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is the answer of a backend server, or the reason why there is none.
type Answer struct {
	Status         int
	Header         []Field
	Body           []byte
	Failure        *errkind.Error // nil if the server answered
	ReachedBackend bool           // a byte of the request reached a backend server
	Load           Load           // of the server beside the daemon that answers
	ServiceTime    time.Duration  // service time at the backend server; zero: not known
}

// FailedAnswer returns the answer for a request that got none.
func FailedAnswer(e *errkind.Error) *Answer { return &Answer{Failure: e} }

// Handler serves requests. It always returns an answer.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Answer
}

// TimeLeft is the time until the request's deadline.
func (r *Request) TimeLeft(now ident.Instant) time.Duration { return r.Deadline.Sub(now) }
