package runner

import (
	"slices"
	"time"

	"comfreystream/state/workflow"
)

// advance ends every attempt whose end is due by now, in order of time.
func (f *Fleet) advance() {
	now := time.Now()
	f.accountSlowdowns(now)
	for {
		r, outcome, at := f.nextEnd()
		if r == nil || at.After(now) {
			return
		}
		f.endAttempt(r, outcome, at)
	}
}

// nextEnd returns the running attempt that ends first, with its outcome and time.
func (f *Fleet) nextEnd() (first *Run, outcome workflow.Outcome, at time.Time) {
	for _, id := range f.ordered {
		w := f.workers[id]
		for _, r := range w.running {
			o, ends := f.predictEnd(w, r)
			if first == nil || ends.Before(at) {
				first, outcome, at = r, o, ends
			}
		}
	}
	return first, outcome, at
}

// predictEnd returns how and when an attempt will end if no further call comes.
// It also sets when the work started, once the gang is complete.
func (f *Fleet) predictEnd(w *worker, r *Run) (outcome workflow.Outcome, at time.Time) {
	outcome, at = workflow.Lapsed, w.leaseExpiry
	consider := func(o workflow.Outcome, ends time.Time) {
		if ends.Before(at) {
			outcome, at = o, ends
		}
	}
	if !r.stopsAt.IsZero() {
		consider(workflow.Stopped, r.stopsAt)
	}
	if r.workStarted.IsZero() && f.gangComplete(r) {
		r.workStarted = time.Now()
	}
	if r.workStarted.IsZero() {
		consider(workflow.Incomplete, r.Started.Add(f.GangTimeout))
		return outcome, at
	}
	natural := workflow.Done
	if f.Outcome != nil {
		natural = f.Outcome(r.Task, r.Attempt, r.Worker)
	}
	runTime := f.runTime(r)
	if natural == workflow.Done {
		runTime = f.gangRunTime(r)
	}
	consider(natural, r.workStarted.Add(runTime))
	return outcome, at
}

// gangRunTime returns the run time of the slowest member of the attempt's gang, with which
// the gang is done.
func (f *Fleet) gangRunTime(r *Run) time.Duration {
	slowest := f.runTime(r)
	if f.gangSize(r.Task) > 1 {
		for _, member := range f.gangMembers(r) {
			slowest = max(slowest, f.runTime(member))
		}
	}
	return slowest
}

// gangMembers returns the running attempts of the same gang, r included.
func (f *Fleet) gangMembers(r *Run) (list []*Run) {
	for _, w := range f.workers {
		for _, other := range w.running {
			if other.Attempt == r.Attempt && sameStep(other.Task, r.Task) {
				list = append(list, other)
			}
		}
	}
	return list
}

func sameStep(a, b workflow.Task) bool {
	a.Index, b.Index = 0, 0
	return a == b
}

func (f *Fleet) gangSize(task workflow.Task) int {
	if f.GangSize == nil {
		return 1
	}
	return f.GangSize(task)
}

func (f *Fleet) gangComplete(r *Run) bool {
	size := f.gangSize(r.Task)
	return size == 1 || len(f.gangMembers(r)) == size
}

// endAttempt ends an attempt together with the rest of its gang; unless the
// outcome is workflow.Done, the other members end as workflow.Broken.
func (f *Fleet) endAttempt(r *Run, outcome workflow.Outcome, now time.Time) {
	members := []*Run{r}
	if f.gangSize(r.Task) > 1 {
		members = f.gangMembers(r)
	}
	for _, member := range members {
		memberOutcome := outcome
		if member != r && outcome != workflow.Done {
			memberOutcome = workflow.Broken
		}
		f.recordEnd(member, memberOutcome, now)
	}
}

func (f *Fleet) recordEnd(r *Run, outcome workflow.Outcome, now time.Time) {
	w := f.workers[r.Worker]
	i := slices.Index(w.running, r)
	if i < 0 {
		panic(errNotRunning)
	}
	w.running = slices.Delete(w.running, i, i+1)
	w.lastEndNumber++
	r.Ended, r.Outcome, r.endNumber = now, outcome, w.lastEndNumber
	w.lastEnded[r.Task] = max(w.lastEnded[r.Task], r.Attempt)
	w.unacknowledged = append(w.unacknowledged, r)
}
