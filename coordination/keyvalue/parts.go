package keyvalue

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// splitDelay is after how long without an answer a listing is split: ten times what an
// answer takes in calm conditions, in which one call lists everything.
const splitDelay = 40 * time.Millisecond

// ListParts lists all items with the prefix like List. As the pages of a listing are read
// one after the other, it also lists by the texts that may follow the prefix once the
// store is slow, all at the same time, and returns what is complete first. starts must
// cover every key; without them nothing is split. The items are in no order; the revision
// is the oldest of the listings, so that a watch from there may repeat some.
func (s *Store) ListParts(ctx context.Context, prefix string, starts []string) ([]Item, Revision, error) {
	if len(starts) == 0 {
		return s.List(ctx, prefix)
	}
	ctx, cancel := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	results := make(chan listing, 2)
	calls.Go(func() {
		items, asOf, err := s.List(ctx, prefix)
		results <- listing{items, asOf, err}
	})
	timer := time.NewTimer(splitDelay)
	defer timer.Stop()
	select {
	case first := <-results:
		return first.items, first.asOf, first.err
	case <-timer.C:
	}
	calls.Go(func() { results <- s.listEach(ctx, prefix, starts) })
	first := <-results
	if first.err == nil {
		return first.items, first.asOf, nil
	}
	second := <-results
	if second.err != nil {
		second.err = errors.Wrapf(second.err, "after %v", first.err)
	}
	return second.items, second.asOf, second.err
}

// listing is the result of List.
type listing struct {
	items []Item
	asOf  Revision
	err   error
}

// listEach lists the items by what follows the prefix, all at the same time.
func (s *Store) listEach(ctx context.Context, prefix string, starts []string) (all listing) {
	parts := make([]listing, len(starts))
	group, ctx := errgroup.WithContext(ctx)
	for i, start := range starts {
		group.Go(func() (err error) {
			parts[i].items, parts[i].asOf, err = s.List(ctx, prefix+start)
			return errors.Wrapf(err, "list %s%s", prefix, start)
		})
	}
	if err := group.Wait(); err != nil {
		return listing{err: err}
	}
	all.asOf = parts[0].asOf
	for _, part := range parts {
		all.items = append(all.items, part.items...)
		all.asOf = min(all.asOf, part.asOf)
	}
	return all
}
