package peer

import (
	"context"
	"sync"
	"testing"
	"time"

	"comfreystream/state"
)

// TestAwaitBeyondTheBound holds as many waits as one peer may have; the next
// must be answered all the same, by a question that does not wait there.
func TestAwaitBeyondTheBound(t *testing.T) {
	const wait = 4 * time.Second
	entered, open := make(chan time.Duration, maxHeldWaits+2), make(chan struct{})
	service := (&recorder{}).service()
	service.Await = func(_ context.Context, _ state.JobID, wait time.Duration) (state.Progress, error) {
		entered <- wait
		if wait > 0 {
			<-open
		}
		return state.Progress{Phase: state.JobRunning}, nil
	}
	client, address := start(t, service)
	var held sync.WaitGroup
	for range maxHeldWaits {
		held.Go(func() {
			if _, err := client.Await(t.Context(), address, "a.1", wait); err != nil {
				t.Error(err)
			}
		})
		<-entered
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name   string
		ctx    context.Context
		failed bool
	}{
		{"asks once after its pause", t.Context(), false},
		{"ends with its caller", ended, true},
	}
	for _, tt := range tests {
		progress, err := client.Await(tt.ctx, address, "a.1", 50*time.Millisecond)
		if (err != nil) != tt.failed || state.IsAmbiguous(err) || err == nil && progress.Phase != state.JobRunning {
			t.Errorf("%s: %+v, %v", tt.name, progress, err)
		}
	}
	if asked := <-entered; asked != 0 {
		t.Errorf("the call above the bound waits %v at the peer", asked)
	}
	close(open)
	held.Wait()
	if left := client.waits.counts.Len(); left != 0 {
		t.Errorf("%d peers are still counted", left)
	}
}
