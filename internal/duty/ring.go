// Package duty provides the two building blocks of the daemon's concurrency:
// bounded rings and groups of goroutines with one duty each.
package duty

import (
	"context"
	"sync/atomic"
)

// OverflowPolicy says what a ring does with an item when it is full.
type OverflowPolicy uint8

// The rules for a full ring.
const (
	// RefuseNew makes Put return false; the caller answers "not run".
	RefuseNew OverflowPolicy = iota
	// DropOldest discards the oldest item; for samples and idempotent messages.
	DropOldest
	// Block waits for space or for the context to end.
	Block
)

// Ring is a bounded queue between two duties. It is safe for concurrent use.
type Ring[T any] struct {
	ch      chan T
	rule    OverflowPolicy
	dropped atomic.Uint64
}

// NewRing returns a ring of the given capacity, which must be positive.
func NewRing[T any](capacity int, rule OverflowPolicy) *Ring[T] {
	return &Ring[T]{ch: make(chan T, capacity), rule: rule}
}

// Put adds an item by the ring's rule and reports whether it was added.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.ch <- item:
		return true
	default:
	}
	switch r.rule {
	case DropOldest:
		return r.replaceOldest(item)
	case Block:
		return r.wait(ctx, item)
	default:
		r.dropped.Add(1)
		return false
	}
}

func (r *Ring[T]) replaceOldest(item T) bool {
	for {
		select {
		case r.ch <- item:
			return true
		default:
		}
		select {
		case <-r.ch:
			r.dropped.Add(1)
		default:
		}
	}
}

func (r *Ring[T]) wait(ctx context.Context, item T) bool {
	select {
	case r.ch <- item:
		return true
	case <-ctx.Done():
		r.dropped.Add(1)
		return false
	}
}

// C returns the channel from which the consumer takes items.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Dropped returns how many items were refused or discarded.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
