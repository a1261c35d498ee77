package dispatch_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"comfreystream/standin/store"
	standin "comfreystream/standin/worker"
	"comfreystream/state"
)

// maxPartialRun is how long a gang may run with some members missing: the
// lifetime of a lease that is not renewed.
const maxPartialRun = 20 * time.Second

// gangJob returns a job each member of which needs a whole worker.
func gangJob(name string, members int, idempotent bool) state.Job {
	return state.Job{
		Organisation: "north", Kind: "gang", Members: members, Shape: capacity, Urgency: state.Normal,
		Idempotent: idempotent, Key: name, DeclaredRunTime: 5 * time.Second, Submitted: time.Now(),
		Payload: fmt.Appendf(nil, `{"run":"5s","answer":"%s;"}`, name),
	}
}

// watchPartialGangs fails the test if an attempt runs with some members missing
// for longer than maxPartialRun.
func (z *zone) watchPartialGangs(ctx context.Context, members map[string]int) {
	since := make(map[state.JobAttempt]time.Time)
	for ctx.Err() == nil {
		running := make(map[state.JobAttempt]int)
		for _, w := range z.workerList {
			for _, a := range w.Running() {
				running[a]++
			}
		}
		for a, n := range running {
			if n == members["all"] {
				delete(since, a)
				continue
			}
			if since[a].IsZero() {
				since[a] = time.Now()
			}
			if time.Since(since[a]) > maxPartialRun {
				z.t.Errorf("%v ran with only %d members for longer than a lease", a, n)
				return
			}
		}
		for a := range since {
			if running[a] == 0 {
				delete(since, a)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// checkOutcome checks the guarantees that hold for every outcome: a job reported
// as not run was never started, a non-idempotent job ran at most once, and the
// answer is complete.
func (z *zone) checkOutcome(job state.Job, o state.Outcome) {
	z.t.Helper()
	starts := z.starts(o.Job)
	if o.Ran == state.NotRun && starts != 0 {
		z.t.Errorf("%s is reported as not run (%s), but was started %d times", o.Job, o.Reason, starts)
	}
	if !job.Idempotent && !job.Checkpointable && starts > job.Members {
		z.t.Errorf("%s is not idempotent, but %d members were started", o.Job, starts)
	}
	if want := strings.Repeat(job.Key+";", job.Members); o.Ran == state.RanToCompletion && string(o.Answer) != want {
		z.t.Errorf("%s has the answer %q, want %q", o.Job, o.Answer, want)
	}
}

// checkNothingHeld runs a job that needs every worker, which fails if resources
// are still held.
func (z *zone) checkNothingHeld() {
	z.t.Helper()
	for _, w := range z.workerList {
		w.SetFaults(standin.Faults{})
	}
	z.store.Inject(nil)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	if progress := z.front.Run(ctx, gangJob("last", len(z.workerList), true)); progress.Outcome.Ran != state.RanToCompletion {
		z.t.Errorf("a job that needs every worker did not run, resources are still held: %+v", progress)
	}
}

func killPlanner(z *zone)      { z.kill() }
func moveHome(z *zone)         { z.moveHome(2 * time.Second) }
func handOver(z *zone)         { z.handOver() }
func partitionPlanner(z *zone) { z.partitionPlanner() }
func setWorkerFaults(f standin.Faults) func(z *zone) {
	return func(z *zone) { z.gangWorker().SetFaults(f) }
}

// gangWorker returns a worker of a gang's first attempt, or the first worker if
// there is no gang.
func (z *zone) gangWorker() *standin.Worker {
	for _, w := range z.workerList {
		for _, id := range z.current().JobIDs() {
			if _, found := w.Phase(state.JobAttempt{Job: id, Attempt: 1}); found {
				return w
			}
		}
	}
	return z.workerList[0]
}

func setStoreFaults(f store.Faults) func(z *zone) {
	return func(z *zone) { z.store.Inject(store.Always(f)) }
}

// cancelAll cancels every job that the planner knows.
func cancelAll(z *zone) {
	p := z.current()
	for _, id := range p.JobIDs() {
		_ = p.Cancel(context.Background(), id)
	}
}

// TestGangUnderFaults injects a fault at one step of a gang's life, for
// idempotent and non-idempotent jobs.
func TestGangUnderFaults(t *testing.T) {
	type wants []state.Ran
	ran, once := wants{state.RanToCompletion}, wants{state.RanToCompletion, state.OutcomeUnknown}
	either := wants{state.NotRun, state.OutcomeUnknown}
	tests := []struct {
		name  string
		step  string
		fault func(z *zone)
		// idempotent and once are the allowed results of an idempotent and a
		// non-idempotent job.
		idempotent, once wants
	}{
		{"nothing fails", "", nil, ran, ran},
		{"planner dies before hold", "before hold", killPlanner, ran, ran},
		{"planner dies after hold", "after hold", killPlanner, ran, ran},
		{"planner dies before start", "before start", killPlanner, ran, once},
		{"planner dies after start", "after start", killPlanner, ran, once},
		{"planner dies before a write", "before write", killPlanner, ran, once},
		{"planner dies after a write", "after write", killPlanner, ran, once},
		{"planner hands over before hold", "before hold", handOver, ran, ran},
		{"planner hands over after hold", "after hold", handOver, ran, ran},
		{"planner hands over before start", "before start", handOver, ran, ran},
		{"planner hands over after start", "after start", handOver, ran, ran},
		{"planner hands over at a write", "before write", handOver, ran, ran},
		{"planner hands over after the claim, with the store down for a while", "after write", func(z *zone) {
			z.store.Inject(store.Always(store.Faults{Down: true}))
			z.later(2500*time.Millisecond, func() { z.store.Inject(nil) })
			handOver(z)
			<-time.After(10 * time.Millisecond)
		}, ran, ran},
		{"planner hands over, and its start succeeds after the next one has recovered", "before start", func(z *zone) {
			handOver(z)
			<-time.After(4 * time.Second)
		}, ran, ran},
		{"planner hands over after the gang was abandoned and requeued", "before start", func(z *zone) {
			z.moveHome(10 * time.Second)
			z.later(4*time.Second, func() { handOver(z) })
		}, ran, ran},
		{"rack's home moves before hold", "before hold", moveHome, ran, ran},
		{"rack's home moves before start", "before start", moveHome, ran, ran},
		{"rack's home moves and planner hands over before start", "before start", func(z *zone) { moveHome(z); handOver(z) }, ran, ran},
		{"start is refused by a leaving home while the planner hands over", "after start", func(z *zone) { moveHome(z); handOver(z) }, ran, ran},
		{"planner dies while the gang runs", "running", killPlanner, ran, ran},
		{"planner dies twice while the gang runs", "running", func(z *zone) {
			z.kill()
			<-time.After(3500 * time.Millisecond)
			z.kill()
		}, ran, ran},
		{"planner dies as the gang ends", "ending", killPlanner, ran, ran},
		{"planner cut off before hold", "before hold", partitionPlanner, ran, once},
		{"planner cut off after hold", "after hold", partitionPlanner, ran, once},
		{"planner cut off before start", "before start", partitionPlanner, ran, once},
		{"planner cut off after start", "after start", partitionPlanner, ran, once},
		{"planner cut off at a write", "before write", partitionPlanner, ran, once},
		{"planner cut off while the gang runs", "running", partitionPlanner, ran, ran},
		{"worker silent before hold", "before hold", setWorkerFaults(standin.Faults{Silent: true}), ran, ran},
		{"worker silent at start", "before commit", setWorkerFaults(standin.Faults{Silent: true}), ran, wants{state.OutcomeUnknown}},
		{"start's answer lost", "before commit", setWorkerFaults(standin.Faults{LoseStartAnswers: true}), ran, wants{state.OutcomeUnknown}},
		{"two workers refuse holds", "before hold", func(z *zone) {
			z.workerList[0].SetFaults(standin.Faults{RefuseHolds: true})
			z.workerList[2].SetFaults(standin.Faults{RefuseHolds: true})
		}, ran, ran},
		{"worker fails tasks", "before commit", setWorkerFaults(standin.Faults{FailTasks: true}), ran, wants{state.OutcomeUnknown}},
		{"worker lost while the gang runs", "running", setWorkerFaults(standin.Faults{Silent: true}), ran, wants{state.OutcomeUnknown}},
		{"store down at claim", "before hold", setStoreFaults(store.Faults{Down: true}), ran, wants{state.NotRun}},
		{"store refuses at claim", "before hold", setStoreFaults(store.Faults{Refuse: true}), ran, wants{state.NotRun}},
		{"claim's answer lost", "before hold", setStoreFaults(store.Faults{LoseAnswer: true}), ran, wants{state.RanToCompletion, state.NotRun}},
		{"report replies lost", "before commit", func(z *zone) {
			z.mu.Lock()
			defer z.mu.Unlock()
			z.loseReplies = 3
		}, ran, ran},
		{"cancelled before hold", "before hold", cancelAll, wants{state.NotRun}, wants{state.NotRun}},
		{"cancelled before start", "before start", cancelAll, either, either},
		{"cancelled after start", "after start", cancelAll, either, either},
		{"cancelled while it runs", "running", cancelAll, wants{state.OutcomeUnknown}, wants{state.OutcomeUnknown}},
	}
	for _, tt := range tests {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %v", tt.name, idempotent), func(t *testing.T) {
				runRow(t, func(t *testing.T) {
					z := newZone(t, 6)
					defer z.close()
					<-time.After(time.Second)
					z.mu.Lock()
					z.step, z.fault = tt.step, tt.fault
					z.mu.Unlock()
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
					defer cancel()
					var watching sync.WaitGroup
					defer watching.Wait()
					defer cancel()
					watching.Go(func() { z.watchPartialGangs(ctx, map[string]int{"all": 3}) })
					watching.Go(func() {
						<-time.After(2 * time.Second)
						z.injectFaultAt("running")
						<-time.After(3 * time.Second)
						z.injectFaultAt("ending")
					})
					job := gangJob("g", 3, idempotent)
					progress := z.front.Run(ctx, job)
					if !progress.Done {
						t.Fatalf("no outcome within three minutes: %+v", progress)
					}
					want := tt.once
					if idempotent {
						want = tt.idempotent
					}
					if !contains(want, progress.Outcome.Ran) {
						t.Errorf("outcome %v (%s), want %v", progress.Outcome.Ran, progress.Outcome.Reason, want)
					}
					z.checkOutcome(job, progress.Outcome)
					cancel()
					z.checkNothingHeld()
					z.checkOutcome(job, progress.Outcome)
				})
			})
		}
	}
}

func contains(list []state.Ran, ran state.Ran) bool {
	for _, r := range list {
		if r == ran {
			return true
		}
	}
	return false
}
