// Package forward carries requests of the pipeline over the mesh: the sending
// side implements pipeline.Peers, the serving side mesh.StreamHandler.
package forward

import (
	"time"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// maxLeft bounds the remaining time that a peer may state.
const maxLeft = 24 * time.Hour

// requestHead is the encoded head of a forwarded request. The deadline travels
// as remaining time, since the clocks of two daemons cannot be compared.
type requestHead struct {
	ID             string                 `codec:"i"`
	Method         string                 `codec:"m"`
	URI            string                 `codec:"u"`
	Header         []pipeline.HeaderField `codec:"h"`
	ContentLength  int64                  `codec:"l"` // bytes; -1 when unknown, 0 without a body
	LeftMillis     int64                  `codec:"d"`
	Traceparent    string                 `codec:"tp"`
	Tracestate     string                 `codec:"ts"`
	IdempotencyKey string                 `codec:"k"`
	ClaimsRepeat   bool                   `codec:"c"`
	Hops           uint8                  `codec:"n"`
	CallerRegion   ident.Region           `codec:"r"`
	CallerLink     string                 `codec:"a"`
	Service        ident.Service          `codec:"s"`
	Key            []byte                 `codec:"y"`
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

// errorHead is the encoded reason of a reset.
type errorHead struct {
	Kind             errkind.Kind  `codec:"k"`
	Truth            errkind.Truth `codec:"t"`
	Detail           string        `codec:"d"`
	RetryAfterMillis int64         `codec:"r"`
}

func newRequestHead(r *pipeline.Request, left time.Duration) *requestHead {
	return &requestHead{
		ID:             r.ID,
		Method:         r.Method,
		URI:            r.URI,
		Header:         r.Header,
		ContentLength:  r.ContentLength,
		LeftMillis:     left.Milliseconds(),
		Traceparent:    r.Traceparent,
		Tracestate:     r.Tracestate,
		IdempotencyKey: r.IdempotencyKey,
		ClaimsRepeat:   r.ClaimsRepeat,
		Hops:           r.Hops + 1,
		CallerRegion:   r.CallerRegion,
		CallerLink:     r.CallerRemoteAddr,
		Service:        r.Service.Name,
		Key:            r.Key,
	}
}

// decodeRequest returns the request of an encoded head without its body.
func decodeRequest(data []byte, now ident.Instant) (*pipeline.Request, error) {
	var h requestHead
	if err := codec.Unmarshal(data, &h); err != nil {
		return nil, malformed("request head: %w", err)
	}
	if h.Method == "" || h.URI == "" || h.ContentLength < -1 || h.LeftMillis < 0 {
		return nil, malformed("request head of %q: a field is out of range", h.ID)
	}
	left := min(time.Duration(min(h.LeftMillis, maxLeft.Milliseconds()))*time.Millisecond, maxLeft)
	r := &pipeline.Request{
		ID:               h.ID,
		Origin:           pipeline.FromPeer,
		Method:           h.Method,
		URI:              h.URI,
		Header:           h.Header,
		ContentLength:    h.ContentLength,
		Arrived:          now,
		Deadline:         now.Add(left),
		Traceparent:      h.Traceparent,
		Tracestate:       h.Tracestate,
		IdempotencyKey:   h.IdempotencyKey,
		ClaimsRepeat:     h.ClaimsRepeat,
		Hops:             h.Hops,
		CallerRegion:     h.CallerRegion,
		CallerRemoteAddr: h.CallerLink,
		Key:              h.Key,
	}
	r.Service.Name = h.Service
	return r, nil
}

func malformed(format string, args ...any) error {
	e := errkind.New(errkind.PeerProtocol, format, args...)
	e.Truth = errkind.NotRun // refused before any filter saw it
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

// decodeResponse returns the response of an encoded head without its body.
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
	minStatus = 200 // of a final HTTP answer
	maxStatus = 599
)

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
		return nil // decodes as an unknown outcome
	}
	return data
}

// decodeError returns the error of an encoded reset. A reason that cannot be
// read says nothing about the execution.
func decodeError(data []byte) error {
	var h errorHead
	if err := codec.Unmarshal(data, &h); err != nil {
		return errkind.New(errkind.OutcomeUnknown, "reset with an unreadable reason: %w", err)
	}
	retryAfter := min(max(h.RetryAfterMillis, 0), maxLeft.Milliseconds())
	return &errkind.Error{
		Kind:       h.Kind,
		Truth:      knownTruth(h.Truth),
		Detail:     h.Detail,
		RetryAfter: time.Duration(retryAfter) * time.Millisecond,
	}
}

// knownTruth maps what a newer version may say to the closed set.
func knownTruth(t errkind.Truth) errkind.Truth {
	switch t {
	case errkind.NotRun, errkind.Ran:
		return t
	default:
		return errkind.Unknown
	}
}
