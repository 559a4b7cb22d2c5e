package ownership

import (
	"crypto/sha256"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/record"
)

// Limits of an Assembler.
const (
	maxSnapshotChunks   = 4096
	maxSnapshotBytes    = 64 << 20
	maxPartialSnapshots = 4 // incomplete snapshots kept at once
)

// SplitSnapshot splits an encoded snapshot into records with at most size bytes
// of data each. The snapshot contains all records before nextOffset. Even an
// empty snapshot yields one record.
func SplitSnapshot(term ident.Term, nextOffset ident.Offset, data []byte, size int) []*record.SnapshotChunk {
	count := max(1, (len(data)+size-1)/size)
	digest := sha256.Sum256(data)
	out := make([]*record.SnapshotChunk, count)
	for i := range out {
		from, to := i*size, min((i+1)*size, len(data))
		out[i] = &record.SnapshotChunk{
			Term:       term,
			NextOffset: nextOffset,
			Index:      uint32(i),
			Count:      uint32(count),
			Digest:     digest,
			Data:       data[from:to],
		}
	}
	return out
}

// Assembler reassembles snapshots from chunks that may arrive in any order and
// more than once. It keeps the newest complete snapshot and at most
// maxPartialSnapshots newer incomplete ones. It is not safe for concurrent use.
type Assembler struct {
	partials   map[snapshotKey]*partialSnapshot
	data       []byte // newest complete snapshot
	nextOffset ident.Offset
	complete   bool // data and nextOffset are set
}

// snapshotKey identifies a snapshot. Chunks with different keys never belong
// together.
type snapshotKey struct {
	nextOffset ident.Offset
	digest     [sha256.Size]byte
	count      uint32
}

type partialSnapshot struct {
	chunks   [][]byte // by index, nil if missing
	received int      // number of chunks
	bytes    int      // total size of the received chunks
}

// NewAssembler returns an empty assembler.
func NewAssembler() *Assembler {
	return &Assembler{partials: make(map[snapshotKey]*partialSnapshot)}
}

// NewestSnapshot returns the newest complete snapshot with a correct digest and
// the offset of the first record that the snapshot does not contain.
func (a *Assembler) NewestSnapshot() (data []byte, nextOffset ident.Offset, ok bool) {
	return a.data, a.nextOffset, a.complete
}

// AddChunk adds one chunk and reports whether it completes a snapshot that is
// newer than the newest complete one.
func (a *Assembler) AddChunk(c *record.SnapshotChunk) bool {
	if c.Count == 0 || c.Count > maxSnapshotChunks || c.Index >= c.Count {
		return false
	}
	if a.complete && c.NextOffset <= a.nextOffset {
		return false
	}
	key := snapshotKey{nextOffset: c.NextOffset, digest: c.Digest, count: c.Count}
	p := a.partialFor(key)
	if p == nil || p.chunks[c.Index] != nil {
		return false
	}
	p.chunks[c.Index] = append([]byte{}, c.Data...)
	p.received++
	p.bytes += len(c.Data)
	if p.bytes > maxSnapshotBytes {
		delete(a.partials, key)
		return false
	}
	if p.received < len(p.chunks) {
		return false
	}
	return a.assemble(key, p)
}

// assemble joins the chunks of p and makes the result the newest snapshot. It
// returns false if the digest does not match.
func (a *Assembler) assemble(key snapshotKey, p *partialSnapshot) bool {
	delete(a.partials, key)
	data := make([]byte, 0, p.bytes)
	for _, chunk := range p.chunks {
		data = append(data, chunk...)
	}
	if sha256.Sum256(data) != key.digest {
		return false
	}
	a.data, a.nextOffset, a.complete = data, key.nextOffset, true
	for k := range a.partials {
		if k.nextOffset <= key.nextOffset {
			delete(a.partials, k)
		}
	}
	return true
}

// partialFor returns the incomplete snapshot for key and creates it if needed.
// If there are already maxPartialSnapshots, it discards the oldest one. It
// returns nil if key itself would be the oldest.
func (a *Assembler) partialFor(key snapshotKey) *partialSnapshot {
	if p := a.partials[key]; p != nil {
		return p
	}
	if len(a.partials) >= maxPartialSnapshots {
		oldest := key
		for k := range a.partials {
			if k.nextOffset < oldest.nextOffset {
				oldest = k
			}
		}
		if oldest == key {
			return nil
		}
		delete(a.partials, oldest)
	}
	p := &partialSnapshot{chunks: make([][]byte, key.count)}
	a.partials[key] = p
	return p
}
