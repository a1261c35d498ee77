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
		// retry and retryOnce are for idempotent and non-idempotent jobs.
		retry, retryOnce bool
	}{
		{"refused from the queue", Lifecycle{}, []LifecycleEvent{JobEnded}, JobDone, NotRun, false, false},
		{"hold refused", Lifecycle{}, []LifecycleEvent{HoldSent, HoldRefused}, JobQueued, NotRun, true, true},
		{"cancelled while holding", Lifecycle{}, []LifecycleEvent{HoldSent, JobEnded}, JobDone, NotRun, false, false},
		{"start sent", Lifecycle{}, started, JobStarting, Unknown, false, false},
		{"start void", Lifecycle{}, then(started, StopSent, VoidConfirmed), JobQueued, NotRun, true, true},
		{"start stopped", Lifecycle{}, then(started, StopSent, MembersStopped), JobQueued, Unknown, true, false},
		{"unknown, then refused", Lifecycle{}, then(started, StopSent, MembersStopped, HoldSent, HoldRefused, JobEnded), JobDone, Unknown, false, false},
		{"unknown, then void", Lifecycle{}, then(started, StopSent, MembersStopped, HoldSent, StartSent, StopSent, VoidConfirmed), JobQueued, Unknown, true, false},
		{"finished", Lifecycle{}, then(started, StartConfirmed, MembersFinished), JobDone, RanWhole, false, false},
		{"finished before the stop", Lifecycle{}, then(started, StartConfirmed, StopSent, MembersFinished), JobDone, RanWhole, false, false},
		{"recovered and void", RecoveredLifecycle(1), []LifecycleEvent{StopSent, VoidConfirmed}, JobQueued, NotRun, true, true},
		{"recovered second attempt and void", RecoveredLifecycle(2), []LifecycleEvent{StopSent, VoidConfirmed}, JobQueued, Unknown, true, false},
		{"recovered and adopted", RecoveredLifecycle(1), []LifecycleEvent{MembersAdopted}, JobRunning, Unknown, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := tt.from
			for _, e := range tt.events {
				if err := l.Apply(e); err != nil {
					t.Fatal(err)
				}
			}
			if l.Phase() != tt.phase || l.Ran() != tt.ran || l.MayRetry(true) != tt.retry || l.MayRetry(false) != tt.retryOnce {
				t.Errorf("%v, %v, retry %v and %v", l.Phase(), l.Ran(), l.MayRetry(true), l.MayRetry(false))
			}
		})
	}
}

// workersModel is what the workers of one job really did.
type workersModel struct {
	workers [3]struct {
		voided, started, finished bool
		// ever is set once a member was started in any attempt.
		ever, inFlight bool
	}
	startsOfAny int
}

func (m *workersModel) all(holds func(voided, started, finished bool) bool) bool {
	for _, w := range m.workers {
		if !holds(w.voided, w.started, w.finished) {
			return false
		}
	}
	return true
}

func (m *workersModel) anyEver() (ever bool) {
	for _, w := range m.workers {
		ever = ever || w.ever
	}
	return ever
}

// canHappen says whether the workers have given the evidence that an event needs.
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

// follow does what an accepted event makes the workers or messages do.
func (m *workersModel) follow(e LifecycleEvent) {
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

// step lets one worker receive a start, finish or become void.
func (m *workersModel) step(i int, action string) {
	w := &m.workers[i]
	switch {
	case action == "start" && w.inFlight && !w.voided && !w.started:
		w.started, w.ever, w.inFlight = true, true, false
		m.startsOfAny++
	case action == "finish" && w.started && !w.voided:
		w.finished = true
	case action == "void":
		w.voided = true
	}
}

func TestLifecycleIsTrueOverAllOrders(t *testing.T) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		var l Lifecycle
		var m workersModel
		if rapid.Bool().Draw(t, "recovered") {
			l = RecoveredLifecycle(1)
			m.follow(StartSent)
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
					t.Fatalf("%v after the end", e)
				case err == nil:
					m.follow(e)
				case !errors.As(err, &invalid) || l != before:
					t.Fatalf("rejected event changed the job: %v", err)
				}
			},
			"worker": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")
				m.step(i, rapid.SampledFrom([]string{"start", "finish", "void"}).Draw(t, "action"))
			},
			"": func(t *rapid.T) {
				if l.Ran() == NotRun && m.anyEver() {
					t.Fatalf("%v job is not run, but a worker started a member", l.Phase())
				}
				if l.Ran() == RanWhole && !m.canHappen(MembersFinished) {
					t.Fatal("job ran whole, but a worker did not finish")
				}
				if !idempotent && m.startsOfAny > len(m.workers) {
					t.Fatal("a non-idempotent member was started twice")
				}
			},
		})
		ran := l.Ran()
		for i := range m.workers {
			m.step(i, "start")
		}
		if l.Phase() == JobDone && ran == NotRun && m.anyEver() {
			t.Fatal("a start that was in flight made the answer not run a lie")
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
