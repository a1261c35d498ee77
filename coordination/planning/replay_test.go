package planning

import (
	"container/heap"
	"slices"
	"time"

	"comfreystream/state"
)

const (
	// startDelay is the time from the decision until every member runs.
	startDelay = 100 * time.Millisecond
	// stopDelay is the time that a job without a checkpoint takes to stop.
	stopDelay = 100 * time.Millisecond
	// maxUrgentWait is the guaranteed time from submission to start of urgent jobs.
	maxUrgentWait = 1500 * time.Millisecond
)

// maxReplayLength limits a replay, in multiples of the time over which the jobs arrive;
// jobs that have not ended by then count as unfinished.
const maxReplayLength = 20

// policy is the scheduler under replay: the planner or the baseline.
type policy struct {
	planner *Planner
	submit  func(state.Job) state.Reason
	cancel  func(state.JobID) CancelResult
	plan    func() Round
	started func(state.JobID, state.Attempt)
	requeue func(state.JobID, state.Attempt)
	ended   func(state.JobID, state.Attempt)
}

// event is an action at a point of virtual time; sequence orders the events of the same
// time.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replayedJob is an accepted job that has not ended yet.
type replayedJob struct {
	arrival
	remaining    time.Duration
	attempt      state.Attempt
	started      time.Time
	firstStarted time.Time
	running      bool
}

// replay runs a workload against a policy in virtual time.
type replay struct {
	arrivalSpan time.Duration
	policy      policy
	from        time.Time
	now         time.Time
	events      events
	sequence    int
	jobs        map[state.JobID]*replayedJob
	outcome     outcome
	nextPlan    time.Time
	// fragmentationHours and usedAcceleratorHours are integrals over time up to
	// sampledUntil; they stop at the end of the arrivals.
	sampledUntil         time.Time
	fragmentationHours   float64
	usedAcceleratorHours float64
}

// outcome holds the measurements of a replay.
type outcome struct {
	completion map[string][]time.Duration
	wait       map[string][]time.Duration
	// fragmentation and utilisation are means over time, from 0 to 1.
	fragmentation float64
	utilisation   float64
	violations    int
	// wasted is the accelerator time lost by stops as a fraction of that used; in
	// accelerator hours until finish.
	wasted     float64
	reclaims   int
	unfinished int
	roundTimes []time.Duration
}

func replayJobs(arrivals []arrival, from time.Time, arrivalSpan time.Duration, newPolicy func(now func() time.Time) policy) outcome {
	r := &replay{arrivalSpan: arrivalSpan, from: from, now: from, sampledUntil: from, jobs: make(map[state.JobID]*replayedJob)}
	r.outcome.completion = make(map[string][]time.Duration)
	r.outcome.wait = make(map[string][]time.Duration)
	r.policy = newPolicy(func() time.Time { return r.now })
	for _, arrival := range arrivals {
		r.at(arrival.job.Submitted, func() { r.arrive(arrival) })
		if !arrival.cancelAt.IsZero() {
			r.at(arrival.cancelAt, func() { r.cancel(arrival.job.ID) })
		}
	}
	limit := from.Add(maxReplayLength * arrivalSpan)
	for len(r.events) > 0 && r.events[0].at.Before(limit) {
		now := r.events[0].at
		r.sample(now)
		r.now = now
		for len(r.events) > 0 && r.events[0].at.Equal(now) {
			heap.Pop(&r.events).(event).action()
		}
		r.plan()
	}
	return r.finish()
}

func (r *replay) at(at time.Time, action func()) {
	r.sequence++
	heap.Push(&r.events, event{at, r.sequence, action})
}

func (r *replay) arrive(a arrival) {
	reason := r.policy.submit(a.job)
	if a.neverFits != (reason == state.NeverFits) {
		r.outcome.violations++
	}
	if reason == "" {
		r.jobs[a.job.ID] = &replayedJob{arrival: a, remaining: a.runTime}
	}
}

func (r *replay) cancel(id state.JobID) {
	if j := r.jobs[id]; j != nil && !j.running && r.policy.cancel(id) == CancelQueued {
		delete(r.jobs, id)
	}
}

func (r *replay) plan() {
	before := time.Now()
	round := r.policy.plan()
	r.outcome.roundTimes = append(r.outcome.roundTimes, time.Since(before))
	for _, start := range round.Starts {
		r.start(start)
	}
	for _, reclaim := range round.Reclaims {
		r.outcome.reclaims++
		stopped := r.now.Add(stopDelay)
		if reclaim.Checkpoint {
			stopped = reclaim.Deadline
		}
		r.at(stopped, func() { r.stop(reclaim) })
	}
	if !round.Next.IsZero() && (r.nextPlan.IsZero() || !r.nextPlan.After(r.now) || round.Next.Before(r.nextPlan)) {
		r.nextPlan = round.Next
		r.at(later(round.Next, r.now.Add(time.Millisecond)), func() {})
	}
}

func (r *replay) start(start Start) {
	j := r.jobs[start.Job.ID]
	j.attempt, j.started, j.running = start.Attempt, r.now.Add(startDelay), true
	if j.firstStarted.IsZero() {
		j.firstStarted = j.started
	}
	attempt := start.Attempt
	r.at(j.started, func() {
		if j.running && j.attempt == attempt {
			r.policy.started(j.job.ID, attempt)
		}
	})
	r.at(j.started.Add(j.remaining), func() { r.end(j, attempt) })
}

func (r *replay) end(j *replayedJob, attempt state.Attempt) {
	if !j.running || j.attempt != attempt {
		return
	}
	j.running = false
	r.policy.ended(j.job.ID, attempt)
	delete(r.jobs, j.job.ID)
	r.outcome.completion[j.class] = append(r.outcome.completion[j.class], r.now.Sub(j.job.Submitted))
	wait := j.firstStarted.Sub(j.job.Submitted)
	r.outcome.wait[j.class] = append(r.outcome.wait[j.class], wait)
	if j.class == "urgent" && wait > maxUrgentWait {
		r.outcome.violations++
	}
}

func (r *replay) stop(reclaim Reclaim) {
	j := r.jobs[reclaim.Job]
	if j == nil || !j.running || j.attempt != reclaim.Attempt {
		return
	}
	j.running = false
	ran := max(0, r.now.Sub(j.started))
	if reclaim.Checkpoint {
		j.remaining = j.remaining - ran + checkpointCost
		ran = checkpointCost
	}
	r.outcome.wasted += ran.Hours() * float64(j.job.Total().Accelerators)
	r.policy.requeue(j.job.ID, j.attempt)
}

// sample adds the time since the last sample to the integrals.
func (r *replay) sample(until time.Time) {
	end := r.from.Add(r.arrivalSpan)
	if until.After(end) {
		until = end
	}
	passed := until.Sub(r.sampledUntil).Hours()
	if passed <= 0 {
		return
	}
	r.sampledUntil = until
	free := 0
	for _, w := range r.policy.planner.zone.workers {
		free += w.free().Accelerators
	}
	r.fragmentationHours += passed * r.policy.planner.fragmentation()
	r.usedAcceleratorHours += passed * float64(r.policy.planner.zone.total.Accelerators-free)
}

func (r *replay) finish() outcome {
	o := r.outcome
	o.fragmentation = r.fragmentationHours / r.arrivalSpan.Hours()
	o.utilisation = (r.usedAcceleratorHours - o.wasted) / r.arrivalSpan.Hours() / float64(r.policy.planner.zone.total.Accelerators)
	o.wasted /= r.usedAcceleratorHours
	o.unfinished = len(r.jobs)
	return o
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// percentile returns the value at the given fraction, from 0 to 1, of the sorted values.
func percentile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(fraction*float64(len(sorted)-1)+0.5)]
}
