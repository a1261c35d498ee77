package storage

import (
	"context"
	"sync"
	"time"

	"comfreystream/state"
)

// SharedLease is a lease for values that are to go some time after they were
// written; one lease serves all the writes of an interval. It is safe for
// several goroutines.
type SharedLease struct {
	storage  *Storage
	keep     time.Duration
	interval time.Duration

	mu      sync.Mutex
	lease   state.StoreLease
	granted time.Time
}

// NewSharedLease returns a lease under which values stay for at least keep and
// at most keep and interval.
func NewSharedLease(storage *Storage, keep, interval time.Duration) *SharedLease {
	return &SharedLease{storage: storage, keep: keep, interval: interval}
}

// Current returns the lease for a write at that time, which costs a call once
// in an interval.
func (l *SharedLease) Current(ctx context.Context, now time.Time) (state.StoreLease, error) {
	l.mu.Lock()
	lease, fresh := l.lease, l.lease != 0 && now.Sub(l.granted) < l.interval
	l.mu.Unlock()
	if fresh {
		return lease, nil
	}
	granted, err := l.storage.Grant(ctx, l.keep+l.interval)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.granted = granted, now
	return granted, nil
}

// Check drops the lease if err says that the store has lost it, so that the
// next write takes another.
func (l *SharedLease) Check(err error, lease state.StoreLease) {
	if state.ReasonOf(err, "") != state.LeaseLapsed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == lease {
		l.lease = 0
	}
}
