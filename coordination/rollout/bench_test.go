package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"comfreystream/coordination/rollout"
	"comfreystream/coordination/storage"
)

// BenchmarkStoreCalls reports the calls to the store by purpose for one zone
// with one change of a 250-organisation manifest each two seconds, and what the
// relay pushes to each entry for a change.
func BenchmarkStoreCalls(b *testing.B) {
	const interval = 2 * time.Second
	for _, entries := range []int{2, 8, 32} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			f := newFleet(b, 1, entries)
			ticks := time.NewTicker(interval)
			defer ticks.Stop()
			// The first manifest writes 250 parts, which takes most of an interval.
			f.apply(0, sample(250, 0), 0)
			<-ticks.C
			<-ticks.C
			sent := f.sent()
			f.mu.Lock()
			f.pushes, f.bytes = 0, 0
			f.mu.Unlock()
			start := time.Now()
			b.ResetTimer()
			for i := range b.N {
				f.apply(0, sample(250, i+1), 0)
				<-ticks.C
			}
			b.StopTimer()
			elapsed := time.Since(start).Seconds()
			for purpose, now := range f.sent() {
				b.ReportMetric(float64(now-sent[purpose])/elapsed, purpose.String()+"Calls/s")
			}
			head, err := f.get(0, 0).Storage.Get(b.Context(), storage.ForManifest, "manifest/head")
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(head.Value)), "headBytes")
			f.mu.Lock()
			defer f.mu.Unlock()
			b.ReportMetric(float64(f.bytes)/float64(b.N*max(1, entries-1)), "partBytes/change/entry")
			b.ReportMetric(float64(f.pushes)/float64(b.N*max(1, entries-1)), "pushes/change/entry")
		})
	}
}

// sent returns the calls to the store of all entries together.
func (f *fleet) sent() map[storage.Purpose]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent := make(map[storage.Purpose]uint64)
	for _, e := range f.entries {
		sent[storage.ForManifest] += e.Storage.Sent(storage.ForManifest)
		sent[storage.ForWatch] += e.Storage.Sent(storage.ForWatch)
	}
	return sent
}

// BenchmarkReceive is what a change of one of 250 organisations costs the entry that gets it.
func BenchmarkReceive(b *testing.B) {
	f := newFleet(b, 1, 1)
	source := f.get(0, 0)
	f.apply(0, sample(250, 0), 0)
	old, _ := source.Since(rollout.Have{})
	f.apply(0, sample(250, 1), 0)
	update, _ := source.Since(rollout.Have{Generation: old.Generation, Digest: old.Digest})
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		r := rollout.New(source.Storage, source.Codec)
		if _, err := r.Receive(old); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		if _, err := r.Receive(update); err != nil {
			b.Fatal(err)
		}
	}
}
