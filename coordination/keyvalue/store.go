package keyvalue

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// Revision numbers the store's changes; 0 means that a key does not exist.
type Revision int64

// LeaseID identifies a lease; 0 is none.
type LeaseID int64

// Item is a key with its value, or the deletion of a key.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Lease is the lease whose end deletes the key; 0 is none.
	Lease   LeaseID
	Deleted bool
}

// Condition holds if the key was last changed at the revision.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a value; if a lease is set, its end deletes the key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Change is applied atomically if every condition holds, and otherwise not at all.
type Change struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Store holds the calls of the platform's store; every field must be set. Their
// errors are of type *state.StepError, which says whether a change may have been
// applied, or wrap an error of this package.
type Store struct {
	// Get returns an item; found is false if there is none. A watch for its next
	// change must start from asOf, as the store may have dropped the history since
	// the item's own revision.
	Get func(ctx context.Context, key string) (item Item, found bool, asOf Revision, err error)
	// List returns all items with the prefix and a revision to watch from.
	List func(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch returns the changes after a revision as soon as there are any, and the
	// revision to continue from, or ErrHistoryLost if the store has dropped some.
	Watch func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
	// Commit applies a change; it returns a *ConflictError if a condition does not hold.
	Commit func(ctx context.Context, change Change) (Revision, error)
	// Grant creates a lease, KeepAlive renews it, Revoke ends it and deletes its keys.
	Grant     func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive func(ctx context.Context, lease LeaseID) error
	Revoke    func(ctx context.Context, lease LeaseID) error
}

// ErrHistoryLost means that changes were missed and the items must be listed again.
var ErrHistoryLost = errors.New("the store no longer has the changes after this revision")

// ErrLeaseEnded means that the lease does not exist any more, nor do its keys.
var ErrLeaseEnded = errors.New("the lease has ended")

// IsRefused reports whether the error says that a call is not carried out as it is,
// however often it is sent, for example because a value is too large.
func IsRefused(err error) bool { return state.ReasonOf(err, "") == state.BadRequest }

// IsThrottled reports whether the error says that the store turned a call away because
// it gets too many.
func IsThrottled(err error) bool { return state.ReasonOf(err, "") == state.TooManyCalls }

// ConflictError reports that a change's conditions did not hold.
type ConflictError struct {
	// Current holds those items of the conditions' keys that exist.
	Current []Item
}

func (e *ConflictError) Error() string { return "a condition of the change does not hold" }

// Find returns the current item of a key.
func (e *ConflictError) Find(key string) (Item, bool) {
	for _, item := range e.Current {
		if item.Key == key && !item.Deleted && item.Revision > 0 {
			return item, true
		}
	}
	return Item{}, false
}
