package storage

import (
	"context"
	"sync"
	"time"

	"comfreystream/state"
)

// SharedLease takes store leases for values that expire some time after they were
// written. All writes within the reuse time share one lease. It is safe for
// concurrent use.
type SharedLease struct {
	storage   *Storage
	retention time.Duration
	reuse     time.Duration

	mu      sync.Mutex
	lease   state.StoreLease
	granted time.Time
}

// NewSharedLease returns a SharedLease whose values expire after at least retention
// and at most retention plus reuse.
func NewSharedLease(storage *Storage, retention, reuse time.Duration) *SharedLease {
	return &SharedLease{storage: storage, retention: retention, reuse: reuse}
}

// Current returns the lease for a write at time now. It calls the store for a new
// lease once the current one is older than the reuse time.
func (l *SharedLease) Current(ctx context.Context, now time.Time) (state.StoreLease, error) {
	l.mu.Lock()
	lease, fresh := l.lease, l.lease != 0 && now.Sub(l.granted) < l.reuse
	l.mu.Unlock()
	if fresh {
		return lease, nil
	}
	granted, err := l.storage.Grant(ctx, l.retention+l.reuse)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.granted = granted, now
	return granted, nil
}

// DropIfLapsed drops the lease if err says that it has lapsed in the store, so that
// the next write takes a new one.
func (l *SharedLease) DropIfLapsed(err error, lease state.StoreLease) {
	if state.ReasonOf(err, "") != state.LeaseLapsed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == lease {
		l.lease = 0
	}
}
