package keyvalue

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"comfreystream/state"
)

// directTimeout bounds a direct call that has a way round; a store that is
// slowed to a hundredth of its speed still answers within it.
const directTimeout = 500 * time.Millisecond

// Detour reaches the store through another entry while this one does not
// reach it, or is turned away by it. It is safe for several goroutines.
type Detour struct {
	// Near is the store as this entry calls it, Around as another entry does
	// for it; Around's leases are not used.
	Near   *Store
	Around *Store
	// Count counts the calls that went through another entry.
	Count func()
	Log   zerolog.Logger

	mu   sync.Mutex
	lost bool
	// answered is when the store last answered a direct call.
	answered time.Time
}

// Direct returns the store without a way round. What it sees decides which way
// the other calls take, so something should call it all the time.
func (d *Detour) Direct() *Store {
	return &Store{
		Get:   d.getNear,
		List:  d.listNear,
		Watch: d.watchNear,
		Commit: func(ctx context.Context, change Change) (Revision, error) {
			sent := time.Now()
			revision, err := d.Near.Commit(ctx, change)
			d.note(ctx, sent, err)
			return revision, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (LeaseID, error) {
			sent := time.Now()
			lease, err := d.Near.Grant(ctx, ttl)
			d.note(ctx, sent, err)
			return lease, err
		},
		KeepAlive: func(ctx context.Context, lease LeaseID) error {
			sent := time.Now()
			err := d.Near.KeepAlive(ctx, lease)
			d.note(ctx, sent, err)
			return err
		},
		Revoke: d.Near.Revoke,
	}
}

// ForOthers returns the store for entries that do not reach it: while this one
// does not either, it says so at once.
func (d *Detour) ForOthers() *Store {
	direct := d.Direct()
	return &Store{
		Get: func(ctx context.Context, key string) (Item, bool, Revision, error) {
			if d.isLost() {
				return Item{}, false, 0, errLost
			}
			return direct.Get(ctx, key)
		},
		List: func(ctx context.Context, prefix string) ([]Item, Revision, error) {
			if d.isLost() {
				return nil, 0, errLost
			}
			return direct.List(ctx, prefix)
		},
		Watch: func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
			if d.isLost() {
				return nil, 0, errLost
			}
			return direct.Watch(ctx, prefix, after, wait)
		},
		Commit: func(ctx context.Context, change Change) (Revision, error) {
			if d.isLost() {
				return 0, errLost
			}
			return direct.Commit(ctx, change)
		},
	}
}

// errLost says that nothing was sent.
var errLost = state.NewStepError("reach the store for another entry", netip.AddrPort{}, state.StoreUnavailable, nil)

// Calls returns the store by whichever way works; leases only go directly.
func (d *Detour) Calls() *Store {
	direct := d.Direct()
	return &Store{
		Get: d.get, List: d.list, Watch: d.watch, Commit: d.commit,
		Grant: direct.Grant, KeepAlive: direct.KeepAlive, Revoke: direct.Revoke,
	}
}

// found is the answer to Get.
type found struct {
	item  Item
	found bool
	asOf  Revision
}

func (d *Detour) getNear(ctx context.Context, key string) (Item, bool, Revision, error) {
	sent := time.Now()
	item, known, asOf, err := d.Near.Get(ctx, key)
	d.note(ctx, sent, err)
	return item, known, asOf, err
}

func (d *Detour) listNear(ctx context.Context, prefix string) ([]Item, Revision, error) {
	sent := time.Now()
	items, asOf, err := d.Near.List(ctx, prefix)
	d.note(ctx, sent, err)
	return items, asOf, err
}

func (d *Detour) watchNear(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	sent := time.Now()
	items, asOf, err := d.Near.Watch(ctx, prefix, after, wait)
	d.note(ctx, sent, err)
	return items, asOf, err
}

func (d *Detour) get(ctx context.Context, key string) (Item, bool, Revision, error) {
	call := func(ctx context.Context, s *Store) (f found, err error) {
		f.item, f.found, f.asOf, err = s.Get(ctx, key)
		return f, err
	}
	answer, err := eitherWay(ctx, d, call)
	if !isAnswer(err) && !state.IsAmbiguous(err) {
		answer, err = callNear(ctx, d, call) // nothing is known of the store but that no entry could ask it
	}
	return answer.item, answer.found, answer.asOf, err
}

func (d *Detour) commit(ctx context.Context, change Change) (Revision, error) {
	return eitherWay(ctx, d, func(ctx context.Context, s *Store) (Revision, error) { return s.Commit(ctx, change) })
}

// list and watch take one way, as they take their time: their callers list
// again after a failure.

func (d *Detour) list(ctx context.Context, prefix string) ([]Item, Revision, error) {
	if d.isLost() {
		d.Count()
		return d.Around.List(ctx, prefix)
	}
	return d.listNear(ctx, prefix)
}

func (d *Detour) watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	if d.isLost() {
		d.Count()
		return d.Around.Watch(ctx, prefix, after, wait)
	}
	return d.watchNear(ctx, prefix, after, wait)
}

// eitherWay calls the store directly and then around, or only around while it
// is not reached, as a change that is sent into silence stays in doubt. Its error
// is ambiguous if one of the calls may have acted.
func eitherWay[Answer any](ctx context.Context, d *Detour, call func(ctx context.Context, s *Store) (Answer, error)) (Answer, error) {
	var direct error
	if !d.isLost() {
		answer, err := callNear(ctx, d, call)
		if isAnswer(err) || ctx.Err() != nil {
			return answer, err
		}
		direct = err
	}
	d.Count()
	answer, err := call(ctx, d.Around)
	if !isAnswer(err) && direct != nil && state.IsAmbiguous(direct) {
		err = direct
	}
	return answer, err
}

func callNear[Answer any](ctx context.Context, d *Detour, call func(ctx context.Context, s *Store) (Answer, error)) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := call(ctx, d.Near)
	d.note(ctx, sent, err)
	return answer, err
}

// isAnswer reports whether the store has spoken.
func isAnswer(err error) bool {
	var conflict *ConflictError
	return err == nil || errors.As(err, &conflict) || errors.Is(err, ErrHistoryLost) || errors.Is(err, ErrLeaseEnded)
}

// note takes the outcome of a direct call. A failure says nothing if its caller
// gave up, or if the store has answered a call that was sent later.
func (d *Detour) note(ctx context.Context, sent time.Time, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	lost := !isAnswer(err)
	d.mu.Lock()
	if !lost && sent.After(d.answered) {
		d.answered = sent
	}
	if lost && d.answered.After(sent) {
		lost = d.lost
	}
	changed := d.lost != lost
	d.lost = lost
	d.mu.Unlock()
	switch {
	case changed && lost:
		d.Log.Warn().Str("event", "storeLost").Err(err).Send()
	case changed:
		d.Log.Info().Str("event", "storeRegained").Send()
	}
}

func (d *Detour) isLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}
