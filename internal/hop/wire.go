package hop

import (
	"fmt"
	"math"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/advisory"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/roster"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// maxPeerDuration limits the time left, the time until the target and the service time
// in a message from a peer. Larger values are reduced to it.
const maxPeerDuration = 10 * time.Minute

// maxSuspicion limits the suspicion in a message from a peer.
const maxSuspicion = 1000

// Limits of the room and the pace in a message from a peer.
const (
	maxRoomTenths  = 1 << 20
	maxPacePercent = 10_000
)

// wireRequest is the CBOR array that encodes a request. It contains a body of up to
// inlineBytes; a longer body is sent as the body of the stream. The order of the fields
// is the wire format.
type wireRequest struct {
	//lint:ignore U1000 the codec reads its tag
	_struct      struct{} `codec:",toarray"`
	ID           string
	Method       string
	Host         string
	URI          string
	Header       []string // names and values alternate
	Body         []byte
	BodySize     int // length of a body that follows on the stream, in bytes; zero if Body holds it
	TimeLeftMS   int64
	TargetLeftMS int64 // time until the target time; zero means none, negative that it has passed
	Key          int
	Service      string
	Route        string
	Priority     int
	Caller       string
	Trace        string
	Advisory     *wireAdvisory
	Suspicion    int
	SentMS       int64 // by the sender's clock; zero means unknown
}

// wireAnswer is the CBOR array that encodes an answer. The order of the fields is the
// wire format.
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
	ServiceTimeMS  int64 // time that the backend server took; zero means unknown
	Advisory       *wireAdvisory
	Suspicion      int
	LinkWaitMS     int64
	RoomTenths     int // tenths of a request; zero means unknown
	PacePercent    int // zero means unknown
	HeldMS         int64
}

// wireAdvisory is the CBOR array that encodes an advisory. The order of the fields is the
// wire format.
type wireAdvisory struct {
	//lint:ignore U1000 the codec reads its tag
	_struct   struct{} `codec:",toarray"`
	ID        string
	StartedMS int64
	Limit     float64
	LeavingMS int64 // time since the server is known to leave, in milliseconds; noLeave if it does not
}

// noLeave is the value of wireAdvisory.LeavingMS for a server that does not leave.
const noLeave = -1

// wireFailure is the CBOR array that encodes the failure of an answer. The order of the
// fields is the wire format.
type wireFailure struct {
	//lint:ignore U1000 the codec reads its tag
	_struct struct{} `codec:",toarray"`
	Kind    uint8
	Truth   string
	Detail  string
	RetryMS int64
}

// maxStatus is the greatest status of an answer.
const maxStatus = 599

// inlineBytes is the maximum length of a body that is sent in the head. A body in the
// head saves a few frames per request. The value is well below the mesh's limit on the
// size of a head.
const inlineBytes = 64 << 10

// encodeRequest returns the encoded head of r and the body that must follow it, if the
// body is longer than inline bytes.
func encodeRequest(r *Request, now ident.Instant, inline int) (head, rest []byte, err error) {
	w := wireRequest{
		ID: r.ID, Method: r.Method, Host: r.Host, URI: r.URI, Header: flattenFields(r.Header),
		TimeLeftMS: r.TimeLeft(now).Milliseconds(), TargetLeftMS: targetLeft(r.TargetTime, now), Key: r.Key, Service: string(r.Service),
		Route: r.Route, Priority: r.Priority, Caller: r.Caller, Trace: r.Trace, Advisory: encodeAdvisory(r.Advisory, now),
		Suspicion: r.Suspicion, SentMS: int64(time.Duration(r.SentAt) / time.Millisecond),
	}
	w.Body, rest = splitBody(r.Body, inline)
	w.BodySize = len(rest)
	head, err = codec.Marshal(&w)
	return head, rest, err
}

// splitBody returns body as the part in the head if it is no longer than limit bytes, else as
// the part that follows the head.
func splitBody(body []byte, limit int) (inline, rest []byte) {
	if len(body) > limit {
		return nil, body
	}
	return body, nil
}

// decodeRequest returns the request in head and the length in bytes of the body that
// follows it on the stream. It converts the time left to a deadline on the local clock.
func decodeRequest(head []byte, now ident.Instant) (*Request, int, error) {
	var w wireRequest
	if err := codec.Unmarshal(head, &w); err != nil {
		return nil, 0, fmt.Errorf("hop: request: %w", err)
	}
	fields, err := parseFields(w.Header)
	if err != nil {
		return nil, 0, err
	}
	left := min(max(time.Duration(w.TimeLeftMS)*time.Millisecond, 0), maxPeerDuration)
	return &Request{
		ID: w.ID, Method: w.Method, Host: w.Host, URI: w.URI, Header: fields, Body: w.Body,
		Deadline: now.Add(left), TargetTime: targetTime(w.TargetLeftMS, now), Key: w.Key, Service: ident.Service(w.Service),
		Route: w.Route, Priority: w.Priority, Caller: w.Caller, Trace: w.Trace, Advisory: decodeAdvisory(w.Advisory, now),
		Suspicion: limitSuspicion(w.Suspicion), SentAt: sentAt(w.SentMS),
	}, w.BodySize, nil
}

// maxSentMS limits the time of a sender's clock, in milliseconds, so that it fits an instant.
const maxSentMS = int64(math.MaxInt64 / int64(time.Millisecond))

// sentAt returns the instant that a peer states in milliseconds, zero if it states none.
func sentAt(ms int64) ident.Instant {
	if ms <= 0 || ms > maxSentMS {
		return 0
	}
	return ident.Instant(time.Duration(ms) * time.Millisecond)
}

// targetLeft returns the time until target in milliseconds, or zero if there is no
// target. A target less than a millisecond away counts as passed, since zero means that
// there is none.
func targetLeft(target, now ident.Instant) int64 {
	if target == 0 {
		return 0
	}
	if ms := target.Sub(now).Milliseconds(); ms != 0 {
		return ms
	}
	return -1
}

// targetTime returns the target time that is ms milliseconds away, or zero if ms is zero.
func targetTime(ms int64, now ident.Instant) ident.Instant {
	if ms == 0 {
		return 0
	}
	return now.Add(time.Duration(max(min(ms, maxPeerDuration.Milliseconds()), -maxPeerDuration.Milliseconds())) * time.Millisecond)
}

// encodeAnswer returns the encoded head of a and the body that must follow it, if the
// body is longer than inline bytes.
func encodeAnswer(a *Answer, now ident.Instant, inline int) (head, rest []byte, err error) {
	w := wireAnswer{
		Status: a.Status, Header: flattenFields(a.Header), ReachedBackend: a.ReachedBackend,
		Load: [3]int{a.Load.Running, a.Load.Waiting, a.Load.Slots}, ServiceTimeMS: a.ServiceTime.Milliseconds(),
		Advisory: encodeAdvisory(a.Advisory, now), Suspicion: a.Suspicion, LinkWaitMS: a.Load.LinkWait.Milliseconds(),
		RoomTenths: int(math.Round(10 * a.Load.Room)), PacePercent: int(math.Round(100 * a.Load.Pace)), HeldMS: a.Held.Milliseconds(),
	}
	if e := a.Failure; e != nil {
		w.Failure = &wireFailure{Kind: uint8(e.Kind), Truth: string(e.Answer().Truth), Detail: e.Detail, RetryMS: e.RetryAfter.Milliseconds()}
	}
	w.Body, rest = splitBody(a.Body, inline)
	w.BodySize = len(rest)
	head, err = codec.Marshal(&w)
	return head, rest, err
}

// decodeAnswer returns the answer in head and the length in bytes of the body that
// follows it on the stream.
func decodeAnswer(head []byte, now ident.Instant) (*Answer, int, error) {
	var w wireAnswer
	if err := codec.Unmarshal(head, &w); err != nil {
		return nil, 0, fmt.Errorf("hop: answer: %w", err)
	}
	fields, err := parseFields(w.Header)
	if err != nil {
		return nil, 0, err
	}
	a := &Answer{Status: w.Status, Header: fields, Body: w.Body, ReachedBackend: w.ReachedBackend, Load: Load{Running: w.Load[0], Waiting: w.Load[1], Slots: w.Load[2]}}
	a.Load.LinkWait = peerDuration(w.LinkWaitMS)
	a.Load.Room = float64(min(max(w.RoomTenths, 0), maxRoomTenths)) / 10
	a.Held = peerDuration(w.HeldMS)
	a.Load.Pace = float64(min(max(w.PacePercent, 0), maxPacePercent)) / 100
	a.Advisory, a.Suspicion = decodeAdvisory(w.Advisory, now), limitSuspicion(w.Suspicion)
	a.ServiceTime = peerDuration(w.ServiceTimeMS)
	if f := w.Failure; f != nil {
		a.Failure = &errkind.Error{
			Kind: errkind.Kind(f.Kind), Truth: errkind.Truth(f.Truth), Detail: f.Detail,
			RetryAfter: time.Duration(f.RetryMS) * time.Millisecond,
		}
	}
	return a, w.BodySize, nil
}

// peerDuration returns the duration that a peer states in milliseconds, or the nearest one
// that is possible.
func peerDuration(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxPeerDuration.Milliseconds())) * time.Millisecond
}

// checkHead returns an error if an answer that is no failure has a status of no final answer, or a
// line that is no field. A daemon of an earlier version passes such lines on.
func checkHead(a *Answer) error {
	if a.Failure != nil {
		return nil
	}
	if a.Status < fasthttp.StatusOK || a.Status > maxStatus {
		return fmt.Errorf("hop: answer of status %d", a.Status)
	}
	for _, f := range a.Header {
		if !httpguts.ValidHeaderFieldName(f.Name) || !httpguts.ValidHeaderFieldValue(f.Value) {
			return fmt.Errorf("hop: answer with the field %q: %q", f.Name, f.Value)
		}
	}
	return nil
}

// limitSuspicion returns the suspicion that a peer states, or the nearest one that is possible.
func limitSuspicion(n int) int { return min(max(n, 0), maxSuspicion) }

// encodeAdvisory returns the encoding of an advisory, nil for nil.
func encodeAdvisory(a *advisory.Advisory, now ident.Instant) *wireAdvisory {
	if a == nil {
		return nil
	}
	w := &wireAdvisory{ID: a.Instance.ID, StartedMS: a.Instance.StartedMS, Limit: a.Limit, LeavingMS: noLeave}
	if a.Leaving {
		w.LeavingMS = max(now.Sub(a.LeavingSince).Milliseconds(), 0)
	}
	return w
}

// decodeAdvisory is the inverse of encodeAdvisory. It converts the time since the leave to
// an instant on the local clock, and drops a limit that is not a positive number.
func decodeAdvisory(w *wireAdvisory, now ident.Instant) *advisory.Advisory {
	if w == nil {
		return nil
	}
	a := &advisory.Advisory{Instance: roster.Instance{ID: w.ID, StartedMS: w.StartedMS}}
	if w.Limit > 0 && !math.IsInf(w.Limit, 0) {
		a.Limit = w.Limit
	}
	if w.LeavingMS >= 0 {
		age := time.Duration(min(w.LeavingMS, maxPeerDuration.Milliseconds())) * time.Millisecond
		a.Leaving, a.LeavingSince = true, now.Add(-age)
	}
	return a
}

// flattenFields returns the names and values of fields alternately.
func flattenFields(fields []Field) []string {
	out := make([]string, 0, 2*len(fields))
	for _, f := range fields {
		out = append(out, f.Name, f.Value)
	}
	return out
}

// parseFields is the inverse of flattenFields.
func parseFields(flat []string) ([]Field, error) {
	if len(flat)%2 != 0 {
		return nil, fmt.Errorf("hop: header of %d strings", len(flat))
	}
	out := make([]Field, 0, len(flat)/2)
	for i := 0; i < len(flat); i += 2 {
		out = append(out, Field{flat[i], flat[i+1]})
	}
	return out, nil
}
