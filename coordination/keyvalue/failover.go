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

// directTimeout bounds a direct call that can be relayed if it fails; a store
// that runs at a hundredth of its speed still answers within it.
const directTimeout = 500 * time.Millisecond

// Failover relays calls to the store through another entry while this one cannot
// reach the store or is refused by it. It is safe for concurrent use.
type Failover struct {
	// Direct is the store as this entry reaches it, Relay the store as another
	// entry calls it on this one's behalf; Relay's lease calls are not used.
	Direct *Store
	Relay  *Store
	// CountRelayed is called for each call that is relayed.
	CountRelayed func()
	Log          zerolog.Logger

	mu          sync.Mutex
	unreachable bool
	// answered is when the latest direct call that got an answer was sent.
	answered time.Time
	// relaySilent is set while relayed calls get no answer, relayAnswered is when the
	// latest that got one was sent.
	relaySilent   bool
	relayAnswered time.Time
}

// DirectStore returns the store without relaying. The outcomes of its calls decide
// whether the calls of Store are relayed, so it should be in use all the time.
func (f *Failover) DirectStore() *Store {
	return &Store{
		Get:   f.getDirect,
		List:  f.listDirect,
		Watch: f.watchDirect,
		Commit: func(ctx context.Context, change Change) (Revision, error) {
			sent := time.Now()
			revision, err := f.Direct.Commit(ctx, change)
			f.recordOutcome(ctx, sent, err)
			return revision, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (LeaseID, error) {
			sent := time.Now()
			lease, err := f.Direct.Grant(ctx, ttl)
			f.recordOutcome(ctx, sent, err)
			return lease, err
		},
		KeepAlive: func(ctx context.Context, lease LeaseID) error {
			sent := time.Now()
			err := f.Direct.KeepAlive(ctx, lease)
			f.recordOutcome(ctx, sent, err)
			return err
		},
		Revoke: f.Direct.Revoke,
	}
}

// PeerStore returns the store for the calls of entries that cannot reach it. While
// this entry cannot reach it either, they fail at once.
func (f *Failover) PeerStore() *Store {
	direct := f.DirectStore()
	return &Store{
		Get: func(ctx context.Context, key string) (Item, bool, Revision, error) {
			if f.isUnreachable() {
				return Item{}, false, 0, errUnreachable
			}
			return direct.Get(ctx, key)
		},
		List: func(ctx context.Context, prefix string) ([]Item, Revision, error) {
			if f.isUnreachable() {
				return nil, 0, errUnreachable
			}
			return direct.List(ctx, prefix)
		},
		Watch: func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
			if f.isUnreachable() {
				return nil, 0, errUnreachable
			}
			return direct.Watch(ctx, prefix, after, wait)
		},
		Commit: func(ctx context.Context, change Change) (Revision, error) {
			if f.isUnreachable() {
				return 0, errUnreachable
			}
			return direct.Commit(ctx, change)
		},
	}
}

// errUnreachable means that nothing was sent to the store.
var errUnreachable = state.NewStepError("reach the store for another entry", netip.AddrPort{}, state.StoreUnavailable, nil)

// Store returns the store whose calls are direct or relayed, whichever works;
// lease calls are always direct.
func (f *Failover) Store() *Store {
	direct := f.DirectStore()
	return &Store{
		Get: f.get, List: f.list, Watch: f.watch, Commit: f.commit,
		Grant: direct.Grant, KeepAlive: direct.KeepAlive, Revoke: direct.Revoke,
	}
}

// getResult holds the results of Get.
type getResult struct {
	item  Item
	found bool
	asOf  Revision
}

func (f *Failover) getDirect(ctx context.Context, key string) (Item, bool, Revision, error) {
	sent := time.Now()
	item, known, asOf, err := f.Direct.Get(ctx, key)
	f.recordOutcome(ctx, sent, err)
	return item, known, asOf, err
}

func (f *Failover) listDirect(ctx context.Context, prefix string) ([]Item, Revision, error) {
	sent := time.Now()
	items, asOf, err := f.Direct.List(ctx, prefix)
	f.recordOutcome(ctx, sent, err)
	return items, asOf, err
}

func (f *Failover) watchDirect(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	sent := time.Now()
	items, asOf, err := f.Direct.Watch(ctx, prefix, after, wait)
	f.recordOutcome(ctx, sent, err)
	return items, asOf, err
}

func (f *Failover) get(ctx context.Context, key string) (Item, bool, Revision, error) {
	call := func(ctx context.Context, s *Store) (r getResult, err error) {
		r.item, r.found, r.asOf, err = s.Get(ctx, key)
		return r, err
	}
	answer, err := callWithFailover(ctx, f, call)
	if !isAnswer(err) && !state.IsAmbiguous(err) {
		// Neither way has reached the store, which may have recovered meanwhile.
		answer, err = callDirect(ctx, f, call)
	}
	return answer.item, answer.found, answer.asOf, err
}

func (f *Failover) commit(ctx context.Context, change Change) (Revision, error) {
	return callWithFailover(ctx, f, func(ctx context.Context, s *Store) (Revision, error) { return s.Commit(ctx, change) })
}

// list and watch do not fall back from one way to the other within a call, as
// they may take long: their callers list again after a failure. They are relayed
// even while relayed calls get no answer, and so find out when that is over.

func (f *Failover) list(ctx context.Context, prefix string) ([]Item, Revision, error) {
	if f.isUnreachable() {
		f.CountRelayed()
		sent := time.Now()
		items, asOf, err := f.Relay.List(ctx, prefix)
		f.recordRelayed(ctx, sent, err)
		return items, asOf, err
	}
	return f.listDirect(ctx, prefix)
}

func (f *Failover) watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error) {
	if f.isUnreachable() {
		f.CountRelayed()
		sent := time.Now()
		items, asOf, err := f.Relay.Watch(ctx, prefix, after, wait)
		f.recordRelayed(ctx, sent, err)
		return items, asOf, err
	}
	return f.watchDirect(ctx, prefix, after, wait)
}

// callWithFailover calls the store directly and relays the call if that fails. While
// the store is unreachable it only relays, and while relayed calls get no answer
// either it sends nothing, as the outcome of a change stays unknown if it was sent
// and not answered. The error is ambiguous if one of the calls may have been
// applied.
func callWithFailover[Answer any](ctx context.Context, f *Failover, call func(ctx context.Context, s *Store) (Answer, error)) (Answer, error) {
	var direct error
	if !f.isUnreachable() {
		answer, err := callDirect(ctx, f, call)
		if isAnswer(err) || ctx.Err() != nil {
			return answer, err
		}
		direct = err
	}
	answer, err := callRelayed(ctx, f, call)
	if !isAnswer(err) && direct != nil && state.IsAmbiguous(direct) {
		err = direct
	}
	return answer, err
}

func callDirect[Answer any](ctx context.Context, f *Failover, call func(ctx context.Context, s *Store) (Answer, error)) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := call(ctx, f.Direct)
	f.recordOutcome(ctx, sent, err)
	return answer, err
}

// callRelayed relays a call unless the last ones got no answer.
func callRelayed[Answer any](ctx context.Context, f *Failover, call func(ctx context.Context, s *Store) (Answer, error)) (answer Answer, err error) {
	if f.isRelaySilent() {
		return answer, errUnreachable
	}
	f.CountRelayed()
	sent := time.Now()
	answer, err = call(ctx, f.Relay)
	f.recordRelayed(ctx, sent, err)
	return answer, err
}

// isAnswer reports whether err is an answer of the store, not a failure to reach it.
func isAnswer(err error) bool {
	var conflict *ConflictError
	return err == nil || errors.As(err, &conflict) || errors.Is(err, ErrHistoryLost) || errors.Is(err, ErrLeaseEnded) || IsRefused(err)
}

// recordOutcome updates from a direct call whether the store is unreachable. A
// failure does not count if the call was cancelled, or if the store has answered a
// call that was sent later.
func (f *Failover) recordOutcome(ctx context.Context, sent time.Time, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	unreachable := !isAnswer(err)
	f.mu.Lock()
	if !unreachable && sent.After(f.answered) {
		f.answered = sent
	}
	if unreachable && f.answered.After(sent) {
		unreachable = f.unreachable
	}
	changed := f.unreachable != unreachable
	f.unreachable = unreachable
	f.mu.Unlock()
	switch {
	case changed && unreachable:
		f.Log.Warn().Str("event", "storeLost").Err(err).Send()
	case changed:
		f.Log.Info().Str("event", "storeRegained").Send()
	}
}

// recordRelayed updates from a relayed call whether such calls get an answer; a
// refusal is one.
func (f *Failover) recordRelayed(ctx context.Context, sent time.Time, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	silent := !isAnswer(err) && state.IsAmbiguous(err)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !silent && sent.After(f.relayAnswered) {
		f.relayAnswered = sent
	}
	if !silent || !f.relayAnswered.After(sent) {
		f.relaySilent = silent
	}
}

func (f *Failover) isRelaySilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relaySilent
}

func (f *Failover) isUnreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unreachable
}
