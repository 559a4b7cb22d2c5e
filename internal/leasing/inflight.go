package leasing

import (
	"context"
	"sync"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// inFlight counts the requests in flight on each slice.
type inFlight struct {
	mu          sync.Mutex // guards counts and idleSignals
	counts      map[ident.Slice]int
	idleSignals map[ident.Slice]chan struct{} // closed when the count of the slice drops to zero
}

func newInFlight() *inFlight {
	return &inFlight{counts: map[ident.Slice]int{}, idleSignals: map[ident.Slice]chan struct{}{}}
}

func (f *inFlight) addRequest(s ident.Slice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[s]++
}

func (f *inFlight) removeRequest(s ident.Slice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[s]--
	if f.counts[s] > 0 {
		return
	}
	delete(f.counts, s)
	if idle := f.idleSignals[s]; idle != nil {
		close(idle)
		delete(f.idleSignals, s)
	}
}

// waitIdle waits until no request is in flight on the slice. It returns the
// error of ctx if ctx ends first.
func (f *inFlight) waitIdle(ctx context.Context, s ident.Slice) error {
	idle := f.idleSignal(s)
	if idle == nil {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// idleSignal returns a channel that is closed when the slice's last request in
// flight ends, or nil if no request is in flight now.
func (f *inFlight) idleSignal(s ident.Slice) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[s] == 0 {
		return nil
	}
	if f.idleSignals[s] == nil {
		f.idleSignals[s] = make(chan struct{})
	}
	return f.idleSignals[s]
}
