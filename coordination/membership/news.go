package membership

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

// news holds the updates that still have to travel, each for a number of
// transmissions that grows with the logarithm of the number of members.
type news struct {
	mu    sync.Mutex
	items []newsItem
	// allowance is the number of pushes that may leave now.
	allowance float64
}

type newsItem struct {
	update Update
	// since is when the suspicion began; zero for other news.
	since time.Time
	// advert is set if only the advert is news.
	advert bool
	sent   int
}

func newNews() *news {
	return &news{allowance: pushBurst}
}

// put queues an update in place of any older one about the same member.
func (n *news) put(item newsItem) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address := item.update.Member.Address
	i := slices.IndexFunc(n.items, func(x newsItem) bool { return x.update.Member.Address == address })
	if i >= 0 {
		if item.advert && !n.items[i].advert {
			n.items[i].update.Member.Advert = item.update.Member.Advert
			return
		}
		n.items[i] = item
		return
	}
	n.items = append(n.items, item)
}

// take returns up to count updates, those sent least often first, and counts
// the transmission; members is the number of members to reach.
func (n *news) take(count, members int, now time.Time) []Update {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.items) == 0 || count <= 0 {
		return nil
	}
	slices.SortStableFunc(n.items, newsItem.compare)
	taken := make([]Update, 0, count)
	for i := range n.items {
		item := &n.items[i]
		if len(taken) == count || (i > 0 && item.advert && n.items[i-1].advert) {
			break
		}
		item.sent++
		u := item.update
		if u.Status == Suspect {
			u.Age = now.Sub(item.since)
		}
		taken = append(taken, u)
	}
	limit := bits.Len(uint(members)) + 1
	n.items = slices.DeleteFunc(n.items, func(x newsItem) bool {
		return x.sent >= limit || (x.advert && x.sent >= advertTransmissions)
	})
	return taken
}

// compare orders changes of status before adverts, of which a message
// carries one, and each by the number of transmissions.
func (x newsItem) compare(y newsItem) int {
	if x.advert != y.advert {
		if x.advert {
			return 1
		}
		return -1
	}
	return x.sent - y.sent
}

func (n *news) empty() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.items) == 0
}

// mayPush takes one push from the allowance, if there is one.
func (n *news) mayPush() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.allowance < 1 {
		return false
	}
	n.allowance--
	return true
}

func (n *news) refill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.allowance = min(n.allowance+pushesPerTick, pushBurst)
}
