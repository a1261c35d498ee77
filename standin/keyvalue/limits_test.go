package keyvalue

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
)

// TestLimits crosses each limit by one. It guards against a stand-in that accepts what the
// platform refuses.
func TestLimits(t *testing.T) {
	put := func(key, value string) func(s keyvalue.Store) error {
		return func(s keyvalue.Store) error {
			_, err := s.Commit(context.Background(), keyvalue.Change{Puts: []keyvalue.Put{{Key: key, Value: []byte(value)}}})
			return err
		}
	}
	get := func(s keyvalue.Store) error {
		_, _, _, err := s.Get(context.Background(), "a")
		return err
	}
	watchAfter := func(s keyvalue.Store, age time.Duration) error {
		time.Sleep(age)
		_, _, err := s.Watch(context.Background(), "a", 1, time.Minute)
		return err
	}
	tests := []struct {
		name string
		call func(s keyvalue.Store) error
		// times is how often the call is made, every apart; the last one is refused.
		times   int
		every   time.Duration
		refused func(err error) bool
	}{
		{"key", put("abcde", ""), 1, 0, keyvalue.IsRefused},
		{"value", put("a", "abcde"), 1, 0, keyvalue.IsRefused},
		{"within both", put("abcd", "abcd"), 1, 0, nil},
		{"writes", put("a", ""), 4, 0, keyvalue.IsThrottled},
		{"writes within the rate", put("a", ""), 6, 350 * time.Millisecond, nil},
		{"reads", get, 6, 0, keyvalue.IsThrottled},
		{"reads within the rate", get, 10, 210 * time.Millisecond, nil},
		{"history", func(s keyvalue.Store) error {
			return firstError(put("a", "")(s), watchAfter(s, 3*time.Second))
		}, 1, 0, func(err error) bool { return errors.Is(err, keyvalue.ErrHistoryLost) }},
		{"history within the limit", func(s keyvalue.Store) error {
			return firstError(put("a", "")(s), watchAfter(s, time.Second))
		}, 1, 0, nil},
		{"a pending watch", func(s keyvalue.Store) error {
			return firstError(put("b", "")(s), watchAfter(s, 0))
		}, 1, 0, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New()
				s.Limits = Limits{
					KeyBytes: 4, ValueBytes: 4, ChangeEntries: 2, WritesPerSecond: 3, ReadsPerSecond: 5,
					History: 2 * time.Second, MaxWait: 5 * time.Second,
				}
				calls, began := s.Calls(), time.Now()
				for i := range test.times {
					err := test.call(calls)
					if want := i == test.times-1 && test.refused != nil; want && (err == nil || !test.refused(err)) || !want && err != nil {
						t.Errorf("call %d: %v", i, err)
					}
					time.Sleep(test.every)
				}
				if strings.HasPrefix(test.name, "a pending") && time.Since(began) != s.MaxWait {
					t.Errorf("waited %v, want %v", time.Since(began), s.MaxWait)
				}
			})
		})
	}
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}
