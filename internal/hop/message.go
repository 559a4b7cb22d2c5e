// Package hop sends requests of callers from the daemon that received them to the
// daemon beside the backend server and returns the answers. Each message is a compact
// CBOR array on a stream of the mesh; a long body follows it on the same stream. Times
// travel as time left in milliseconds, because daemons do not share a clock. Every
// request gets an answer: if it fails on the way, the answer says whether a backend
// server may have executed it.
package hop

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/quarantine"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/held"
)

// HeaderNames holds the names of the HTTP header fields that a deployment uses.
type HeaderNames struct {
	RequestID     string // id of one attempt of a caller
	Deadline      string // milliseconds that the caller is willing to wait
	ShardKey      string // key that selects the backend server
	CallerService string // service that sent the request, on the host where it originated
	TargetServer  string // id of the only server that may execute the request
	ServerID      string // id of the server that sent the answer
	Signature     string // proves that the answer comes from the server
	NotRun        string // set by a server that did not execute the request
	Load          string // numbers of running and waiting requests and of slots of the server
	Limit         string // requests per second that the server accepts from all hosts together
	Leaving       string // set by a server that will stop soon
}

// Field is an HTTP header field.
type Field struct {
	Name, Value string
}

// NoKey is the value of Request.Key for a request without a shard key.
const NoKey = -1

// Request is one attempt of a caller to get a request executed by a backend server.
type Request struct {
	ID         string
	Method     string
	Host       string
	URI        string // path and query as received
	Header     []Field
	Body       []byte
	Deadline   ident.Instant // on the clock of the daemon that currently holds the request
	TargetTime ident.Instant // an answer before this time has the most value; zero means the deadline
	Key        int           // shard key, or NoKey
	Service    ident.Service
	Route      string // name of the route, used to order waiting requests
	Priority   int    // priority of the route, 0 is the most urgent
	Caller     string // service that sent the request, on the host where it originated
	Trace      string // W3C traceparent, empty if the request has none

	// Regions are the regions that the matched route allows, empty for all; BarredRegions are
	// those of daemons that refused the request for their region. They are not sent to other
	// daemons, which go by their own configuration.
	Regions, BarredRegions []ident.Region

	// SentAt is when the daemon that sent the request last did so, by its clock; zero if it was
	// not sent. Only differences to it count, since daemons share no clock.
	SentAt ident.Instant
	// Advisory is what the daemon where the request began knows of the target's backend
	// server from earlier answers; nil if nothing.
	Advisory *advisory.Advisory
	// Suspicion says how much the daemon where the request began suspects it of ending backend
	// servers; see package quarantine.
	Suspicion int
}

// Load is the slot usage of a backend server.
type Load struct {
	Running, Waiting, Slots int

	LinkWait time.Duration // that a long body waits for the link of its host
	Room     float64       // requests at once that the server takes well; zero if unknown
	Pace     float64       // how long work takes there at present, 1 as usual; zero if unknown
}

// Answer is the answer of a backend server or the failure that takes its place.
type Answer struct {
	Status         int
	Header         []Field
	Body           []byte
	Memory         held.Answer    // what Body takes here, until it is released; not sent to other daemons
	Failure        *errkind.Error // nil if the backend server answered
	ReachedBackend bool           // at least one byte of the request was, or may have been, sent to a backend server
	Load           Load           // load of the backend server beside the daemon that answers
	ServiceTime    time.Duration  // time that the backend server took; zero means unknown

	// Advisory is what the daemon beside the backend server knows of it; nil if nothing
	// that limits its use.
	Advisory *advisory.Advisory
	// Suspicion is the same of the daemon beside the server.
	Suspicion int
	// Statement is what the backend server's answer states about the server; nil if none
	// came. It is not sent to other daemons.
	Statement *advisory.Statement
	// Held is the time from the arrival of the request at the daemon beside the server to its
	// answer; zero means unknown. The rest of what the sender measures was spent on the way.
	Held time.Duration
	// ConnectionLost reports that the backend server closed or reset the connection before
	// its answer was complete. It is not sent to other daemons.
	ConnectionLost bool
}

// FailedAnswer returns the answer for a request that failed with e.
func FailedAnswer(e *errkind.Error) *Answer { return &Answer{Failure: e} }

// Handler serves requests.
type Handler interface {
	// Serve executes or forwards r. The answer is never nil.
	Serve(ctx context.Context, r *Request) *Answer
}

// credentialFields are the header fields that say on whose behalf a request is made.
var credentialFields = []string{fasthttp.HeaderAuthorization, fasthttp.HeaderCookie}

// Fingerprint identifies requests that a backend server cannot tell apart: the same
// method, path, caller, credentials, key and body, for the same service.
func (r *Request) Fingerprint() quarantine.Fingerprint {
	parts := [][]byte{
		[]byte(r.Service), []byte(r.Method), []byte(r.Host), []byte(r.URI), []byte(r.Caller),
		strconv.AppendInt(nil, int64(r.Key), 10), r.Body,
	}
	for _, f := range r.Header {
		if ContainsFold(credentialFields, f.Name) {
			parts = append(parts, []byte(strings.ToLower(f.Name)), []byte(f.Value))
		}
	}
	return quarantine.FingerprintOf(parts...)
}

// TimeLeft returns the time until the deadline of the request; it is negative after
// the deadline.
func (r *Request) TimeLeft(now ident.Instant) time.Duration { return r.Deadline.Sub(now) }
