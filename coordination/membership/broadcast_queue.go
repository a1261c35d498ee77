package membership

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

// broadcastQueue holds the updates to gossip. Each is sent a number of times
// that grows with the logarithm of the number of members. The queue also limits
// the rate of Push messages.
type broadcastQueue struct {
	mu    sync.Mutex
	items []broadcast
	// pushTokens is the number of Push messages that may be sent now.
	pushTokens float64
}

// broadcast is a queued update.
type broadcast struct {
	update Update
	// suspectedAt is when the suspicion began; zero for other statuses.
	suspectedAt time.Time
	// advertOnly is set if only the advert is new.
	advertOnly    bool
	transmissions int
}

func newBroadcastQueue() *broadcastQueue {
	return &broadcastQueue{pushTokens: pushBurst}
}

// enqueue adds an update in place of an older one about the same member. A new
// advert is merged into a queued change of status.
func (q *broadcastQueue) enqueue(item broadcast) {
	q.mu.Lock()
	defer q.mu.Unlock()
	address := item.update.Member.Address
	i := slices.IndexFunc(q.items, func(x broadcast) bool { return x.update.Member.Address == address })
	if i >= 0 {
		if item.advertOnly && !q.items[i].advertOnly {
			q.items[i].update.Member.Advert = item.update.Member.Advert
			return
		}
		q.items[i] = item
		return
	}
	q.items = append(q.items, item)
}

// take returns up to count updates, of which one at most is only an advert, in
// the order of compare, and counts the transmission. Updates that were sent
// often enough to reach the given number of members are removed.
func (q *broadcastQueue) take(count, members int, now time.Time) []Update {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 || count <= 0 {
		return nil
	}
	slices.SortStableFunc(q.items, broadcast.compare)
	taken := make([]Update, 0, count)
	for i := range q.items {
		item := &q.items[i]
		if len(taken) == count || (i > 0 && item.advertOnly && q.items[i-1].advertOnly) {
			break
		}
		item.transmissions++
		u := item.update
		if u.Status == Suspect {
			u.Age = now.Sub(item.suspectedAt)
		}
		taken = append(taken, u)
	}
	limit := bits.Len(uint(members)) + 1
	q.items = slices.DeleteFunc(q.items, func(x broadcast) bool {
		return x.transmissions >= limit || (x.advertOnly && x.transmissions >= maxAdvertTransmissions)
	})
	return taken
}

// compare orders changes of status before mere adverts, and both by the number
// of transmissions.
func (x broadcast) compare(y broadcast) int {
	if x.advertOnly != y.advertOnly {
		if x.advertOnly {
			return 1
		}
		return -1
	}
	return x.transmissions - y.transmissions
}

func (q *broadcastQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items) == 0
}

// takePushToken reports whether a Push may be sent now, and counts it if so.
func (q *broadcastQueue) takePushToken() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pushTokens < 1 {
		return false
	}
	q.pushTokens--
	return true
}

// refillPushTokens adds the tokens of one tick.
func (q *broadcastQueue) refillPushTokens() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pushTokens = min(q.pushTokens+pushesPerTick, pushBurst)
}
