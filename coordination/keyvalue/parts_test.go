package keyvalue_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
)

// TestListParts lists 2,000 keys in pages of 500. It guards against a new planner that
// waits for one page after the other while the store is slow, and against more calls than
// one while it is not.
func TestListParts(t *testing.T) {
	const pages = 4
	unavailable := errors.New("unavailable")
	tests := []struct {
		name   string
		answer time.Duration
		// fails says whether the listing of a prefix fails.
		fails func(prefix string) bool
		// want is how long the listing takes, calls how many listings begin; failed is set
		// if it has no result.
		want   time.Duration
		calls  int32
		failed bool
	}{
		{"calm", 4 * time.Millisecond, nil, 16 * time.Millisecond, 1, false},
		{"slow", 390 * time.Millisecond, nil, 430 * time.Millisecond, 17, false},
		{"slow, a part fails", 390 * time.Millisecond, func(prefix string) bool { return prefix == "in/7" }, 1560 * time.Millisecond, 17, false},
		{"slow, the whole fails", 390 * time.Millisecond, func(prefix string) bool { return prefix == "in/" }, 430 * time.Millisecond, 17, false},
		{"slow, all fail", 390 * time.Millisecond, func(string) bool { return true }, 1560 * time.Millisecond, 17, true},
		{"calm, the whole fails", 4 * time.Millisecond, func(prefix string) bool { return prefix == "in/" }, 16 * time.Millisecond, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls atomic.Int32
				store := keyvalue.Store{List: func(ctx context.Context, prefix string) ([]keyvalue.Item, keyvalue.Revision, error) {
					revision := keyvalue.Revision(100 - calls.Add(1))
					wait, items := test.answer, []keyvalue.Item{{Key: prefix + "1"}}
					if prefix == "in/" {
						wait, items = pages*test.answer, make([]keyvalue.Item, len(starts))
					}
					select {
					case <-time.After(wait):
					case <-ctx.Done():
						return nil, 0, ctx.Err()
					}
					if test.fails != nil && test.fails(prefix) {
						return nil, 0, unavailable
					}
					return items, revision, nil
				}}
				began := time.Now()
				items, asOf, err := store.ListParts(t.Context(), "in/", starts)
				if took := time.Since(began); took != test.want || calls.Load() != test.calls {
					t.Errorf("took %v with %d listings, want %v with %d", took, calls.Load(), test.want, test.calls)
				}
				if test.failed != (err != nil) || !test.failed && len(items) != len(starts) {
					t.Errorf("%d items, %v", len(items), err)
				}
				// The listing that was asked for last has the oldest revision here.
				if split := test.calls > 1 && test.want < time.Second; split && asOf != keyvalue.Revision(100-test.calls) {
					t.Errorf("revision %d, want the oldest of the parts", asOf)
				}
			})
		})
	}
}

var starts = strings.Split("0123456789abcdef", "")
