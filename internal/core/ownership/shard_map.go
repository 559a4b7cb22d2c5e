package ownership

// shardCount is the number of shards of a shardMap. A write copies at most one
// shard, a small part of the map.
const shardCount = 64

// shardMap is a map with cheap immutable copies. A copy of the struct shares all
// shards with the original. Each write states the writer's generation, which must
// increase with every copy of the struct; a write to a shard of an older
// generation copies the shard first. Only one of the copies may be written to.
type shardMap[K comparable, V any] struct {
	hash   func(K) uint64
	shards [shardCount]shard[K, V]
	size   int // number of entries
}

// shard is a part of a shardMap. The writer of its generation may modify its
// entries; all other writers copy them first.
type shard[K comparable, V any] struct {
	generation uint64
	entries    map[K]V
}

// newShardMap returns an empty map that selects the shard of a key by hash.
func newShardMap[K comparable, V any](hash func(K) uint64) shardMap[K, V] {
	return shardMap[K, V]{hash: hash}
}

func (m *shardMap[K, V]) get(k K) (V, bool) {
	v, ok := m.shards[m.hash(k)%shardCount].entries[k]
	return v, ok
}

func (m *shardMap[K, V]) set(generation uint64, k K, v V) {
	entries := m.writableShard(generation, k)
	before := len(entries)
	entries[k] = v
	m.size += len(entries) - before
}

func (m *shardMap[K, V]) remove(generation uint64, k K) {
	if _, ok := m.get(k); !ok {
		return
	}
	delete(m.writableShard(generation, k), k)
	m.size--
}

// each calls f for every entry in unspecified order.
func (m *shardMap[K, V]) each(f func(K, V)) {
	for i := range m.shards {
		for k, v := range m.shards[i].entries {
			f(k, v)
		}
	}
}

// eachInShard calls f for every entry in the shard of k, including that of k.
func (m *shardMap[K, V]) eachInShard(k K, f func(K, V)) {
	for other, v := range m.shards[m.hash(k)%shardCount].entries {
		f(other, v)
	}
}

// writableShard returns the entries of the shard of k, which the given generation
// may modify.
func (m *shardMap[K, V]) writableShard(generation uint64, k K) map[K]V {
	s := &m.shards[m.hash(k)%shardCount]
	if s.entries != nil && s.generation == generation {
		return s.entries
	}
	entries := make(map[K]V, len(s.entries)+1)
	for k, v := range s.entries {
		entries[k] = v
	}
	*s = shard[K, V]{generation: generation, entries: entries}
	return entries
}
