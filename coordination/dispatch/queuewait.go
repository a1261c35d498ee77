package dispatch

import (
	"sync"
	"time"

	"comfreystream/state"
)

// newestWaitWeight is the weight of the newest wait in the moving average.
const newestWaitWeight = 0.1

// queueWaits keeps an exponential moving average of the time in the queue for
// each urgency.
type queueWaits struct {
	mu    sync.Mutex
	means [state.Urgent + 1]time.Duration
}

func (w *queueWaits) observe(urgency state.Urgency, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	mean := &w.means[min(urgency, state.Urgent)]
	*mean += time.Duration(newestWaitWeight * float64(wait-*mean))
}

// expected returns how long a job is expected to wait, given the number of
// queued jobs.
func (w *queueWaits) expected(urgency state.Urgency, queued int) time.Duration {
	if queued == 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.means[min(urgency, state.Urgent)]
}
