package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"comfreystream/standin/store"
	standin "comfreystream/standin/worker"
	"comfreystream/state"
)

// awaitOutcome polls for the outcome of an accepted job as a caller does, and
// retries after each failure.
func (z *zone) awaitOutcome(ctx context.Context, job state.JobID) (state.Progress, error) {
	for ctx.Err() == nil {
		progress, err := z.front.Outcome(ctx, job, time.Minute)
		if reason := state.ReasonOf(err, ""); reason == state.UnknownJob {
			return progress, err
		}
		if err == nil && progress.Done {
			return progress, nil
		}
	}
	return state.Progress{}, ctx.Err()
}

// TestAcceptedJobs checks that jobs accepted without a waiting caller are never
// reported as unknown and get an outcome, even if planners or the store fail
// after acceptance.
func TestAcceptedJobs(t *testing.T) {
	tests := []struct {
		name  string
		step  string
		fault func(z *zone)
		// after is called once all jobs are accepted.
		after func(z *zone)
	}{
		{"nothing fails", "", nil, nil},
		{"planner dies before the job is saved", "before write", killPlanner, nil},
		{"planner dies after the job is saved", "after write", killPlanner, nil},
		{"planner hands over before the job is saved", "before write", handOver, nil},
		{"planner hands over after the job is saved", "after write", handOver, nil},
		{"planner dies with jobs queued and running", "", nil, killPlanner},
		{"planner hands over with jobs queued and running", "", nil, handOver},
		{"planner dies twice", "", nil, func(z *zone) {
			z.kill()
			<-time.After(4 * time.Second)
			z.kill()
		}},
		{"planner dies, and the next one has no manifest yet", "", nil, func(z *zone) {
			z.manifestDelay = 6 * time.Second
			z.kill()
		}},
		{"planner dies while the store is down", "", nil, func(z *zone) {
			z.store.Inject(store.Always(store.Faults{Down: true}))
			z.kill()
			<-time.After(15 * time.Second)
			z.store.Inject(nil)
		}},
		{"store loses answers", "", nil, func(z *zone) {
			z.store.Inject(store.Always(store.Faults{LoseAnswer: true}))
			<-time.After(10 * time.Second)
			z.store.Inject(nil)
			z.kill()
		}},
		{"planner dies as the jobs end", "", nil, func(z *zone) {
			<-time.After(5 * time.Second)
			z.kill()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runRow(t, func(t *testing.T) {
				z := newZone(t, 4)
				defer z.close()
				<-time.After(time.Second)
				z.mu.Lock()
				z.step, z.fault = tt.step, tt.fault
				z.mu.Unlock()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
				defer cancel()
				var accepted []state.Job
				for n := range 6 {
					job := gangJob(fmt.Sprintf("j%d", n), 2, n%2 == 0)
					id, err := z.front.RunAsync(ctx, job)
					if err == nil {
						job.ID = id
						accepted = append(accepted, job)
					}
				}
				if len(accepted) < 5 {
					t.Errorf("only %d of 6 jobs were accepted", len(accepted))
				}
				if tt.after != nil {
					z.later(0, func() { tt.after(z) })
				}
				for _, job := range accepted {
					progress, err := z.awaitOutcome(ctx, job.ID)
					if err != nil {
						t.Errorf("%s was accepted but has no outcome: %v", job.Key, err)
						continue
					}
					o := progress.Outcome
					if job.Idempotent && o.Ran != state.RanToCompletion || o.Ran == state.NotRun && o.Reason != state.ClaimUnavailable {
						t.Errorf("%s was accepted but has the outcome %v (%s)", job.Key, progress.Outcome.Ran, progress.Outcome.Reason)
					}
					z.checkOutcome(job, progress.Outcome)
				}
				<-time.After(30 * time.Second)
				z.checkNothingHeld()
			})
		})
	}
}

// TestReclaim has organisation south reclaim its guarantee from a checkpointable
// job of north. The job must resume from its checkpoint, or restart where the
// checkpoint is lost.
func TestReclaim(t *testing.T) {
	tests := []struct {
		name  string
		step  string
		fault func(z *zone)
		// mayRestart is set where the job may have to restart from the beginning.
		mayRestart bool
	}{
		{"nothing fails", "", nil, false},
		{"planner dies before the checkpoint", "before checkpoint", killPlanner, true},
		{"planner dies after the checkpoint", "after checkpoint", killPlanner, true},
		{"a worker is silent at the checkpoint", "before checkpoint", func(z *zone) {
			w := z.gangWorker()
			w.SetFaults(standin.Faults{Silent: true})
			z.later(40*time.Second, func() { w.SetFaults(standin.Faults{}) })
		}, true},
		{"the first hold after it is refused", "before stop", func(z *zone) {
			w := z.workerList[0]
			w.SetFaults(standin.Faults{RefuseHolds: true})
			z.later(20*time.Second, func() { w.SetFaults(standin.Faults{}) })
		}, false},
	}
	south := state.Organisation{Name: "south", Share: 1, Guarantees: []state.Guarantee{
		{AvailabilityZone: zoneName, Members: 2, Shape: capacity},
	}}
	for _, tt := range tests {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %v", tt.name, idempotent), func(t *testing.T) {
				runRow(t, func(t *testing.T) {
					z := newZone(t, 4, south)
					defer z.close()
					<-time.After(time.Second)
					z.mu.Lock()
					z.step, z.fault = tt.step, tt.fault
					z.mu.Unlock()
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
					defer cancel()
					saved := gangJob("saved", 4, idempotent)
					saved.Checkpointable = true
					saved.DeclaredRunTime = time.Minute
					saved.Payload = []byte(`{"run":"1m","answer":"saved;"}`)
					var waiting sync.WaitGroup
					var borrowed state.Progress
					began := time.Now()
					waiting.Go(func() { borrowed = z.front.Run(ctx, saved) })
					<-time.After(20 * time.Second)
					urgent := gangJob("urgent", 2, true)
					urgent.Organisation, urgent.Urgency = "south", state.Urgent
					progress := z.front.Run(ctx, urgent)
					if progress.Outcome.Ran != state.RanToCompletion {
						t.Errorf("south's job did not run: %+v", progress)
					}
					z.checkOutcome(urgent, progress.Outcome)
					waiting.Wait()
					if !borrowed.Done || borrowed.Outcome.Ran != state.RanToCompletion && (idempotent || !tt.mayRestart) {
						t.Errorf("north's job did not run: %+v", borrowed)
					}
					if borrowed.Done {
						z.checkOutcome(saved, borrowed.Outcome)
					}
					if took := time.Since(began); !tt.mayRestart && took > 100*time.Second {
						t.Errorf("north's job of one minute took %v: it did not resume from its checkpoint", took)
					}
					z.checkNothingHeld()
				})
			})
		}
	}
}

// TestFailingWorkers has some workers fail every task. The number of starts must
// stay within the retry budget; few bad workers must be quarantined without
// failing a job.
func TestFailingWorkers(t *testing.T) {
	const jobs = 60
	tests := []struct {
		name      string
		failing   int
		maxStarts int
		// allQuarantined is set where all failing workers must be quarantined and all
		// jobs must run.
		allQuarantined bool
	}{
		{"none", 0, jobs, true},
		{"one of eight", 1, jobs + jobs/5 + 20, true},
		{"half of them", 4, jobs + jobs/5 + 20, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runRow(t, func(t *testing.T) {
				z := newZone(t, 8)
				defer z.close()
				<-time.After(time.Second)
				for _, w := range z.workerList[:tt.failing] {
					w.SetFaults(standin.Faults{FailTasks: true})
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
				defer cancel()
				var mu sync.Mutex
				ran, starts := 0, 0
				var all sync.WaitGroup
				for n := range jobs {
					all.Go(func() {
						job := gangJob(fmt.Sprintf("j%d", n), 1, true)
						job.Kind = fmt.Sprintf("kind%d", n%5)
						<-time.After(time.Duration(n) * time.Second)
						progress := z.front.Run(ctx, job)
						z.checkOutcome(job, progress.Outcome)
						mu.Lock()
						defer mu.Unlock()
						starts += z.starts(progress.Outcome.Job)
						if progress.Outcome.Ran == state.RanToCompletion {
							ran++
						}
					})
				}
				all.Wait()
				t.Logf("%d of %d jobs ran, in %d starts", ran, jobs, starts)
				if tt.allQuarantined && ran < jobs || starts > tt.maxStarts {
					t.Errorf("%d of %d jobs ran, in %d starts; want at most %d starts", ran, jobs, starts, tt.maxStarts)
				}
				if found := len(z.current().Quarantine.List()); tt.allQuarantined && found != tt.failing {
					t.Errorf("%d workers are quarantined, want %d", found, tt.failing)
				}
			})
		})
	}
}

// TestCancelWave cancels jobs at random times, also during retries. Each must
// get an outcome within seconds, and no resources may stay held.
func TestCancelWave(t *testing.T) {
	runRow(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		z := newZone(t, 6)
		defer z.close()
		<-time.After(time.Second)
		z.workerList[0].SetFaults(standin.Faults{FailTasks: true})
		z.workerList[1].SetFaults(standin.Faults{RefuseHolds: true})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		var all sync.WaitGroup
		for n := range 60 {
			job := gangJob(fmt.Sprintf("j%d", n), 1+random.IntN(2), n%2 == 0)
			wait := time.Duration(random.IntN(4000)) * time.Millisecond
			all.Go(func() {
				id, err := z.front.RunAsync(ctx, job)
				if err != nil {
					t.Errorf("%s was not accepted: %v", job.Key, err)
					return
				}
				<-time.After(wait)
				if err := z.front.Stop(ctx, id); err != nil {
					t.Errorf("cancel of %s: %v", job.Key, err)
				}
				cancelled := time.Now()
				progress, err := z.awaitOutcome(ctx, id)
				if took := time.Since(cancelled); err != nil || took > 5*time.Second {
					t.Errorf("%s got its outcome %v after the cancel (error %v)", job.Key, took, err)
				}
				z.checkOutcome(job, progress.Outcome)
			})
		}
		all.Wait()
		z.checkNothingHeld()
	})
}

// TestRandomFaults injects random faults, also concurrent ones. No job may be
// lost, run twice or be refused without reason.
func TestRandomFaults(t *testing.T) {
	faults := []func(z *zone, random *rand.Rand){
		func(z *zone, _ *rand.Rand) { z.kill() },
		func(z *zone, _ *rand.Rand) { z.handOver() },
		func(z *zone, random *rand.Rand) {
			z.inject(random, standin.Faults{Silent: true}, time.Duration(random.IntN(30))*time.Second)
		},
		func(z *zone, random *rand.Rand) {
			z.inject(random, standin.Faults{LoseStartAnswers: true}, 5*time.Second)
		},
		func(z *zone, random *rand.Rand) { z.inject(random, standin.Faults{RefuseHolds: true}, 5*time.Second) },
		func(z *zone, random *rand.Rand) { z.inject(random, standin.Faults{FailTasks: true}, 2*time.Second) },
		func(z *zone, _ *rand.Rand) { z.injectStore(store.Faults{Down: true}) },
		func(z *zone, _ *rand.Rand) { z.injectStore(store.Faults{LoseAnswer: true}) },
		func(z *zone, _ *rand.Rand) {
			z.mu.Lock()
			defer z.mu.Unlock()
			z.loseReplies += 2
		},
	}
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runRow(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				z := newZone(t, 6)
				defer z.close()
				<-time.After(time.Second)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Minute)
				defer cancel()
				var all sync.WaitGroup
				for n := range 40 {
					job := gangJob(fmt.Sprintf("j%d", n), 1+random.IntN(3), random.IntN(2) == 0)
					all.Go(func() { z.submitAndCheck(ctx, job, n%4 == 0) })
					<-time.After(time.Duration(random.IntN(2000)) * time.Millisecond)
					for range random.IntN(3) / 2 * (1 + random.IntN(2)) {
						faults[random.IntN(len(faults))](z, random)
					}
				}
				all.Wait()
				if z.idempotentNotRun > z.endedByRetryLimit {
					t.Errorf("%d idempotent jobs did not run, but only %d were ended by the retry budget or as failing everywhere", z.idempotentNotRun, z.endedByRetryLimit)
				}
				<-time.After(time.Minute)
				z.checkNothingHeld()
			})
		})
	}
}

func (z *zone) submitAndCheck(ctx context.Context, job state.Job, async bool) {
	var progress state.Progress
	if async {
		id, err := z.front.RunAsync(ctx, job)
		if err != nil {
			return
		}
		if progress, err = z.awaitOutcome(ctx, id); err != nil {
			z.t.Errorf("%s was accepted, then lost: %v", job.Key, err)
			return
		}
	} else {
		progress = z.front.Run(ctx, job)
	}
	o := progress.Outcome
	switch {
	case !progress.Done:
		z.t.Errorf("%s has no outcome", job.Key)
	case job.Idempotent && o.Ran != state.RanToCompletion:
		z.mu.Lock()
		z.idempotentNotRun++
		z.mu.Unlock()
	case !job.Idempotent && o.Ran == state.NotRun && o.Reason != state.ClaimUnavailable:
		z.t.Errorf("%s was refused: %s", job.Key, o.Reason)
	}
	z.checkOutcome(job, o)
}

// inject sets faults on one random worker for some time.
func (z *zone) inject(random *rand.Rand, faults standin.Faults, duration time.Duration) {
	w := z.workerList[random.IntN(len(z.workerList))]
	w.SetFaults(faults)
	z.later(duration, func() { w.SetFaults(standin.Faults{}) })
}

func (z *zone) injectStore(faults store.Faults) {
	z.store.Inject(store.Always(faults))
	z.later(5*time.Second, func() { z.store.Inject(nil) })
}
