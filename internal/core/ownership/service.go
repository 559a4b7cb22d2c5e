package ownership

import (
	"maps"
	"math/bits"
	"slices"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// pageSize is the number of hash ranges in a page, the unit of copy-on-write.
const pageSize = 256

// sliceEntry is the ownership of one slice. A zero group means that the slice is
// unassigned.
type sliceEntry struct {
	group      ident.Member
	assignment ident.Assignment
}

// hotKeyEntry is the ownership of the slice of one hot key.
type hotKeyEntry struct {
	sliceEntry
	key ident.KeyHash
}

// page holds the entries of up to pageSize consecutive hash ranges.
type page struct {
	generation uint64
	entries    []sliceEntry
}

// serviceTable holds the slices of one keyed service. It is copied on write in the
// same way as a shardMap: a part whose generation is older than the writer's may
// be shared with readers and is copied before it is modified.
type serviceTable struct {
	generation       uint64
	rangeCount       uint32 // number of hash ranges, a power of two
	pages            []*page
	hotKeys          map[uint32]hotKeyEntry   // by slice index
	hotKeyIndex      map[ident.KeyHash]uint32 // slice index by key hash
	hotKeyGeneration uint64                   // generation of hotKeys and hotKeyIndex
	unassignedRanges int                      // number of hash ranges without a group
}

// newServiceTable returns a table of count unassigned hash ranges, each with the
// assignment floor.
func newServiceTable(generation uint64, count uint32, floor ident.Assignment) *serviceTable {
	t := &serviceTable{generation: generation, rangeCount: count, unassignedRanges: int(count)}
	for left := count; left > 0; {
		n := min(left, pageSize)
		entries := make([]sliceEntry, n)
		for i := range entries {
			entries[i].assignment = floor
		}
		t.pages = append(t.pages, &page{generation: generation, entries: entries})
		left -= n
	}
	return t
}

// validSliceCount reports whether a keyed service may have n hash ranges, that is,
// whether n is a power of two.
func validSliceCount(n uint32) bool { return bits.OnesCount32(n) == 1 }

// get returns the entry of the slice at index, if there is one.
func (t *serviceTable) get(index uint32) (sliceEntry, bool) {
	if index < t.rangeCount {
		return t.pages[index/pageSize].entries[index%pageSize], true
	}
	h, ok := t.hotKeys[index]
	return h.sliceEntry, ok
}

// indexFor returns the index of the slice that contains h: the slice of the hot
// key h if there is one, otherwise the hash range.
func (t *serviceTable) indexFor(h ident.KeyHash) uint32 {
	if i, ok := t.hotKeyIndex[h]; ok {
		return i
	}
	return rangeIndex(h, t.rangeCount)
}

// writable returns t if it has the given generation. Otherwise readers may share
// t, and writable returns a copy with that generation.
func (t *serviceTable) writable(generation uint64) *serviceTable {
	if t.generation == generation {
		return t
	}
	c := *t
	c.generation = generation
	c.pages = slices.Clone(t.pages)
	return &c
}

// set stores e at index. Hash ranges are never unassigned again.
func (t *serviceTable) set(index uint32, e sliceEntry) {
	if index >= t.rangeCount {
		t.setHotKey(index, hotKeyEntry{sliceEntry: e, key: t.hotKeys[index].key})
		return
	}
	p := t.pages[index/pageSize]
	if p.generation != t.generation {
		p = &page{generation: t.generation, entries: slices.Clone(p.entries)}
		t.pages[index/pageSize] = p
	}
	old := &p.entries[index%pageSize]
	if old.group.IsZero() && !e.group.IsZero() {
		t.unassignedRanges--
	}
	*old = e
}

// setHotKey stores the entry of a hot key at index, which is at least rangeCount.
func (t *serviceTable) setHotKey(index uint32, e hotKeyEntry) {
	t.copyHotKeys()
	t.hotKeys[index] = e
	t.hotKeyIndex[e.key] = index
}

// removeHotKey removes the hot key at index.
func (t *serviceTable) removeHotKey(index uint32) {
	t.copyHotKeys()
	delete(t.hotKeyIndex, t.hotKeys[index].key)
	delete(t.hotKeys, index)
}

// copyHotKeys copies the maps of hot keys unless the generation of t owns them
// already.
func (t *serviceTable) copyHotKeys() {
	if t.hotKeys != nil && t.hotKeyGeneration == t.generation {
		return
	}
	t.hotKeyGeneration = t.generation
	t.hotKeys, t.hotKeyIndex = maps.Clone(t.hotKeys), maps.Clone(t.hotKeyIndex)
	if t.hotKeys == nil {
		t.hotKeys = make(map[uint32]hotKeyEntry)
		t.hotKeyIndex = make(map[ident.KeyHash]uint32)
	}
}

// hotKeyIndexes returns the slice indexes of the hot keys in ascending order.
func (t *serviceTable) hotKeyIndexes() []uint32 {
	return slices.Sorted(maps.Keys(t.hotKeys))
}

// each calls f for every slice in ascending order of the index.
func (t *serviceTable) each(f func(index uint32, e sliceEntry)) {
	for i := range t.rangeCount {
		f(i, t.pages[i/pageSize].entries[i%pageSize])
	}
	for _, i := range t.hotKeyIndexes() {
		f(i, t.hotKeys[i].sliceEntry)
	}
}
