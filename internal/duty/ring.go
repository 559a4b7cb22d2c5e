// Package duty provides the two building blocks of the daemon's concurrency. A duty is
// a long-running task in a goroutine of its own. A Group runs the duties of a
// component and ends them together as soon as one fails. A Ring is a bounded queue
// through which duties pass items to each other; its overflow policy determines what
// happens when it is full, so that no queue grows without limit.
package duty

import (
	"context"
	"sync/atomic"
)

// OverflowPolicy determines what Put does when the ring is full.
type OverflowPolicy uint8

// The overflow policies.
const (
	// RefuseNew makes Put refuse the new item and return false. If the item is a
	// request, its sender then answers "not run".
	RefuseNew OverflowPolicy = iota
	// DropOldest makes Put discard the oldest item. It suits samples and idempotent
	// messages.
	DropOldest
	// Block makes Put wait for space or for the end of its context.
	Block
)

// Ring is a bounded first-in, first-out queue between duties. It is safe for
// concurrent use.
type Ring[T any] struct {
	ch       chan T
	overflow OverflowPolicy
	dropped  atomic.Uint64
}

// NewRing returns an empty ring of the given capacity, which must be positive.
func NewRing[T any](capacity int, overflow OverflowPolicy) *Ring[T] {
	return &Ring[T]{ch: make(chan T, capacity), overflow: overflow}
}

// Put adds an item and reports whether it did. If the ring is full, Put follows the
// ring's overflow policy.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.ch <- item:
		return true
	default:
	}
	switch r.overflow {
	case DropOldest:
		return r.replaceOldest(item)
	case Block:
		return r.putWhenSpace(ctx, item)
	default:
		r.dropped.Add(1)
		return false
	}
}

// replaceOldest discards items from the front of the ring until there is space for
// the new item.
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

// putWhenSpace adds an item as soon as the ring has space for it. It reports false,
// and counts the item as dropped, if ctx ends first.
func (r *Ring[T]) putWhenSpace(ctx context.Context, item T) bool {
	select {
	case r.ch <- item:
		return true
	case <-ctx.Done():
		r.dropped.Add(1)
		return false
	}
}

// C returns the channel from which the consumer receives the items.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Dropped returns the number of items that the ring has refused or discarded so far.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
