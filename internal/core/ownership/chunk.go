package ownership

import (
	"crypto/sha256"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// The bounds of what an Assembler keeps.
const (
	maxSnapshotChunks = 4096
	maxSnapshotBytes  = 64 << 20
	maxPartial        = 4 // incomplete snapshots kept at once
)

// SplitSnapshot divides an encoded snapshot of all records before at into records of
// at most size bytes of data.
func SplitSnapshot(term ident.Term, at ident.Offset, data []byte, size int) []*record.SnapshotChunk {
	count := max(1, (len(data)+size-1)/size)
	digest := sha256.Sum256(data)
	out := make([]*record.SnapshotChunk, count)
	for i := range out {
		from, to := i*size, min((i+1)*size, len(data))
		out[i] = &record.SnapshotChunk{
			Term:       term,
			NextOffset: at,
			Index:      uint32(i),
			Count:      uint32(count),
			Digest:     digest,
			Data:       data[from:to],
		}
	}
	return out
}

// Assembler gathers the chunks of snapshots in any order. It keeps the newest
// complete snapshot and a bounded number of newer incomplete ones. It is used
// by one goroutine.
type Assembler struct {
	partial map[snapshotKey]*partialSnapshot
	data    []byte
	at      ident.Offset
	ok      bool
}

type snapshotKey struct {
	at     ident.Offset
	digest [sha256.Size]byte
	count  uint32
}

type partialSnapshot struct {
	chunks [][]byte
	seen   int
	bytes  int
}

// NewAssembler returns an empty assembler.
func NewAssembler() *Assembler {
	return &Assembler{partial: make(map[snapshotKey]*partialSnapshot)}
}

// NewestSnapshot returns the newest complete snapshot whose digest is right, and the
// offset of the first record that is not in it.
func (a *Assembler) NewestSnapshot() (data []byte, at ident.Offset, ok bool) {
	return a.data, a.at, a.ok
}

// AddChunk takes one chunk and reports whether it completed a newer snapshot.
func (a *Assembler) AddChunk(c *record.SnapshotChunk) bool {
	if c.Count == 0 || c.Count > maxSnapshotChunks || c.Index >= c.Count {
		return false
	}
	if a.ok && c.NextOffset <= a.at {
		return false
	}
	key := snapshotKey{at: c.NextOffset, digest: c.Digest, count: c.Count}
	p := a.open(key)
	if p == nil || p.chunks[c.Index] != nil {
		return false
	}
	p.chunks[c.Index] = append([]byte{}, c.Data...)
	p.seen++
	p.bytes += len(c.Data)
	if p.bytes > maxSnapshotBytes {
		delete(a.partial, key)
		return false
	}
	if p.seen < len(p.chunks) {
		return false
	}
	return a.complete(key, p)
}

func (a *Assembler) complete(key snapshotKey, p *partialSnapshot) bool {
	delete(a.partial, key)
	data := make([]byte, 0, p.bytes)
	for _, chunk := range p.chunks {
		data = append(data, chunk...)
	}
	if sha256.Sum256(data) != key.digest {
		return false
	}
	a.data, a.at, a.ok = data, key.at, true
	for k := range a.partial {
		if k.at <= key.at {
			delete(a.partial, k)
		}
	}
	return true
}

// open returns the snapshot being gathered under key. When too many are open,
// the oldest is dropped; nil means that key itself is the oldest.
func (a *Assembler) open(key snapshotKey) *partialSnapshot {
	if p := a.partial[key]; p != nil {
		return p
	}
	if len(a.partial) >= maxPartial {
		oldest := key
		for k := range a.partial {
			if k.at < oldest.at {
				oldest = k
			}
		}
		if oldest == key {
			return nil
		}
		delete(a.partial, oldest)
	}
	p := &partialSnapshot{chunks: make([][]byte, key.count)}
	a.partial[key] = p
	return p
}
