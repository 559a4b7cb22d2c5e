package logservice

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

const maxErrorDetail = 200 // bytes of an error answer kept for the log line

// answer is one HTTP answer of the log service.
type answer struct {
	status int
	body   []byte
}

// statusError is an answer that refuses the call.
type statusError struct {
	Status int
	Detail string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("logservice: status %d: %q", e.Status, e.Detail)
}

func (a answer) statusError() *statusError {
	detail := a.body[:min(len(a.body), maxErrorDetail)]
	return &statusError{Status: a.status, Detail: string(detail)}
}

// appendError maps the status of an append. A service that answers 4xx, 429 or
// 503 has refused before it wrote; after any other failure the batch may be
// there.
func (a answer) appendError() error {
	switch {
	case a.status == http.StatusOK:
		return nil
	case a.status == http.StatusServiceUnavailable, a.status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrUnavailable, a.statusError())
	case a.status == http.StatusRequestTimeout:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, a.statusError())
	case a.status >= 400 && a.status < 500:
		return a.statusError()
	default:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, a.statusError())
	}
}

// readError maps the status of a read.
func (a answer) readError() error {
	switch {
	case a.status == http.StatusOK:
		return nil
	case a.status == http.StatusGone:
		return ErrTruncated
	case a.status == http.StatusTooManyRequests, a.status >= 500:
		return fmt.Errorf("%w: %w", ErrUnavailable, a.statusError())
	default:
		return a.statusError()
	}
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendAnswer struct {
	First *ident.Offset `json:"first"`
}

type readAnswer struct {
	Entries []readEntry `json:"entries"`
}

type readEntry struct {
	Offset *ident.Offset `json:"offset"`
	Data   []byte        `json:"data"`
}

type boundsAnswer struct {
	Oldest *ident.Offset `json:"oldest"`
	Next   *ident.Offset `json:"next"`
}

func readQuery(from ident.Offset, limit int, wait time.Duration) string {
	q := url.Values{}
	q.Set("from", strconv.FormatUint(uint64(from), 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return q.Encode()
}

func decodeAppendAnswer(body []byte) (ident.Offset, error) {
	var a appendAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, fmt.Errorf("logservice: decode append answer: %w", err)
	}
	if a.First == nil {
		return 0, errors.New("logservice: append answer has no offset")
	}
	return *a.First, nil
}

// decodeReadAnswer checks that the entries continue the stream: offsets grow,
// none is older than asked for, and there are at most limit.
func decodeReadAnswer(body []byte, from ident.Offset, limit int) ([]Entry, error) {
	var a readAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, fmt.Errorf("logservice: decode read answer: %w", err)
	}
	if len(a.Entries) > limit {
		return nil, fmt.Errorf("logservice: read answer has %d entries, limit %d", len(a.Entries), limit)
	}
	entries := make([]Entry, 0, len(a.Entries))
	for i, e := range a.Entries {
		if e.Offset == nil {
			return nil, errors.New("logservice: entry without offset")
		}
		if *e.Offset < from || (i > 0 && *e.Offset <= entries[i-1].Offset) {
			return nil, fmt.Errorf("logservice: entry at offset %d is out of order", *e.Offset)
		}
		entries = append(entries, Entry{Offset: *e.Offset, Data: e.Data})
	}
	return entries, nil
}

func decodeBoundsAnswer(body []byte) (Bounds, error) {
	var a boundsAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return Bounds{}, fmt.Errorf("logservice: decode bounds: %w", err)
	}
	if a.Oldest == nil || a.Next == nil || *a.Oldest > *a.Next {
		return Bounds{}, errors.New("logservice: bounds are missing or out of order")
	}
	return Bounds{Oldest: *a.Oldest, Next: *a.Next}, nil
}
