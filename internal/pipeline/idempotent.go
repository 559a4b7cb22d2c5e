package pipeline

import (
	"context"
	"errors"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockfold/burdockfold/internal/core/idempotency"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
)

// errInProgress reports that another run of the same request has begun. The
// Idempotent filter then waits for the end of that run without holding a slot.
var errInProgress = errors.New("pipeline: the first run has not ended")

// IdempotencyStore records the Idempotency-Keys that this daemon has served, with
// their outcomes. It is safe for concurrent use.
type IdempotencyStore struct {
	clock ident.Clock
	cfg   idempotency.Config

	mu       sync.Mutex // guards table and runEnded
	table    *idempotency.Table
	runEnded map[recordKey]chan struct{} // closed when the first run ends; nothing is sent
}

// recordKey identifies one recorded Idempotency-Key.
type recordKey struct {
	slice ident.Slice
	id    idempotency.ID
}

// NewIdempotencyStore returns an empty store.
func NewIdempotencyStore(cfg idempotency.Config, clock ident.Clock) *IdempotencyStore {
	return &IdempotencyStore{
		clock:    clock,
		cfg:      cfg,
		table:    idempotency.NewTable(cfg),
		runEnded: make(map[recordKey]chan struct{}),
	}
}

// ExportSlice encodes the records of a slice for the slice's next owner.
func (d *IdempotencyStore) ExportSlice(s ident.Slice) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.ExportSlice(d.clock.Now(), s)
}

// ImportSlice adds the records that the former owner of a slice exported. The daemon
// calls it before it serves the slice.
func (d *IdempotencyStore) ImportSlice(s ident.Slice, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.ImportSlice(d.clock.Now(), s, data)
}

// Forget deletes the records of a slice that has moved to another owner.
func (d *IdempotencyStore) Forget(s ident.Slice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.ForgetSlice(s)
}

// Idempotent answers a repeated request from the records. A repeat that arrives
// during the first run waits for the end of that run, at most until its own
// deadline.
func Idempotent(d *IdempotencyStore) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, r *Request) (*Response, error) {
			if r.IdempotencyKey == "" {
				return next.Handle(ctx, r)
			}
			if len(r.IdempotencyKey) > d.cfg.MaxToken {
				return nil, errkind.New(errkind.Malformed, "Idempotency-Key longer than %d bytes", d.cfg.MaxToken)
			}
			return d.handle(ctx, r, next)
		})
	}
}

func (d *IdempotencyStore) handle(ctx context.Context, r *Request, next Handler) (*Response, error) {
	for {
		resp, firstRunEnded, err := d.lookup(r)
		if resp != nil || err != nil {
			return resp, err
		}
		if firstRunEnded == nil {
			resp, err = next.Handle(ctx, r)
			if !errors.Is(err, errInProgress) {
				return resp, err
			}
			continue
		}
		select {
		case <-firstRunEnded:
		case <-ctx.Done():
			return nil, errkind.New(errkind.RepeatUnknown, "the first run has not ended: %w", ctx.Err())
		}
	}
}

// lookup returns the recorded answer, or a channel that is closed when the first
// run ends, or an error if the request must be refused. All results are nil for a
// key that is not recorded.
func (d *IdempotencyStore) lookup(r *Request) (*Response, <-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := attemptOf(r)
	v := d.table.Lookup(d.clock.Now(), a)
	if _, ok := v.(idempotency.InProgress); ok {
		return nil, d.runEnded[recordKey{a.Slice, a.ID}], nil
	}
	if answered, ok := v.(idempotency.AnswerStored); ok {
		return responseFromRecord(answered.Answer), nil, nil
	}
	return nil, nil, verdictError(v)
}

// beginRun records the first use of a key right before the dispatch. It returns
// errInProgress if another run has begun in the meantime.
func (d *IdempotencyStore) beginRun(r *Request) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := attemptOf(r)
	v := d.table.Begin(d.clock.Now(), a)
	switch v.(type) {
	case idempotency.FirstAttempt:
		d.runEnded[recordKey{a.Slice, a.ID}] = make(chan struct{})
		return nil
	case idempotency.InProgress, idempotency.AnswerStored:
		return errInProgress
	}
	return verdictError(v)
}

// endRun records the outcome of a run and wakes the repeats that wait for it. The
// answer may be nil.
func (d *IdempotencyStore) endRun(r *Request, truth errkind.Truth, answer *idempotency.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := attemptOf(r)
	d.table.End(d.clock.Now(), a.Slice, a.ID, idempotency.Outcome{Truth: truth, Answer: answer})
	key := recordKey{a.Slice, a.ID}
	if ch := d.runEnded[key]; ch != nil {
		close(ch)
		delete(d.runEnded, key)
	}
}

// verdictError returns the error for a verdict that refuses a request, or nil.
func verdictError(v idempotency.Verdict) error {
	switch v := v.(type) {
	case idempotency.AnswerLost:
		e := errkind.New(errkind.RepeatUnknown, "the answer of the first run is not recorded")
		e.Truth = v.Truth
		return e
	case idempotency.KeyReused:
		return errkind.New(errkind.KeyReused, "method, target or service differ")
	case idempotency.TableFull:
		e := errkind.New(errkind.Overloaded, "no room for another Idempotency-Key")
		e.RetryAfter = v.RetryAfter
		return e
	}
	return nil
}

// attemptOf returns the attempt by which the idempotency table identifies r. The
// records of a pooled service have a slice with the service's name only.
func attemptOf(r *Request) idempotency.Attempt {
	slice := r.Slice
	if r.Key == nil {
		slice = ident.Slice{Service: r.Service.Name}
	}
	h := xxhash.New()
	_, _ = h.WriteString(r.Method)
	_, _ = h.WriteString(" ")
	_, _ = h.WriteString(r.URI)
	return idempotency.Attempt{
		Slice:        slice,
		Epoch:        r.Epoch,
		ID:           idempotency.ID{Key: r.KeyHash, Token: r.IdempotencyKey},
		Fingerprint:  idempotency.Fingerprint(h.Sum64()),
		ClaimsRepeat: r.ClaimsRepeat,
	}
}
