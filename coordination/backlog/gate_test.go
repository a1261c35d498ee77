package backlog_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/backlog"
	"comfreystream/coordination/pause"
	"comfreystream/state/workflow"
)

// newJob returns a job of priority 1 of 4 tasks with 2 accelerators each and an objective
// of 4 s.
func newJob(id int, change func(j *workflow.Job)) *workflow.Job {
	j := &workflow.Job{
		ID: workflow.ID(fmt.Sprintf("%016x", id)), Service: "render", Organisation: "andina", Priority: 1,
		Stretch: 3, StartAllowance: time.Second,
		Steps: []workflow.Step{{Tasks: 4, Accelerators: 2, Gang: true, Estimate: time.Second}},
	}
	if change != nil {
		change(j)
	}
	return j
}

// noPlanner is the answer to a refusal that no planner hears of.
func noPlanner(context.Context, workflow.ID) (time.Duration, error) {
	return 0, errors.New("no planner")
}

// tooLong is a wait of the class of newJob that is longer than three times its objective.
var tooLong = backlog.Wait{Service: "render", Priority: 1, Member: 2, Total: 8, Objective: 4 * time.Second, InTime: 5 * time.Second, Late: 13 * time.Second}

// TestGate guards against refusals of jobs that may start in time to count, that are within
// a guarantee, or that rest on figures which are too old or of which the age is not known.
func TestGate(t *testing.T) {
	step := func(change func(s *workflow.Step)) func(j *workflow.Job) {
		return func(j *workflow.Job) { change(&j.Steps[0]) }
	}
	wait := func(change func(w *backlog.Wait)) *backlog.Wait {
		w := tooLong
		change(&w)
		return &w
	}
	tests := []struct {
		name string
		// wait is the published one; nil is tooLong.
		wait *backlog.Wait
		// age is that of the figures when they are read, and then how long before the job comes.
		age, then time.Duration
		// readTakes is how long the store takes to answer.
		readTakes time.Duration
		readErr   error
		noHint    bool
		guarantee int
		job       func(j *workflow.Job)
		refused   bool
	}{
		{name: "starts too late", refused: true},
		{name: "starts just soon enough", wait: wait(func(w *backlog.Wait) { w.Late = 12 * time.Second })},
		{name: "starts while it can be in time", wait: wait(func(w *backlog.Wait) { w.InTime = 4 * time.Second })},
		{name: "the planner has not told of waits", noHint: true},
		{name: "another service", job: func(j *workflow.Job) { j.Service = "index" }},
		{name: "more urgent", job: func(j *workflow.Job) { j.Priority = 0 }},
		{name: "less urgent", job: func(j *workflow.Job) { j.Priority = 2 }, refused: true},
		{name: "smaller", job: step(func(s *workflow.Step) { s.Tasks = 3 })},
		{name: "smaller tasks", job: step(func(s *workflow.Step) { s.Tasks, s.Accelerators = 8, 1 })},
		{name: "larger", job: step(func(s *workflow.Step) { s.Tasks = 5 }), refused: true},
		{name: "tasks that need not start together", job: step(func(s *workflow.Step) { s.Gang = false })},
		{name: "a shorter objective", job: step(func(s *workflow.Step) { s.Estimate = 900 * time.Millisecond })},
		{name: "a longer objective, still too late", job: step(func(s *workflow.Step) { s.Estimate = 1100 * time.Millisecond }), refused: true},
		{name: "an objective that allows the wait", job: step(func(s *workflow.Step) { s.Estimate = 2 * time.Second })},
		{name: "without accelerators", job: step(func(s *workflow.Step) { s.Accelerators = 0 })},
		{name: "runs until cancelled", job: step(func(s *workflow.Step) { s.LongRunning = true })},
		{name: "starts at a later time", job: func(j *workflow.Job) { j.Occurrences = 1 }},
		{name: "a first step without accelerators", job: func(j *workflow.Job) { j.Steps = append(j.Steps, workflow.Step{Tasks: 1}) }},
		{name: "a later step without accelerators", job: func(j *workflow.Job) { j.Steps = append(j.Steps, workflow.Step{Tasks: 1, After: []int{0}}) }, refused: true},
		{name: "urgent within the guarantee", wait: wait(func(w *backlog.Wait) { w.Priority = 0 }), guarantee: 8, job: func(j *workflow.Job) { j.Priority = 0 }},
		{name: "urgent over the guarantee", wait: wait(func(w *backlog.Wait) { w.Priority = 0 }), guarantee: 7, job: func(j *workflow.Job) { j.Priority = 0 }, refused: true},
		{name: "a guarantee does not cover other priorities", guarantee: 8, refused: true},
		{name: "figures that are still new enough", age: 2900 * time.Millisecond, refused: true},
		{name: "figures that are too old", age: 3 * time.Second},
		{name: "figures that have become too old", age: 2 * time.Second, then: 990 * time.Millisecond},
		{name: "figures from the future", age: -time.Second},
		{name: "a clock that is a little ahead", age: -100 * time.Millisecond, refused: true},
		{name: "the store is slow", readTakes: 390 * time.Millisecond},
		{name: "the store does not answer", readErr: errors.New("no answer")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				published := tooLong
				if test.wait != nil {
					published = *test.wait
				}
				figures := backlog.Figures{Waits: []backlog.Wait{published}, At: time.Now().Round(0).Add(-test.age)}
				g := &backlog.Gate{
					Read: func(ctx context.Context) (backlog.Figures, error) {
						pause.For(ctx, test.readTakes+10*time.Millisecond)
						return figures, test.readErr
					},
					Now: time.Now, Guarantee: func(string) int { return test.guarantee }, Log: zerolog.Nop(), Refused: noPlanner,
				}
				go g.Run(ctx)
				if !test.noHint {
					g.NoteWaiting()
				}
				if test.then > 0 {
					_ = g.Check(ctx, newJob(1, nil))
					time.Sleep(test.then)
				}
				if refusal := g.Check(ctx, newJob(2, test.job)); (refusal != nil) != test.refused {
					t.Errorf("refused %v (%v), want %v", refusal != nil, refusal, test.refused)
				}
			})
		})
	}
}

// TestGateReads counts the reads of the figures by an entry that gets up to 20 jobs a second. It
// guards against reads in calm, and against more than one per second under load.
func TestGateReads(t *testing.T) {
	tests := []struct {
		name string
		// hint is when the planner tells of waits; they end after clear.
		hint, clear time.Duration
		failing     bool
		min, max    int
	}{
		{"calm", time.Hour, 0, false, 0, 0},
		{"waits for 10 s", time.Second, 11 * time.Second, false, 9, 12},
		{"the store does not answer", time.Second, 11 * time.Second, true, 15, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				began, reads := time.Now(), 0
				g := &backlog.Gate{
					Read: func(ctx context.Context) (backlog.Figures, error) {
						reads++
						if test.failing {
							<-ctx.Done()
							return backlog.Figures{}, ctx.Err()
						}
						figures := backlog.Figures{At: time.Now()}
						if time.Since(began) < test.clear {
							figures.Waits = []backlog.Wait{tooLong}
						}
						return figures, nil
					},
					Now: time.Now, Guarantee: func(string) int { return 0 }, Log: zerolog.Nop(), Refused: noPlanner,
				}
				go g.Run(ctx)
				for i := 0; time.Since(began) < 20*time.Second; i++ {
					time.Sleep(50 * time.Millisecond)
					if time.Since(began) >= test.hint && time.Since(began) < test.hint+time.Second {
						g.NoteWaiting()
					}
					_ = g.Check(ctx, newJob(i, nil))
				}
				cancel()
				synctest.Wait()
				if reads < test.min || reads > test.max {
					t.Errorf("%d reads in 20 s, want %d to %d", reads, test.min, test.max)
				}
			})
		})
	}
}

// TestRetryAfter guards against callers that return together, and against callers that are
// told to return after others who came later.
func TestRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		long := tooLong
		long.Late = 44 * time.Second
		g := &backlog.Gate{
			Read: func(context.Context) (backlog.Figures, error) {
				return backlog.Figures{Waits: []backlog.Wait{long}, At: time.Now()}, nil
			},
			Now: time.Now, Guarantee: func(string) int { return 0 }, Log: zerolog.Nop(), Refused: noPlanner,
		}
		go g.Run(ctx)
		g.NoteWaiting()
		const jobs, waves = 200, 3
		for wave := range waves {
			times := make(map[time.Duration]int)
			for i := range jobs {
				refusal := g.Check(ctx, newJob(wave*jobs+i, nil))
				if refusal == nil || refusal.RetryAfter%time.Second != 0 || refusal.RetryAfter < 40*time.Second || refusal.RetryAfter > time.Minute {
					t.Fatalf("wave %d, job %d: %v, want a refusal with whole seconds from 40 s to a minute", wave, i, refusal)
				}
				times[refusal.RetryAfter]++
			}
			for at, count := range times {
				if count > jobs/5 {
					t.Errorf("wave %d: %d of %d callers return after %v", wave, count, jobs, at)
				}
			}
			time.Sleep(4 * time.Second)
		}
		// Those of the first wave have now waited for 12 s, those of the last for 4 s.
		previous := time.Duration(0)
		for wave := range waves {
			latest := time.Duration(0)
			for i := range jobs {
				refusal := g.Check(ctx, newJob(wave*jobs+i, nil))
				if refusal == nil || refusal.RetryAfter < previous || refusal.RetryAfter >= 40*time.Second {
					t.Fatalf("wave %d, job %d: %v, want a refusal with a time between %v and that of new ones", wave, i, refusal, previous)
				}
				latest = max(latest, refusal.RetryAfter)
			}
			previous = latest
		}
	})
}
