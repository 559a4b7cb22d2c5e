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

// errInProgress sends a concurrent repeat back to wait without a slot.
var errInProgress = errors.New("pipeline: the first run has not ended")

// IdempotencyStore is the record of IdempotencyStore-Keys of this daemon. It is safe for
// concurrent use.
type IdempotencyStore struct {
	clock ident.Clock
	cfg   idempotency.Config

	mu    sync.Mutex // guards table and ended
	table *idempotency.Table
	ended map[recordKey]chan struct{} // closed at the end of the first run; no sends
}

type recordKey struct {
	slice ident.Slice
	id    idempotency.ID
}

// NewIdempotencyStore returns an empty record.
func NewIdempotencyStore(cfg idempotency.Config, clock ident.Clock) *IdempotencyStore {
	return &IdempotencyStore{
		clock: clock,
		cfg:   cfg,
		table: idempotency.NewTable(cfg),
		ended: make(map[recordKey]chan struct{}),
	}
}

// ExportSlice encodes the record of a slice for its next owner.
func (d *IdempotencyStore) ExportSlice(s ident.Slice) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.ExportSlice(d.clock.Now(), s)
}

// ImportSlice adds a record that was exported by the former owner of a slice. It is
// called before this daemon serves the slice.
func (d *IdempotencyStore) ImportSlice(s ident.Slice, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.ImportSlice(d.clock.Now(), s, data)
}

// Forget drops the record of a slice that was handed over.
func (d *IdempotencyStore) Forget(s ident.Slice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.ForgetSlice(s)
}

// Idempotent answers a repeat from the record. A repeat that arrives during the
// first run waits for its end within the deadline.
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
		resp, wait, err := d.lookup(r)
		if resp != nil || err != nil {
			return resp, err
		}
		if wait == nil {
			resp, err = next.Handle(ctx, r)
			if !errors.Is(err, errInProgress) {
				return resp, err
			}
			continue
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, errkind.New(errkind.RepeatUnknown, "the first run has not ended: %w", ctx.Err())
		}
	}
}

// lookup returns the recorded answer, or a channel that is closed when the
// first run ends, or neither for a key that is not recorded.
func (d *IdempotencyStore) lookup(r *Request) (*Response, <-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := attemptOf(r)
	v := d.table.Lookup(d.clock.Now(), a)
	if _, ok := v.(idempotency.InProgress); ok {
		return nil, d.ended[recordKey{a.Slice, a.ID}], nil
	}
	if answered, ok := v.(idempotency.AnswerStored); ok {
		return replayAnswer(answered.Answer), nil, nil
	}
	return nil, nil, refusal(v)
}

// begin records the first use of a key right before the hand-over.
func (d *IdempotencyStore) begin(r *Request) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := attemptOf(r)
	v := d.table.Begin(d.clock.Now(), a)
	switch v.(type) {
	case idempotency.FirstAttempt:
		d.ended[recordKey{a.Slice, a.ID}] = make(chan struct{})
		return nil
	case idempotency.InProgress, idempotency.AnswerStored:
		return errInProgress
	}
	return refusal(v)
}

func (d *IdempotencyStore) end(r *Request, truth errkind.Truth, answer *idempotency.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := attemptOf(r)
	d.table.End(d.clock.Now(), a.Slice, a.ID, idempotency.Outcome{Truth: truth, Answer: answer})
	key := recordKey{a.Slice, a.ID}
	if ch := d.ended[key]; ch != nil {
		close(ch)
		delete(d.ended, key)
	}
}

func refusal(v idempotency.Verdict) error {
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
