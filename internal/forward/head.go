// Package forward carries requests from the pipeline of one daemon to that of
// another over the mesh. Client is the sending side and implements pipeline.Peers;
// Server is the receiving side and implements mesh.StreamHandler. Each request
// uses one stream: an encoded head and the body go out, and a head with a body, or
// a reset with an encoded error, comes back. An error states that the request did
// not run only if that is certain.
package forward

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// maxRemaining is the upper bound on the remaining time and the retry delay that
// are accepted from a peer.
const maxRemaining = 24 * time.Hour

// requestHead is the encoded head of a forwarded request. It carries the deadline
// as the remaining time, since the clocks of two daemons cannot be compared.
type requestHead struct {
	ID               string                 `codec:"i"`
	Method           string                 `codec:"m"`
	URI              string                 `codec:"u"`
	Header           []pipeline.HeaderField `codec:"h"`
	ContentLength    int64                  `codec:"l"` // bytes; -1 when unknown, 0 without a body
	RemainingMillis  int64                  `codec:"d"`
	Traceparent      string                 `codec:"tp"`
	Tracestate       string                 `codec:"ts"`
	IdempotencyKey   string                 `codec:"k"`
	ClaimsRepeat     bool                   `codec:"c"`
	Hops             uint8                  `codec:"n"`
	CallerRegion     ident.Region           `codec:"r"`
	CallerRemoteAddr string                 `codec:"a"`
	Service          ident.Service          `codec:"s"`
	Key              []byte                 `codec:"y"`
}

// responseHead is the encoded head of an answer.
type responseHead struct {
	Status        int                    `codec:"s"`
	Header        []pipeline.HeaderField `codec:"h"`
	ContentLength int64                  `codec:"l"`
	Truth         errkind.Truth          `codec:"t"`
	ServedBy      ident.Member           `codec:"m"`
	OwnerAddr     string                 `codec:"a"`
}

// errorHead is the encoded error that a reset carries.
type errorHead struct {
	Kind             errkind.Kind  `codec:"k"`
	Truth            errkind.Truth `codec:"t"`
	Detail           string        `codec:"d"`
	RetryAfterMillis int64         `codec:"r"`
}

// newRequestHead returns the head of r, which has the given time left and is about
// to make one more hop.
func newRequestHead(r *pipeline.Request, remaining time.Duration) *requestHead {
	return &requestHead{
		ID:               r.ID,
		Method:           r.Method,
		URI:              r.URI,
		Header:           r.Header,
		ContentLength:    r.ContentLength,
		RemainingMillis:  remaining.Milliseconds(),
		Traceparent:      r.Traceparent,
		Tracestate:       r.Tracestate,
		IdempotencyKey:   r.IdempotencyKey,
		ClaimsRepeat:     r.ClaimsRepeat,
		Hops:             r.Hops + 1,
		CallerRegion:     r.CallerRegion,
		CallerRemoteAddr: r.CallerRemoteAddr,
		Service:          r.Service.Name,
		Key:              r.Key,
	}
}

// decodeRequest decodes the head of a request that arrived at the instant now. The
// returned request has no body.
func decodeRequest(data []byte, now ident.Instant) (*pipeline.Request, error) {
	var h requestHead
	if err := codec.Unmarshal(data, &h); err != nil {
		return nil, malformedError("request head: %w", err)
	}
	if h.Method == "" || h.URI == "" || h.ContentLength < -1 || h.RemainingMillis < 0 {
		return nil, malformedError("request head of %q: a field is out of range", h.ID)
	}
	remaining := min(time.Duration(min(h.RemainingMillis, maxRemaining.Milliseconds()))*time.Millisecond, maxRemaining)
	r := &pipeline.Request{
		ID:               h.ID,
		Origin:           pipeline.FromPeer,
		Method:           h.Method,
		URI:              h.URI,
		Header:           h.Header,
		ContentLength:    h.ContentLength,
		Arrived:          now,
		Deadline:         now.Add(remaining),
		Traceparent:      h.Traceparent,
		Tracestate:       h.Tracestate,
		IdempotencyKey:   h.IdempotencyKey,
		ClaimsRepeat:     h.ClaimsRepeat,
		Hops:             h.Hops,
		CallerRegion:     h.CallerRegion,
		CallerRemoteAddr: h.CallerRemoteAddr,
		Key:              h.Key,
	}
	r.Service.Name = h.Service
	return r, nil
}

// malformedError returns a PeerProtocol error whose execution status is not-run.
func malformedError(format string, args ...any) error {
	e := errkind.New(errkind.PeerProtocol, format, args...)
	e.Truth = errkind.NotRun // the request was refused before any filter ran
	return e
}

func encodeResponse(resp *pipeline.Response) ([]byte, error) {
	return codec.Marshal(&responseHead{
		Status:        resp.Status,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Truth:         resp.Truth,
		ServedBy:      resp.ServedBy,
		OwnerAddr:     resp.OwnerAddr,
	})
}

// decodeResponse decodes the head of an answer. The returned response has no body.
func decodeResponse(data []byte) (*pipeline.Response, error) {
	var h responseHead
	if err := codec.Unmarshal(data, &h); err != nil {
		return nil, errkind.New(errkind.PeerProtocol, "answer head: %w", err)
	}
	if h.Status < minStatus || h.Status > maxStatus || h.ContentLength < -1 {
		return nil, errkind.New(errkind.PeerProtocol, "answer head: status %d, length %d", h.Status, h.ContentLength)
	}
	return &pipeline.Response{
		Status:        h.Status,
		Header:        h.Header,
		ContentLength: h.ContentLength,
		Truth:         knownTruth(h.Truth),
		ServedBy:      h.ServedBy,
		OwnerAddr:     h.OwnerAddr,
	}, nil
}

const (
	minStatus = 200 // lowest status of a final HTTP answer
	maxStatus = 599
)

// encodeError returns the payload of the reset that reports err.
func encodeError(err error) []byte {
	e := errkind.As(err)
	a := e.Answer()
	data, err := codec.Marshal(&errorHead{
		Kind:             e.Kind,
		Truth:            a.Truth,
		Detail:           e.Detail,
		RetryAfterMillis: a.RetryAfter.Milliseconds(),
	})
	if err != nil {
		return nil // the peer decodes nil as an OutcomeUnknown error
	}
	return data
}

// decodeError decodes the payload of a reset. It returns an OutcomeUnknown error for
// an invalid payload, which does not show whether the request ran.
func decodeError(data []byte) error {
	var h errorHead
	if err := codec.Unmarshal(data, &h); err != nil {
		return errkind.New(errkind.OutcomeUnknown, "reset with an unreadable reason: %w", err)
	}
	retryAfter := min(max(h.RetryAfterMillis, 0), maxRemaining.Milliseconds())
	return &errkind.Error{
		Kind:       h.Kind,
		Truth:      knownTruth(h.Truth),
		Detail:     h.Detail,
		RetryAfter: time.Duration(retryAfter) * time.Millisecond,
	}
}

// knownTruth maps an execution status that this version does not know, such as one
// of a newer peer, to errkind.Unknown.
func knownTruth(t errkind.Truth) errkind.Truth {
	switch t {
	case errkind.NotRun, errkind.Ran:
		return t
	default:
		return errkind.Unknown
	}
}
