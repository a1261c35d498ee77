package peer

import (
	"context"
	"sync"
	"testing"
	"time"

	"comfreystream/state"
)

// TestAwaitPollsAboveLimit fills a peer's limit of blocking waits; a further
// call must still be answered, by a poll that does not block at the peer.
func TestAwaitPollsAboveLimit(t *testing.T) {
	const wait = 4 * time.Second
	entered, release := make(chan time.Duration, maxBlockingWaits+2), make(chan struct{})
	service := (&recorder{}).service()
	service.Await = func(_ context.Context, _ state.JobID, wait time.Duration) (state.Progress, error) {
		entered <- wait
		if wait > 0 {
			<-release
		}
		return state.Progress{Phase: state.JobRunning}, nil
	}
	client, address := start(t, service)
	var blocked sync.WaitGroup
	for range maxBlockingWaits {
		blocked.Go(func() {
			if _, err := client.Await(t.Context(), address, "a.1", wait); err != nil {
				t.Error(err)
			}
		})
		<-entered
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name   string
		ctx    context.Context
		failed bool
	}{
		{"polls once after the delay", t.Context(), false},
		{"ends when its context is cancelled", cancelled, true},
	}
	for _, tt := range tests {
		progress, err := client.Await(tt.ctx, address, "a.1", 50*time.Millisecond)
		if (err != nil) != tt.failed || state.IsAmbiguous(err) || err == nil && progress.Phase != state.JobRunning {
			t.Errorf("%s: %+v, %v", tt.name, progress, err)
		}
	}
	if wait := <-entered; wait != 0 {
		t.Errorf("the call above the limit waits %v at the peer", wait)
	}
	close(release)
	blocked.Wait()
	if left := client.waits.counts.Len(); left != 0 {
		t.Errorf("%d peers still have counted calls", left)
	}
}
