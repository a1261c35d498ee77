package transport

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	// requestCost is what a request costs apart from its body and response: its
	// parsed header and the stack of its handler.
	requestCost = 8 << 10
	// reclaimShare is the part of a budget above which connections are cut short:
	// reclaimShare/4. The rest is for what arrives until that has happened.
	reclaimShare = 3
	// largeResponseBytes is the size from which a response counts towards the budget.
	largeResponseBytes = 4 << 10
	// unservedFactor is how much more the idle time of a connection counts that never
	// sent a whole request; a new one must outlast the journey of its first request.
	unservedFactor = 4
)

// Budget bounds the bytes that clients make the servers of a process hold:
// requests that have not arrived whole or wait for their turn, requests being
// handled, and responses that are not taken.
type Budget struct {
	limit int64
	held  atomic.Int64
	// reclaiming is how many of the held bytes are about to be released.
	reclaiming atomic.Int64

	mu          sync.Mutex
	connections map[*connection]struct{}
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{limit: bytes, connections: make(map[*connection]struct{})}
}

// Held returns the bytes that are held now.
func (b *Budget) Held() int64 { return b.held.Load() }

// add counts bytes, and reports false if the budget does not have them. It does
// not take them back then.
func (b *Budget) add(bytes int64) (within bool) {
	held := b.held.Add(bytes)
	if held > b.limit/4*reclaimShare && bytes > 0 {
		b.reclaim()
	}
	return held <= b.limit
}

func (b *Budget) register(c *connection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections[c] = struct{}{}
}

func (b *Budget) unregister(c *connection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.connections, c)
}

// candidate is a connection that can be closed or cut short.
type candidate struct {
	connection *connection
	bytes      int64
	score      float64
}

// reclaim cuts short the connections that hold most and progress least, by the
// product of the bytes and the time for which they have held some.
func (b *Budget) reclaim() {
	excess := func() int64 { return b.held.Load() - b.reclaiming.Load() - b.limit/4*reclaimShare }
	if excess() <= 0 || !b.mu.TryLock() {
		return // whoever holds the lock reclaims
	}
	defer b.mu.Unlock()
	now := time.Now().UnixNano()
	var candidates []candidate
	for c := range b.connections {
		if bytes := c.reclaimable.Load(); bytes > 0 && !c.evicted.Load() {
			age := time.Duration(now - c.heldSince.Load())
			candidates = append(candidates, candidate{c, bytes, float64(bytes) * max(age.Seconds(), time.Millisecond.Seconds())})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	for _, victim := range candidates {
		if excess() <= 0 {
			return
		}
		victim.connection.evicted.Store(true)
		b.reclaiming.Add(victim.bytes)
		queued := victim.connection.runOnLoop(func() {
			victim.connection.cutShort()
			b.reclaiming.Add(-victim.bytes)
		})
		if !queued {
			b.reclaiming.Add(-victim.bytes)
		}
	}
}

// idlest returns the connections of a server without a request in service that have
// been so for longest. The time of those that never sent a whole request counts more.
// If the loop is not nil, it returns only connections of this loop.
func (b *Budget) idlest(s *Server, count int, loop gnet.EventLoop) []*connection {
	type idle struct {
		connection *connection
		age        int64
	}
	now := time.Now().UnixNano()
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []idle
	for c := range b.connections {
		if c.server == s && (loop == nil || c.loop == loop) && c.pendingCount.Load() == 0 && !c.evicted.Load() {
			age := now - c.idleSince.Load()
			if !c.served.Load() {
				age *= unservedFactor
			}
			all = append(all, idle{c, age})
		}
	}
	longest := func(a, b idle) int { return cmp.Compare(b.age, a.age) }
	if count == 1 && len(all) > 1 {
		all[0] = slices.MinFunc(all, longest)
	} else {
		slices.SortFunc(all, longest)
	}
	var found []*connection
	for _, candidate := range all[:min(count, len(all))] {
		candidate.connection.evicted.Store(true)
		found = append(found, candidate.connection)
	}
	return found
}
