package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"comfreystream/coordination/rollout"
	"comfreystream/coordination/storage"
)

// BenchmarkStoreCalls changes a manifest of 250 organisations every two seconds in
// one zone. It reports the calls to the store by purpose, and what the relay
// pushes to each entry per change.
func BenchmarkStoreCalls(b *testing.B) {
	const interval = 2 * time.Second
	for _, entries := range []int{2, 8, 32} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			c := newCluster(b, 1, entries)
			ticks := time.NewTicker(interval)
			defer ticks.Stop()
			// The first manifest writes 250 parts, which takes most of an interval.
			c.apply(0, sampleManifest(250, 0), 0)
			<-ticks.C
			<-ticks.C
			sent := c.sent()
			c.mu.Lock()
			c.pushes, c.bytes = 0, 0
			c.mu.Unlock()
			start := time.Now()
			b.ResetTimer()
			for i := range b.N {
				c.apply(0, sampleManifest(250, i+1), 0)
				<-ticks.C
			}
			b.StopTimer()
			elapsed := time.Since(start).Seconds()
			for purpose, now := range c.sent() {
				b.ReportMetric(float64(now-sent[purpose])/elapsed, purpose.String()+"Calls/s")
			}
			head, err := c.get(0, 0).Storage.Get(b.Context(), storage.ForManifest, "manifest/head")
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(head.Value)), "headBytes")
			c.mu.Lock()
			defer c.mu.Unlock()
			b.ReportMetric(float64(c.bytes)/float64(b.N*max(1, entries-1)), "partBytes/change/entry")
			b.ReportMetric(float64(c.pushes)/float64(b.N*max(1, entries-1)), "pushes/change/entry")
		})
	}
}

// sent returns the number of calls to the store from all entries by purpose.
func (c *cluster) sent() map[storage.Purpose]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := make(map[storage.Purpose]uint64)
	for _, e := range c.entries {
		sent[storage.ForManifest] += e.Storage.Sent(storage.ForManifest)
		sent[storage.ForWatch] += e.Storage.Sent(storage.ForWatch)
	}
	return sent
}

// BenchmarkReceive measures how long an entry takes to apply a change of one of
// 250 organisations.
func BenchmarkReceive(b *testing.B) {
	c := newCluster(b, 1, 1)
	source := c.get(0, 0)
	c.apply(0, sampleManifest(250, 0), 0)
	old, _ := source.Since(rollout.ManifestID{})
	c.apply(0, sampleManifest(250, 1), 0)
	update, _ := source.Since(rollout.ManifestID{Generation: old.Generation, Digest: old.Digest})
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
