package state

import (
	"flag"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func TestLifecycle(t *testing.T) {
	started := []LifecycleEvent{HoldSent, StartSent}
	then := func(first []LifecycleEvent, more ...LifecycleEvent) []LifecycleEvent {
		return append(append([]LifecycleEvent(nil), first...), more...)
	}
	tests := []struct {
		name   string
		from   Lifecycle
		events []LifecycleEvent
		phase  JobPhase
		ran    Ran
		// mayRetry is the expectation for an idempotent job, mayRetryOnce for a non-idempotent one.
		mayRetry, mayRetryOnce bool
	}{
		{"refused from the queue", Lifecycle{}, []LifecycleEvent{JobEnded}, JobDone, NotRun, false, false},
		{"hold refused", Lifecycle{}, []LifecycleEvent{HoldSent, HoldRefused}, JobQueued, NotRun, true, true},
		{"cancelled while holding", Lifecycle{}, []LifecycleEvent{HoldSent, JobEnded}, JobDone, NotRun, false, false},
		{"start sent", Lifecycle{}, started, JobStarting, OutcomeUnknown, false, false},
		{"start void", Lifecycle{}, then(started, StopSent, VoidConfirmed), JobQueued, NotRun, true, true},
		{"start stopped", Lifecycle{}, then(started, StopSent, MembersStopped), JobQueued, OutcomeUnknown, true, false},
		{"unknown, then refused", Lifecycle{}, then(started, StopSent, MembersStopped, HoldSent, HoldRefused, JobEnded), JobDone, OutcomeUnknown, false, false},
		{"unknown, then void", Lifecycle{}, then(started, StopSent, MembersStopped, HoldSent, StartSent, StopSent, VoidConfirmed), JobQueued, OutcomeUnknown, true, false},
		{"finished", Lifecycle{}, then(started, StartConfirmed, MembersFinished), JobDone, RanToCompletion, false, false},
		{"finished before the stop", Lifecycle{}, then(started, StartConfirmed, StopSent, MembersFinished), JobDone, RanToCompletion, false, false},
		{"recovered and void", RecoveredLifecycle(1), []LifecycleEvent{StopSent, VoidConfirmed}, JobQueued, NotRun, true, true},
		{"recovered second attempt and void", RecoveredLifecycle(2), []LifecycleEvent{StopSent, VoidConfirmed}, JobQueued, OutcomeUnknown, true, false},
		{"recovered and adopted", RecoveredLifecycle(1), []LifecycleEvent{MembersAdopted}, JobRunning, OutcomeUnknown, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := tt.from
			for _, e := range tt.events {
				if err := l.Apply(e); err != nil {
					t.Fatal(err)
				}
			}
			if l.Phase() != tt.phase || l.Ran() != tt.ran || l.MayRetry(true) != tt.mayRetry || l.MayRetry(false) != tt.mayRetryOnce {
				t.Errorf("phase %v, ran %v, may retry %v (idempotent) and %v (non-idempotent)", l.Phase(), l.Ran(), l.MayRetry(true), l.MayRetry(false))
			}
		})
	}
}

// workersModel simulates the workers of one job and records what they executed.
type workersModel struct {
	workers [3]struct {
		voided, started, finished bool
		// everStarted is set once a member was started in any attempt.
		everStarted, inFlight bool
	}
	starts int
}

func (m *workersModel) all(condition func(voided, started, finished bool) bool) bool {
	for _, w := range m.workers {
		if !condition(w.voided, w.started, w.finished) {
			return false
		}
	}
	return true
}

func (m *workersModel) anyEverStarted() (started bool) {
	for _, w := range m.workers {
		started = started || w.everStarted
	}
	return started
}

// canHappen reports whether the state of the workers allows the event.
func (m *workersModel) canHappen(e LifecycleEvent) bool {
	switch e {
	case StartConfirmed, MembersAdopted:
		return m.all(func(_, started, _ bool) bool { return started })
	case MembersFinished:
		return m.all(func(_, _, finished bool) bool { return finished })
	case VoidConfirmed:
		return m.all(func(voided, started, _ bool) bool { return voided && !started })
	case MembersStopped:
		return m.all(func(voided, _, _ bool) bool { return voided })
	default:
		return true
	}
}

// applyEvent applies the effect of an accepted event on the workers and the messages in flight.
func (m *workersModel) applyEvent(e LifecycleEvent) {
	for i := range m.workers {
		w := &m.workers[i]
		switch e {
		case HoldSent:
			w.voided, w.started, w.finished, w.inFlight = false, false, false, false
		case StartSent:
			w.inFlight = true
		}
	}
}

// step makes one worker receive a start, finish its member or have its token voided.
func (m *workersModel) step(i int, action string) {
	w := &m.workers[i]
	switch {
	case action == "start" && w.inFlight && !w.voided && !w.started:
		w.started, w.everStarted, w.inFlight = true, true, false
		m.starts++
	case action == "finish" && w.started && !w.voided:
		w.finished = true
	case action == "void":
		w.voided = true
	}
}

// Random orders of events and worker steps: Ran must never claim more than the
// workers did, no event follows JobDone, and a non-idempotent member starts at most once.
func TestLifecycleMatchesWorkersInAnyOrder(t *testing.T) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		var l Lifecycle
		var m workersModel
		if rapid.Bool().Draw(t, "recovered") {
			l = RecoveredLifecycle(1)
			m.applyEvent(StartSent)
		}
		t.Repeat(map[string]func(*rapid.T){
			"event": func(t *rapid.T) {
				e := LifecycleEvent(rapid.IntRange(0, int(lifecycleEvents)-1).Draw(t, "event"))
				if !m.canHappen(e) || (e == HoldSent && l.Phase() == JobQueued && !l.MayRetry(idempotent)) {
					return
				}
				before := l
				err := l.Apply(e)
				var invalid *TransitionError
				switch {
				case err == nil && before.Phase() == JobDone:
					t.Fatalf("event %v accepted after the job was done", e)
				case err == nil:
					m.applyEvent(e)
				case !errors.As(err, &invalid) || l != before:
					t.Fatalf("rejected event changed the job or returned another error type: %v", err)
				}
			},
			"worker": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")
				m.step(i, rapid.SampledFrom([]string{"start", "finish", "void"}).Draw(t, "action"))
			},
			"": func(t *rapid.T) {
				if l.Ran() == NotRun && m.anyEverStarted() {
					t.Fatalf("job in phase %v reports not run, but a worker started a member", l.Phase())
				}
				if l.Ran() == RanToCompletion && !m.canHappen(MembersFinished) {
					t.Fatal("job reports ran, but a worker did not finish")
				}
				if !idempotent && m.starts > len(m.workers) {
					t.Fatal("a non-idempotent member was started twice")
				}
			},
		})
		ran := l.Ran()
		for i := range m.workers {
			m.step(i, "start")
		}
		if l.Phase() == JobDone && ran == NotRun && m.anyEverStarted() {
			t.Fatal("a start that was in flight took effect after the job was answered not run")
		}
	})
}

func BenchmarkLifecycleApply(b *testing.B) {
	events := []LifecycleEvent{HoldSent, StartSent, StopSent, VoidConfirmed}
	b.ReportAllocs()
	var l Lifecycle
	for i := 0; b.Loop(); i++ {
		if err := l.Apply(events[i%len(events)]); err != nil {
			b.Fatal(err)
		}
	}
}
