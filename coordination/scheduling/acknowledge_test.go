package scheduling_test

import (
	"context"
	"fmt"
	"sync"

	"comfreystream/coordination/scheduling"
	"comfreystream/state/workflow"
)

// reportedEnds holds the ends that a worker has reported to one planner. One that has
// restarted is not checked, as its numbers begin again before the planner knows.
type reportedEnds struct {
	incarnation workflow.Incarnation
	restarted   bool
	byNumber    map[int64]workflow.EndedTask
}

// checkedCalls returns the calls to the workers for one planner, which note each end
// that is acknowledged before the store shows its effect.
func (h *harness) checkedCalls() scheduling.WorkerCalls {
	calls := h.calls
	var mu sync.Mutex
	all := make(map[workflow.WorkerID]*reportedEnds)
	calls.Renew = func(ctx context.Context, at workflow.Worker, order scheduling.RenewOrder) (workflow.Report, error) {
		mu.Lock()
		if known := all[at.ID]; known != nil && !known.restarted {
			for number, end := range known.byNumber {
				if number <= order.Acknowledged && !h.isStored(end) {
					h.noteTooEarly(at.ID, end)
				}
			}
		}
		mu.Unlock()
		report, err := h.calls.Renew(ctx, at, order)
		if err != nil {
			return report, err
		}
		mu.Lock()
		defer mu.Unlock()
		known := all[at.ID]
		if known == nil {
			known = &reportedEnds{incarnation: report.Incarnation, byNumber: make(map[int64]workflow.EndedTask)}
			all[at.ID] = known
		}
		known.restarted = known.restarted || known.incarnation != report.Incarnation
		for _, end := range report.Ended {
			known.byNumber[end.Number] = end
		}
		return report, err
	}
	return calls
}

func (h *harness) noteTooEarly(id workflow.WorkerID, end workflow.EndedTask) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problems = append(h.problems, fmt.Sprintf("%v: the end of attempt %d on %s (%s) was acknowledged before its effect was stored", end.Task, end.Attempt, id, end.Outcome))
}

// isStored reports whether the store shows the effect of the end: that the group is done,
// that the attempt has failed, or the checkpoint of a stop. Nothing of a job that has ended starts again.
func (h *harness) isStored(end workflow.EndedTask) bool {
	checkpointed := end.Outcome == workflow.Stopped && end.Checkpoint != ""
	if end.Outcome != workflow.Done && end.Outcome != workflow.Faulted && !checkpointed || h.store.status(end.Task.Job).Final() {
		return true
	}
	h.mu.Lock()
	var id workflow.GroupID
	for _, j := range h.jobs {
		if j.ID == end.Task.Job {
			id = j.GroupOf(end.Task)
		}
	}
	h.mu.Unlock()
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	for key, r := range h.store.records {
		if key.job != end.Task.Job {
			continue
		}
		if g, found := r.Progress.Groups[id]; found {
			if checkpointed {
				return g.Done || g.Attempt > end.Attempt || g.Checkpoint != ""
			}
			return g.Done || end.Outcome == workflow.Faulted && g.FailedAttempt >= end.Attempt
		}
	}
	return false
}
