package scheduling_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/state"
	"comfreystream/state/workflow"
)

// TestUrgentDuringBurst submits 120 jobs of priority 2 at once and then jobs of priority 0 at 7 per
// second. It guards against urgent starts that wait behind the records of other work
// while the store is slow, and against more changes of the store than before while it
// is not.
func TestUrgentDuringBurst(t *testing.T) {
	t.Parallel()
	const burst, urgent, urgentPerSecond = 120, 21, 7
	tests := []struct {
		name   string
		answer time.Duration
		// maxWait bounds the time from the submission of an urgent job to its start:
		// the answers of the store, and a planning round and the calls before it.
		maxWait time.Duration
		// maxChanges bounds the changes of the store; 0 is no bound. It is what saves one
		// after the other took.
		maxChanges int
	}{
		{"calm", 4 * time.Millisecond, 100 * time.Millisecond, 60},
		{"slow", 390 * time.Millisecond, 2*390*time.Millisecond + 100*time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(40)
				h.answer = func() storeAnswer { return storeAnswer{after: test.answer / 2, answer: test.answer / 2} }
				s := h.startPlanner()
				time.Sleep(time.Second)
				for i := range burst {
					j := job(i+1, workflow.Step{Tasks: 1, Accelerators: 1})
					j.Priority = 2
					s.Load(j, workflow.Progress{}, nil)
				}
				submitted := make(map[workflow.ID]time.Time)
				for i := range urgent {
					time.Sleep(time.Second / urgentPerSecond)
					j := job(burst+i+1, workflow.Step{Tasks: 1, Accelerators: 1})
					j.Priority = 0
					submitted[j.ID] = time.Now()
					s.Load(j, workflow.Progress{}, nil)
				}
				time.Sleep(10 * time.Second)
				_ = s.Close()
				var longest time.Duration
				for _, r := range h.fleet.Runs() {
					if at, isUrgent := submitted[r.Task.Job]; isUrgent {
						longest = max(longest, r.Started.Sub(at))
					}
				}
				if runs := len(h.fleet.Runs()); runs != burst+urgent {
					t.Errorf("%d runs, want %d", runs, burst+urgent)
				}
				t.Logf("longest wait %v, %d changes", longest, h.changes)
				if longest > test.maxWait {
					t.Errorf("an urgent job waited %v, want %v at most", longest, test.maxWait)
				}
				if test.maxChanges > 0 && h.changes > test.maxChanges {
					t.Errorf("%d changes of the store, want %d at most", h.changes, test.maxChanges)
				}
			})
		})
	}
}

// TestThrottledSaves has a slow store turn one change away for too many calls while many
// saves are under way. Half as many at most may begin for a second, and all after it.
func TestThrottledSaves(t *testing.T) {
	t.Parallel()
	const answerTime, burst, most = 390 * time.Millisecond, 1500, 8
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(40)
		underWay, inSecond, after := 0, 0, 0
		var throttledAt time.Time
		h.answer = func() storeAnswer {
			underWay++
			time.AfterFunc(answerTime, func() {
				h.mu.Lock()
				defer h.mu.Unlock()
				underWay--
			})
			switch since := time.Since(throttledAt); {
			case throttledAt.IsZero() && underWay == most-2:
				throttledAt = time.Now().Add(answerTime)
				return storeAnswer{answer: answerTime, refusal: state.NewStepError("save", netip.AddrPort{}, state.TooManyCalls, nil)}
			case throttledAt.IsZero() || since < 0:
			case since < time.Second:
				inSecond = max(inSecond, underWay)
			default:
				after = max(after, underWay)
			}
			return storeAnswer{answer: answerTime}
		}
		s := h.startPlanner()
		time.Sleep(time.Second)
		for i := range burst {
			s.Load(job(i+1, workflow.Step{Tasks: 1}), workflow.Progress{}, nil)
		}
		time.Sleep(20 * time.Second)
		_ = s.Close()
		if inSecond == 0 || inSecond > most/2 {
			t.Errorf("%d saves were under way in the second after a change was turned away, want 1 to %d", inSecond, most/2)
		}
		if after <= most/2 || after > most {
			t.Errorf("%d saves were under way later, want %d to %d", after, most/2+1, most)
		}
		if count := h.counted("saveThrottled"); count != 1 {
			t.Errorf("throttled %d times, want once", count)
		}
	})
}
