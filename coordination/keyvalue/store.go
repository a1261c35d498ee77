package keyvalue

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision counts the store's changes; 0 stands for a key that does not exist.
type Revision int64

// LeaseID names a lease; 0 is none.
type LeaseID int64

// Item is a key with its value, or a key that was deleted.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Lease is the one that the key goes with; 0 is none.
	Lease   LeaseID
	Deleted bool
}

// Condition holds if the key's last change is the revision.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a value; it goes with the lease, if there is one.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Change is carried out whole if every condition holds, else not at all.
type Change struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Store is the platform's store; every field must be set. Errors are
// *state.StepError, which say whether a change may have been carried out,
// or wrap one of this package's.
type Store struct {
	// Get returns an item; found is false if there is none. A watch for its
	// next change begins at asOf, as its own revision may be history.
	Get func(ctx context.Context, key string) (item Item, found bool, asOf Revision, err error)
	// List returns all items below the prefix and a revision from which to watch.
	List func(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch returns the changes after a revision as soon as there are any, and
	// the revision to continue from; it returns ErrHistoryLost if it can't tell.
	Watch func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
	// Commit carries out a change; *ConflictError says that a condition failed.
	Commit func(ctx context.Context, change Change) (Revision, error)
	// Grant opens a lease, KeepAlive renews it, Revoke ends it with its keys.
	Grant     func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive func(ctx context.Context, lease LeaseID) error
	Revoke    func(ctx context.Context, lease LeaseID) error
}

// ErrHistoryLost says that changes were missed: list again.
var ErrHistoryLost = errors.New("the store no longer has these changes")

// ErrLeaseEnded says that the lease is no more, and its keys with it.
var ErrLeaseEnded = errors.New("the lease has ended")

// ConflictError is a change whose conditions did not hold.
type ConflictError struct {
	// Current holds the items of the conditions that exist.
	Current []Item
}

func (e *ConflictError) Error() string { return "a condition does not hold" }

// Find returns the current item under a key.
func (e *ConflictError) Find(key string) (Item, bool) {
	for _, item := range e.Current {
		if item.Key == key && !item.Deleted && item.Revision > 0 {
			return item, true
		}
	}
	return Item{}, false
}
