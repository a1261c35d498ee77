package dispatch

import (
	"sync"
	"time"

	"comfreystream/state"
)

// waitDecay is the weight of the newest wait in the running mean.
const waitDecay = 0.1

// waits keeps a running mean of the time in the queue for each urgency.
type waits struct {
	mu   sync.Mutex
	mean [state.Urgent + 1]time.Duration
}

func (w *waits) observe(urgency state.Urgency, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	mean := &w.mean[min(urgency, state.Urgent)]
	*mean += time.Duration(waitDecay * float64(wait-*mean))
}

// expected returns how long a job is expected to wait behind a queue of that length.
func (w *waits) expected(urgency state.Urgency, queued int) time.Duration {
	if queued == 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mean[min(urgency, state.Urgent)]
}
