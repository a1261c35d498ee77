package runner

import (
	"maps"
	"slices"
	"time"

	"comfreystream/state/workflow"
)

// proceed ends everything that has come to its end by now, in its order.
func (f *Fleet) proceed() {
	now := time.Now()
	for {
		r, outcome, at := f.next()
		if r == nil || at.After(now) {
			return
		}
		f.end(r, outcome, at)
	}
}

// next returns the attempt that ends first, how and when.
func (f *Fleet) next() (first *Run, outcome workflow.Outcome, at time.Time) {
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		w := f.workers[id]
		for _, r := range w.running {
			o, ends := f.ending(w, r)
			if first == nil || ends.Before(at) {
				first, outcome, at = r, o, ends
			}
		}
	}
	return first, outcome, at
}

// ending returns how and when an attempt ends as things stand.
func (f *Fleet) ending(w *worker, r *Run) (outcome workflow.Outcome, at time.Time) {
	outcome, at = workflow.Lapsed, w.deadline
	consider := func(o workflow.Outcome, ends time.Time) {
		if ends.Before(at) {
			outcome, at = o, ends
		}
	}
	if !r.stopping.IsZero() {
		consider(workflow.Stopped, r.stopping)
	}
	if r.working.IsZero() && f.gathered(r) {
		r.working = time.Now()
	}
	if r.working.IsZero() {
		consider(workflow.Incomplete, r.Began.Add(f.GangTimeout))
		return outcome, at
	}
	natural := workflow.Done
	if f.Outcome != nil {
		natural = f.Outcome(r.Task, r.Attempt, r.Worker)
	}
	consider(natural, r.working.Add(f.runTime(r)))
	return outcome, at
}

// peers returns the attempts of the same gang that run.
func (f *Fleet) peers(r *Run) (list []*Run) {
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

func (f *Fleet) size(task workflow.Task) int {
	if f.GangSize == nil {
		return 1
	}
	return f.GangSize(task)
}

func (f *Fleet) gathered(r *Run) bool {
	size := f.size(r.Task)
	return size == 1 || len(f.peers(r)) == size
}

// end notes the end of an attempt, and of the rest of its gang with it.
func (f *Fleet) end(r *Run, outcome workflow.Outcome, now time.Time) {
	members := []*Run{r}
	if f.size(r.Task) > 1 {
		members = f.peers(r)
	}
	for _, member := range members {
		ending := outcome
		if member != r && outcome != workflow.Done {
			ending = workflow.Broken
		}
		f.endOne(member, ending, now)
	}
}

func (f *Fleet) endOne(r *Run, outcome workflow.Outcome, now time.Time) {
	w := f.workers[r.Worker]
	i := slices.Index(w.running, r)
	if i < 0 {
		panic(errUnknownTask)
	}
	w.running = slices.Delete(w.running, i, i+1)
	w.number++
	r.Ended, r.Outcome, r.number = now, outcome, w.number
	w.barred[r.Task] = max(w.barred[r.Task], r.Attempt)
	w.ends = append(w.ends, r)
}
