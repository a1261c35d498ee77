package keyvalue

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"comfreystream/state"
)

// relayFailurePause is how long an entry through which a call could not be relayed comes
// after the others. One that cannot reach the store says so at once, so that little is lost
// by asking it again after a while.
const relayFailurePause = 2 * time.Second

// Relays chooses the entries through which calls to the store are relayed. The planner that
// this entry knows comes first, but an entry that cannot reach the store does not learn of
// the next planner, so that others are tried too. It is safe for concurrent use.
type Relays struct {
	// Planner returns the address of the planner that was last known, or an error.
	Planner func() (netip.AddrPort, error)
	// Others returns the addresses of further entries; they may be stale.
	Others func() []netip.AddrPort
	Now    func() time.Time

	mu sync.Mutex
	// failedAt is when a call through an entry last failed without an effect.
	failedAt map[netip.AddrPort]time.Time
}

// Candidates returns the entries in the order in which they should be tried.
func (r *Relays) Candidates() []netip.AddrPort {
	var list []netip.AddrPort
	if planner, err := r.Planner(); err == nil {
		list = append(list, planner)
	}
	for _, entry := range r.Others() {
		if !slices.Contains(list, entry) {
			list = append(list, entry)
		}
	}
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(list, func(a, b netip.AddrPort) int { return r.penalty(a, now) - r.penalty(b, now) })
	return list
}

// penalty returns 1 for an entry that has failed lately, else 0.
func (r *Relays) penalty(entry netip.AddrPort, now time.Time) int {
	if failed, found := r.failedAt[entry]; found && now.Sub(failed) < relayFailurePause {
		return 1
	}
	return 0
}

// Record notes the outcome of a call through an entry and reports whether another entry may
// be tried: the call surely had no effect, and was not refused by the store itself.
func (r *Relays) Record(entry netip.AddrPort, err error) (tryNext bool) {
	failed := !isAnswer(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !failed {
		delete(r.failedAt, entry)
		return false
	}
	if r.failedAt == nil {
		r.failedAt = make(map[netip.AddrPort]time.Time)
	}
	r.failedAt[entry] = r.Now()
	return !state.IsAmbiguous(err)
}
