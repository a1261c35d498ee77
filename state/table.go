package state

import (
	"hash/maphash"
	"sync"
)

const tableShards = 16

// Table is a map split into shards, each with its own lock; it is safe for
// concurrent use.
type Table[K comparable, V any] struct {
	seed maphash.Seed
	// shardLimit is the most values that a shard may hold; 0 is no limit.
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

// NewBoundedTable returns an empty table of about limit values at most (limit
// divided by the number of shards in each, and at least one); a new value in a
// full shard evicts an arbitrary one.
func NewBoundedTable[K comparable, V any](limit int) *Table[K, V] {
	t := NewTable[K, V]()
	t.shardLimit = max(limit/tableShards, 1)
	return t
}

// Get returns the value of key and whether there is one.
func (t *Table[K, V]) Get(key K) (V, bool) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.entries[key]
	return value, found
}

// Update replaces the value of key by the result of change, or removes the key
// if keep is false. change runs with the shard locked, so it must not block.
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

// Put sets the value of key.
func (t *Table[K, V]) Put(key K, value V) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.put(s, key, value)
}

// PutNew sets the value of key unless it already has one, and reports whether it did.
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

// Delete removes key and returns its value, if there was one.
func (t *Table[K, V]) Delete(key K) (V, bool) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.entries[key]
	delete(s.entries, key)
	return value, found
}

// Len returns the number of values; the shards are locked one at a time, so
// the result is not a consistent snapshot.
func (t *Table[K, V]) Len() (total int) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		total += len(s.entries)
		s.mu.Unlock()
	}
	return total
}

// Values returns a copy of the values in no particular order; the shards are
// locked one at a time, so the result is not a consistent snapshot.
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

// put sets the value in a shard that the caller has locked, and evicts another
// value if the shard is over its limit.
func (t *Table[K, V]) put(s *tableShard[K, V], key K, value V) {
	s.entries[key] = value
	if t.shardLimit == 0 || len(s.entries) <= t.shardLimit {
		return
	}
	for victim := range s.entries {
		if victim != key {
			delete(s.entries, victim)
			return
		}
	}
}

func (t *Table[K, V]) shard(key K) *tableShard[K, V] {
	return &t.shards[maphash.Comparable(t.seed, key)%tableShards]
}
