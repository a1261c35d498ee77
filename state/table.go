package state

import (
	"hash/maphash"
	"sync"
)

const tableShards = 16

// Table is a map split into shards, each under its own lock; it is safe for
// several goroutines.
type Table[K comparable, V any] struct {
	seed maphash.Seed
	// shardLimit bounds the values of a shard; 0 is no bound.
	shardLimit int
	shards     [tableShards]tableShard[K, V]
}

type tableShard[K comparable, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

// NewTable returns an empty table.
func NewTable[K comparable, V any]() *Table[K, V] {
	t := &Table[K, V]{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].entries = make(map[K]V)
	}
	return t
}

// NewBoundedTable returns an empty table of at most about limit values; when a
// shard is full, a new value displaces an arbitrary one.
func NewBoundedTable[K comparable, V any](limit int) *Table[K, V] {
	t := NewTable[K, V]()
	t.shardLimit = max(limit/tableShards, 1)
	return t
}

// Get returns the value under key and whether there is one.
func (t *Table[K, V]) Get(key K) (V, bool) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.entries[key]
	return value, found
}

// Update replaces the value under key by what change returns; keep false
// removes it. The shard is locked during the call, so change must not block.
func (t *Table[K, V]) Update(key K, change func(value V, found bool) (next V, keep bool)) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.entries[key]
	next, keep := change(value, found)
	if keep {
		t.put(s, key, next)
		return
	}
	delete(s.entries, key)
}

// Put stores the value under key.
func (t *Table[K, V]) Put(key K, value V) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.put(s, key, value)
}

// PutNew stores the value under key unless there is one, and reports whether it did.
func (t *Table[K, V]) PutNew(key K, value V) bool {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.entries[key]; found {
		return false
	}
	t.put(s, key, value)
	return true
}

// Delete removes the value under key and returns it, if there was one.
func (t *Table[K, V]) Delete(key K) (V, bool) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.entries[key]
	delete(s.entries, key)
	return value, found
}

// Len returns the number of values; shards are counted one after another.
func (t *Table[K, V]) Len() (total int) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		total += len(s.entries)
		s.mu.Unlock()
	}
	return total
}

// Values returns a copy of the values in no order; shards are read one after another.
func (t *Table[K, V]) Values() []V {
	values := make([]V, 0, t.Len())
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, value := range s.entries {
			values = append(values, value)
		}
		s.mu.Unlock()
	}
	return values
}

// put stores the value in a locked shard.
func (t *Table[K, V]) put(s *tableShard[K, V], key K, value V) {
	s.entries[key] = value
	if t.shardLimit == 0 || len(s.entries) <= t.shardLimit {
		return
	}
	for other := range s.entries {
		if other != key {
			delete(s.entries, other)
			return
		}
	}
}

func (t *Table[K, V]) shard(key K) *tableShard[K, V] {
	return &t.shards[maphash.Comparable(t.seed, key)%tableShards]
}
