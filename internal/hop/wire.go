package hop

import (
	"fmt"
	"time"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// maxLeft bounds the time that a request from a peer may claim.
const maxLeft = 10 * time.Minute

// wireRequest is the CBOR array of a request. Bodies up to inlineBytes travel in
// it, longer ones as the stream's body.
type wireRequest struct {
	//lint:ignore U1000 the codec reads its tag
	_struct      struct{} `codec:",toarray"`
	ID           string
	Method       string
	Host         string
	URI          string
	Header       []string // names and values by turns
	Body         []byte
	BodySize     int // of a body that follows; zero if it is in Body
	TimeLeftMS   int64
	TargetLeftMS int64 // left until the target, zero without one; negative when it has passed
	Key          int
	Service      string
	Route        string
	Priority     int
	Caller       string
	Trace        string
}

// wireAnswer is the CBOR array of an answer.
type wireAnswer struct {
	//lint:ignore U1000 the codec reads its tag
	_struct        struct{} `codec:",toarray"`
	Status         int
	Header         []string
	Body           []byte
	BodySize       int
	Failure        *wireFailure
	ReachedBackend bool
	Load           [3]int
	ServiceTimeMS  int64 // service time at the backend server, zero if it is not known
}

type wireFailure struct {
	//lint:ignore U1000 the codec reads its tag
	_struct struct{} `codec:",toarray"`
	Kind    uint8
	Truth   string
	Detail  string
	RetryMS int64
}

// inlineBytes is the length up to which a body travels in the head: a few frames
// less for each request, well below the mesh's bound of a head.
const inlineBytes = 64 << 10

func encodeRequest(r *Request, now ident.Instant) (head, rest []byte, err error) {
	w := wireRequest{
		ID: r.ID, Method: r.Method, Host: r.Host, URI: r.URI, Header: flatten(r.Header),
		TimeLeftMS: r.TimeLeft(now).Milliseconds(), TargetLeftMS: targetLeft(r.TargetTime, now), Key: r.Key, Service: string(r.Service),
		Route: r.Route, Priority: r.Priority, Caller: r.Caller, Trace: r.Trace,
	}
	w.Body, rest = inline(r.Body)
	w.BodySize = len(rest)
	head, err = codec.Marshal(&w)
	return head, rest, err
}

func inline(body []byte) (in, rest []byte) {
	if len(body) > inlineBytes {
		return nil, body
	}
	return body, nil
}

func decodeRequest(head []byte, now ident.Instant) (*Request, int, error) {
	var w wireRequest
	if err := codec.Unmarshal(head, &w); err != nil {
		return nil, 0, fmt.Errorf("hop: request: %w", err)
	}
	fields, err := unflatten(w.Header)
	if err != nil {
		return nil, 0, err
	}
	left := min(max(time.Duration(w.TimeLeftMS)*time.Millisecond, 0), maxLeft)
	return &Request{
		ID: w.ID, Method: w.Method, Host: w.Host, URI: w.URI, Header: fields, Body: w.Body,
		Deadline: now.Add(left), TargetTime: targetAt(w.TargetLeftMS, now), Key: w.Key, Service: ident.Service(w.Service),
		Route: w.Route, Priority: w.Priority, Caller: w.Caller, Trace: w.Trace,
	}, w.BodySize, nil
}

// targetLeft is the time until a target in milliseconds. One that is just now
// counts as passed, since zero says that there is none.
func targetLeft(target, now ident.Instant) int64 {
	if target == 0 {
		return 0
	}
	if ms := target.Sub(now).Milliseconds(); ms != 0 {
		return ms
	}
	return -1
}

func targetAt(ms int64, now ident.Instant) ident.Instant {
	if ms == 0 {
		return 0
	}
	return now.Add(time.Duration(max(min(ms, maxLeft.Milliseconds()), -maxLeft.Milliseconds())) * time.Millisecond)
}

func encodeAnswer(a *Answer) (head, rest []byte, err error) {
	w := wireAnswer{
		Status: a.Status, Header: flatten(a.Header), ReachedBackend: a.ReachedBackend,
		Load: [3]int{a.Load.Running, a.Load.Waiting, a.Load.Slots}, ServiceTimeMS: a.ServiceTime.Milliseconds(),
	}
	if e := a.Failure; e != nil {
		w.Failure = &wireFailure{Kind: uint8(e.Kind), Truth: string(e.Answer().Truth), Detail: e.Detail, RetryMS: e.RetryAfter.Milliseconds()}
	}
	w.Body, rest = inline(a.Body)
	w.BodySize = len(rest)
	head, err = codec.Marshal(&w)
	return head, rest, err
}

func decodeAnswer(head []byte) (*Answer, int, error) {
	var w wireAnswer
	if err := codec.Unmarshal(head, &w); err != nil {
		return nil, 0, fmt.Errorf("hop: answer: %w", err)
	}
	fields, err := unflatten(w.Header)
	if err != nil {
		return nil, 0, err
	}
	a := &Answer{Status: w.Status, Header: fields, Body: w.Body, ReachedBackend: w.ReachedBackend, Load: Load{w.Load[0], w.Load[1], w.Load[2]}}
	a.ServiceTime = min(max(time.Duration(w.ServiceTimeMS)*time.Millisecond, 0), maxLeft)
	if f := w.Failure; f != nil {
		a.Failure = &errkind.Error{
			Kind: errkind.Kind(f.Kind), Truth: errkind.Truth(f.Truth), Detail: f.Detail,
			RetryAfter: time.Duration(f.RetryMS) * time.Millisecond,
		}
	}
	return a, w.BodySize, nil
}

func flatten(fields []Field) []string {
	out := make([]string, 0, 2*len(fields))
	for _, f := range fields {
		out = append(out, f.Name, f.Value)
	}
	return out
}

func unflatten(flat []string) ([]Field, error) {
	if len(flat)%2 != 0 {
		return nil, fmt.Errorf("hop: header of %d strings", len(flat))
	}
	out := make([]Field, 0, len(flat)/2)
	for i := 0; i < len(flat); i += 2 {
		out = append(out, Field{flat[i], flat[i+1]})
	}
	return out, nil
}
