package mesh

import (
	"sync"
	"sync/atomic"
)

// States of an item. For an item that opens a stream, either the writer claims
// it or its opener withdraws it, whichever comes first. If the withdrawal
// succeeds, the opener knows that no byte of the stream was written.
const (
	itemQueued uint32 = iota
	itemClaimed
	itemWithdrawn
)

// maxPooledBytes is the capacity above which a buffer is not returned to its
// pool, so that rare large buffers do not stay in memory.
const maxPooledBytes = 256 << 10

// item is an entry of a connection's rings: encoded frames that are written
// together. It returns to the pool when its last reference is released.
type item struct {
	buf         []byte
	state       atomic.Uint32
	refs        atomic.Int32
	chunkStream *stream // stream whose chunkWritten is called after the write; nil if the item holds no chunk
}

var itemPool = sync.Pool{New: func() any { return new(item) }}

// newItem returns an empty item with one reference for the writer and otherRefs
// further references.
func newItem(otherRefs int32) *item {
	it := itemPool.Get().(*item)
	it.refs.Store(1 + otherRefs)
	it.state.Store(itemQueued)
	return it
}

// claimForWrite claims the item for the writer and reports whether it was still
// queued.
func (it *item) claimForWrite() bool { return it.state.CompareAndSwap(itemQueued, itemClaimed) }

// withdraw claims the item for its opener and reports whether it was still
// queued. A withdrawn item is never written.
func (it *item) withdraw() bool { return it.state.CompareAndSwap(itemQueued, itemWithdrawn) }

// release releases one reference to the item.
func (it *item) release() {
	if it.refs.Add(-1) > 0 {
		return
	}
	it.chunkStream = nil
	if cap(it.buf) > maxPooledBytes {
		it.buf = nil
	}
	it.buf = it.buf[:0]
	itemPool.Put(it)
}

// bytesPool is a pool of byte buffers.
type bytesPool struct{ pool sync.Pool }

var (
	messageBuffers bytesPool // received messages
	chunkBuffers   bytesPool // parts of bodies that are received and not yet read
)

// get returns a buffer of n bytes with arbitrary content.
func (p *bytesPool) get(n int) *[]byte {
	b, ok := p.pool.Get().(*[]byte)
	if !ok {
		b = new([]byte)
	}
	if cap(*b) < n {
		*b = make([]byte, n)
	}
	*b = (*b)[:n]
	return b
}

// put returns a buffer to the pool unless it is larger than maxPooledBytes.
func (p *bytesPool) put(b *[]byte) {
	if cap(*b) <= maxPooledBytes {
		p.pool.Put(b)
	}
}
