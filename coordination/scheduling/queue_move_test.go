package scheduling_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/scheduling"
	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// queueMove plays one job whose queue is sent to other services. The worker w0 belongs to
// the service render, at which the job is accepted, w1 and w2 to other, w3 to third.
type queueMove struct {
	h       *harness
	planner *scheduling.Scheduler
	job     *workflow.Job
	// left holds the workers that are not registered any more.
	left map[workflow.WorkerID]bool
	// problems holds what must not happen at any time.
	problems []string
}

// acceptedUnder is the version of the configuration under which the job is accepted.
const acceptedUnder = 1

// moveEvent is what happens at a time after the start of the first planner.
type moveEvent struct {
	at time.Duration
	do func(m *queueMove)
}

// sendQueue returns an event by which a version of the configuration sends the queue to a service.
func sendQueue(version int64, service string) func(m *queueMove) {
	return func(m *queueMove) { m.configure(version, workflow.Queue{Name: "render", Service: service}) }
}

// removeQueue returns an event by which a version of the configuration removes the queue.
func removeQueue(version int64) func(m *queueMove) {
	return func(m *queueMove) { m.configure(version) }
}

func (m *queueMove) configure(version int64, queues ...workflow.Queue) {
	m.h.policy = &workflow.Policy{Version: version, Queues: queues}
	m.planner.SetPolicy(m.h.policy)
}

// replacePlanner lets the next planner begin just before the present one ends.
func replacePlanner(m *queueMove) {
	first := m.planner
	m.planner = m.h.startPlanner()
	_ = first.Close()
}

// replacePlannerUnread does so with a planner that has not read a configuration yet.
func replacePlannerUnread(m *queueMove) {
	m.h.policy = nil
	replacePlanner(m)
}

func cancelJob(m *queueMove) {
	m.h.cancelled = append(m.h.cancelled, m.job.ID)
	m.planner.Cancel(m.job.ID)
}

// loseWorker returns an event by which a worker crashes and comes back as another incarnation.
func loseWorker(id int) func(m *queueMove) {
	return func(m *queueMove) {
		w := worker(id, 2)
		w.Service = serviceOfWorker(w.ID)
		m.h.fleet.Add(w)
	}
}

// leave returns an event by which a worker that runs nothing leaves, join one by which it is back.
func leave(id workflow.WorkerID) func(m *queueMove) {
	return func(m *queueMove) { m.left[id] = true }
}

func join(id workflow.WorkerID) func(m *queueMove) {
	return func(m *queueMove) { delete(m.left, id) }
}

// replacePlannerKnowing returns an event by which the next planner begins with an older version
// of the configuration, which sends the queue to a service.
func replacePlannerKnowing(version int64, service string) func(m *queueMove) {
	return func(m *queueMove) {
		m.h.policy = &workflow.Policy{Version: version, Queues: []workflow.Queue{{Name: "render", Service: service}}}
		replacePlanner(m)
	}
}

func storeAway(away bool) func(m *queueMove) {
	return func(m *queueMove) {
		m.h.store.mu.Lock()
		defer m.h.store.mu.Unlock()
		m.h.store.unavailable = away
	}
}

func serviceOfWorker(id workflow.WorkerID) string {
	return map[workflow.WorkerID]string{"w0": "render", "w1": "other", "w2": "other", "w3": "third"}[id]
}

// runs describes the runs of the job: the step, the index, the service and the outcome, which
// is "runs" for one that has not ended.
func (m *queueMove) runs() (list []string) {
	for _, r := range m.h.fleet.Runs() {
		if r.Task.Job == m.job.ID {
			outcome := string(r.Outcome)
			if r.Ended.IsZero() {
				outcome = "runs"
			}
			list = append(list, fmt.Sprintf("%d.%d %s %s", r.Task.Step, r.Task.Index, serviceOfWorker(r.Worker), outcome))
		}
	}
	slices.Sort(list)
	return list
}

// starts returns how often the tasks of another job were started.
func (m *queueMove) starts(id int) (count int) {
	for _, r := range m.h.fleet.Runs() {
		if r.Task.Job == workflow.ID(fmt.Sprintf("%016x", id)) {
			count++
		}
	}
	return count
}

// check notes whether the job counts among the waiting ones at several services or at none.
func (m *queueMove) check(at time.Duration) {
	pending := m.planner.Pending()["render"]
	waits := len(m.runs()) == 0 && len(m.h.cancelled) == 0
	if pending > 1 || waits && pending == 0 {
		m.problems = append(m.problems, fmt.Sprintf("%v: %d jobs wait, while nothing has started: %v", at, pending, waits))
	}
}

// play runs the events and relists the workers until the end.
func (m *queueMove) play(events []moveEvent, until time.Duration) {
	m.planner = m.h.startPlanner()
	const interval = 500 * time.Millisecond
	for at := time.Duration(0); at < until; at += interval {
		for _, e := range events {
			if e.at == at {
				e.do(m)
			}
		}
		workers := slices.DeleteFunc(m.h.fleet.Workers(), func(w workflow.Worker) bool { return m.left[w.ID] })
		m.planner.SetWorkers(workers, time.Now())
		m.check(at)
		time.Sleep(interval)
	}
	_ = m.planner.Close()
}

// stayingID is the job of a queue that does not move.
const stayingID = 99

// newQueueMove returns a play with the job beside a task that lasts and holds some of the
// accelerators of w0.
func newQueueMove(moved *workflow.Job, held int) *queueMove {
	h := newHarness(1)
	for i := 1; i <= 3; i++ {
		w := worker(i, 1)
		w.Service = serviceOfWorker(w.ID)
		h.fleet.Add(w)
	}
	h.fleet.RunTime = func(task workflow.Task, _ int, _ workflow.WorkerID) time.Duration {
		if h.step(task).LongRunning {
			return time.Hour
		}
		return 3 * time.Second
	}
	if held > 0 {
		staying := job(stayingID, workflow.Step{Tasks: 1, Accelerators: held, LongRunning: true, Estimate: time.Hour})
		staying.Queue = "staying"
		h.addJob(staying)
	}
	h.addJob(moved)
	return &queueMove{h: h, job: moved, left: make(map[workflow.WorkerID]bool)}
}

// TestQueueMove sends the queue of accepted work to other services. It guards against work
// that stays with a service which its queue has left, as in review/11 (LOST), and against
// work that runs twice, is stopped or is counted twice because of the move.
func TestQueueMove(t *testing.T) {
	two := workflow.Step{Tasks: 2, Accelerators: 4, Estimate: 3 * time.Second}
	four := workflow.Step{Tasks: 4, Accelerators: 4, Estimate: 3 * time.Second}
	gang := workflow.Step{Tasks: 4, Accelerators: 4, Estimate: 3 * time.Second, Gang: true}
	lasting := workflow.Step{Tasks: 3, Accelerators: 2, Estimate: time.Hour, LongRunning: true}
	second := workflow.Step{Tasks: 1, Accelerators: 4, Estimate: 3 * time.Second, After: []int{0}}
	const s = time.Second
	// betweenRounds is no multiple of the 200 ms between two rounds of a planner, so that no
	// round falls between two events at that time.
	const betweenRounds = 1500 * time.Millisecond
	tests := []struct {
		name  string
		steps []workflow.Step
		// held is how many of the 8 accelerators of its first service other work holds.
		held   int
		events []moveEvent
		want   string
		// failing is set if the first attempt of each task fails, timed if the steps run twice,
		// the second time after 6 s.
		failing, timed bool
	}{
		{name: "it stays", steps: []workflow.Step{two}, want: "0.0 render done, 0.1 render done"},
		{name: "it waits", steps: []workflow.Step{two}, held: 8, events: []moveEvent{{2 * s, sendQueue(2, "other")}}, want: "0.0 other done, 0.1 other done"},
		{
			name: "a gang waits", steps: []workflow.Step{gang}, held: 8,
			events: []moveEvent{{2 * s, sendQueue(2, "other")}},
			want:   "0.0 other done, 0.1 other done, 0.2 other done, 0.3 other done",
		},
		{
			name: "it waits, there and back", steps: []workflow.Step{two}, held: 8,
			events: []moveEvent{
				{2 * s, sendQueue(2, "empty")}, {3 * s, sendQueue(3, "render")}, {4 * s, sendQueue(4, "other")},
			},
			want: "0.0 other done, 0.1 other done",
		},
		{
			name: "the service that it waits for is taken away", steps: []workflow.Step{two}, held: 8,
			events: []moveEvent{
				{2 * s, sendQueue(2, "other")}, {2 * s, leave("w0")},
			},
			want: "0.0 other done, 0.1 other done",
		},
		{name: "the queue is removed", steps: []workflow.Step{two}, events: []moveEvent{{0, removeQueue(2)}}, want: "0.0 render done, 0.1 render done"},
		{
			name: "the queue is removed and comes back elsewhere", steps: []workflow.Step{two}, held: 8,
			events: []moveEvent{
				{2 * s, removeQueue(2)}, {4 * s, sendQueue(3, "other")},
			},
			want: "0.0 other done, 0.1 other done",
		},
		{
			name: "an older version comes after a newer one", steps: []workflow.Step{two}, held: 8,
			events: []moveEvent{
				{2 * s, sendQueue(3, "other")}, {2 * s, sendQueue(2, "empty")},
			},
			want: "0.0 other done, 0.1 other done",
		},
		{
			name: "the planner has an older version than the entry that accepted it", steps: []workflow.Step{two},
			events: []moveEvent{
				{0, sendQueue(acceptedUnder-1, "empty")},
			},
			want: "0.0 render done, 0.1 render done",
		},
		{name: "a queue without a service", steps: []workflow.Step{two}, events: []moveEvent{{0, sendQueue(2, "")}}, want: "0.0 render done, 0.1 render done"},
		{name: "it runs", steps: []workflow.Step{two}, events: []moveEvent{{2 * s, sendQueue(2, "other")}}, want: "0.0 render done, 0.1 render done"},
		{
			name: "a gang runs", steps: []workflow.Step{{Tasks: 2, Accelerators: 4, Gang: true}},
			events: []moveEvent{{2 * s, sendQueue(2, "other")}},
			want:   "0.0 render done, 0.1 render done",
		},
		{
			name: "it runs, there and back within a round", steps: []workflow.Step{four},
			events: []moveEvent{
				{betweenRounds, sendQueue(2, "other")}, {betweenRounds, sendQueue(3, "render")},
			},
			want: "0.0 render done, 0.1 render done, 0.2 render done, 0.3 render done",
		},
		{
			name: "it runs, there and back", steps: []workflow.Step{four},
			events: []moveEvent{
				{betweenRounds, sendQueue(2, "other")}, {2 * s, sendQueue(3, "render")},
			},
			want: "0.0 render done, 0.1 render done, 0.2 other done, 0.3 other done",
		},
		{
			name: "a part runs", steps: []workflow.Step{four},
			events: []moveEvent{{2 * s, sendQueue(2, "other")}},
			want:   "0.0 render done, 0.1 render done, 0.2 other done, 0.3 other done",
		},
		{
			name: "a part runs, at three services", steps: []workflow.Step{{Tasks: 7, Accelerators: 4}},
			events: []moveEvent{
				{s, sendQueue(2, "other")}, {2 * s, sendQueue(3, "third")},
			},
			want: "0.0 render done, 0.1 render done, 0.2 other done, 0.3 other done, 0.4 other done, 0.5 other done, 0.6 third done",
		},
		{
			name: "the step before runs", steps: []workflow.Step{two, second},
			events: []moveEvent{{2 * s, sendQueue(2, "other")}},
			want:   "0.0 render done, 0.1 render done, 1.0 other done",
		},
		{
			name: "the step before has run", steps: []workflow.Step{two, {Tasks: 4, Accelerators: 4, After: []int{0}}},
			events: []moveEvent{{5 * s, sendQueue(2, "other")}},
			want:   "0.0 render done, 0.1 render done, 1.0 render done, 1.1 render done, 1.2 other done, 1.3 other done",
		},
		{
			name: "a task that lasts is lost", steps: []workflow.Step{lasting},
			events: []moveEvent{{2 * s, sendQueue(2, "other")}, {4 * s, loseWorker(0)}},
			want:   "0.0 other runs, 0.0 render lost, 0.1 other runs, 0.1 render lost, 0.2 other runs, 0.2 render lost",
		},
		{
			name: "it is cancelled while it waits", steps: []workflow.Step{two}, held: 8,
			events: []moveEvent{{2 * s, sendQueue(2, "empty")}, {3 * s, cancelJob}, {4 * s, sendQueue(3, "other")}},
			want:   "",
		},
		{
			name: "it is cancelled before its queue moves", steps: []workflow.Step{two}, held: 8,
			events: []moveEvent{{2 * s, cancelJob}, {2 * s, sendQueue(2, "other")}},
			want:   "",
		},
		{
			name: "it is cancelled while a part runs", steps: []workflow.Step{four},
			events: []moveEvent{{2 * s, sendQueue(2, "empty")}, {2500 * time.Millisecond, cancelJob}, {3 * s, sendQueue(3, "other")}},
			want:   "0.0 render stopped, 0.1 render stopped",
		},
		{
			name: "the planner is replaced after it", steps: []workflow.Step{two}, held: 8,
			events: []moveEvent{{2 * s, sendQueue(2, "empty")}, {3 * s, replacePlanner}, {5 * s, sendQueue(3, "other")}},
			want:   "0.0 other done, 0.1 other done",
		},
		{
			name: "the next planner reads the version late", steps: []workflow.Step{two}, held: 8,
			events: []moveEvent{{2 * s, replacePlannerUnread}, {4 * s, sendQueue(2, "other")}},
			want:   "0.0 other done, 0.1 other done",
		},
		{
			name: "it waits, its queue is removed, and the planner is replaced", steps: []workflow.Step{two}, held: 8,
			events: []moveEvent{
				{0, leave("w3")}, {2 * s, sendQueue(2, "third")}, {3 * s, removeQueue(3)}, {4 * s, replacePlanner}, {6 * s, join("w3")},
			},
			want: "0.0 third done, 0.1 third done",
		},
		{
			name: "the next planner has an older version", steps: []workflow.Step{two}, held: 8,
			events: []moveEvent{
				{0, leave("w3")}, {2 * s, sendQueue(3, "third")}, {3 * s, replacePlannerKnowing(2, "other")}, {6 * s, join("w3")},
			},
			want: "0.0 third done, 0.1 third done",
		},
		{
			name: "the next planner has an older version, after it went there and back", steps: []workflow.Step{four},
			events: []moveEvent{
				{betweenRounds, sendQueue(2, "other")}, {betweenRounds, sendQueue(3, "render")}, {2 * s, replacePlannerKnowing(2, "other")},
			},
			want: "0.0 render done, 0.1 render done, 0.2 render done, 0.3 render done",
		},
		{
			name: "the planner is replaced while it runs", steps: []workflow.Step{two},
			events: []moveEvent{{s, sendQueue(2, "other")}, {2 * s, replacePlanner}},
			want:   "0.0 render done, 0.1 render done",
		},
		{
			name: "the planner is replaced while a part runs", steps: []workflow.Step{four},
			events: []moveEvent{{s, sendQueue(2, "other")}, {s, replacePlanner}},
			want:   "0.0 render done, 0.1 render done, 0.2 other done, 0.3 other done",
		},
		{
			name: "two planners are replaced while it runs at two services", steps: []workflow.Step{{Tasks: 7, Accelerators: 4}},
			events: []moveEvent{
				{s, sendQueue(2, "other")}, {2 * s, replacePlanner}, {2500 * time.Millisecond, sendQueue(3, "third")}, {2500 * time.Millisecond, replacePlanner},
			},
			want: "0.0 render done, 0.1 render done, 0.2 other done, 0.3 other done, 0.4 other done, 0.5 other done, 0.6 third done",
		},
		{
			name: "the next planner reads the version late while a part runs", steps: []workflow.Step{four},
			events: []moveEvent{
				{s, sendQueue(2, "other")}, {s, replacePlannerUnread}, {2 * s, sendQueue(2, "other")},
			},
			want: "0.0 render done, 0.1 render done, 0.2 other done, 0.3 other done",
		},
		{
			name: "the store is away", steps: []workflow.Step{two}, held: 8,
			events: []moveEvent{{s, storeAway(true)}, {2 * s, sendQueue(2, "other")}, {4 * s, storeAway(false)}},
			want:   "0.0 other done, 0.1 other done",
		},
		{
			name: "the store is away before the start", steps: []workflow.Step{two},
			events: []moveEvent{{0, storeAway(true)}, {s, sendQueue(2, "other")}, {2 * s, storeAway(false)}},
			want:   "0.0 render done, 0.1 render done",
		},
		{
			name: "the planner is replaced, and other work runs on the same worker", steps: []workflow.Step{{Tasks: 1, Accelerators: 4}}, held: 4,
			events: []moveEvent{
				{s, sendQueue(2, "other")}, {2 * s, replacePlanner},
			},
			want: "0.0 render done",
		},
		{
			name: "the store is away while a part runs", steps: []workflow.Step{four},
			events: []moveEvent{{s, storeAway(true)}, {2 * s, sendQueue(2, "other")}, {5 * s, storeAway(false)}},
			want:   "0.0 render done, 0.1 render done, 0.2 other done, 0.3 other done",
		},
		{
			name: "an attempt fails", steps: []workflow.Step{two},
			events:  []moveEvent{{2 * s, sendQueue(2, "other")}},
			want:    "0.0 other done, 0.0 render failed, 0.1 other done, 0.1 render failed",
			failing: true,
		},
		{
			name: "a timed job between its occurrences", steps: []workflow.Step{{Tasks: 1, Accelerators: 4}},
			events: []moveEvent{{4 * s, sendQueue(2, "other")}},
			want:   "0.0 other done, 0.0 render done",
			timed:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				moved := job(1, workflow.Step{})
				moved.Steps, moved.Stretch, moved.StartAllowance = slices.Clone(test.steps), 0, 0 // late work leaves no room free
				moved.PolicyVersion = acceptedUnder
				if test.timed {
					moved.Occurrences, moved.FirstStart, moved.Interval = 2, time.Now(), 6*time.Second
				}
				m := newQueueMove(moved, test.held)
				m.h.fleet.Outcome = func(_ workflow.Task, attempt int, _ workflow.WorkerID) workflow.Outcome {
					if test.failing && attempt == 1 {
						return workflow.Faulted
					}
					return workflow.Done
				}
				m.play(test.events, 25*time.Second)
				if got := strings.Join(m.runs(), ", "); got != test.want {
					t.Errorf("runs %q, want %q", got, test.want)
				}
				if !strings.Contains(test.want, "render") && m.h.counted("poolsMerged") > 0 {
					t.Error("pools were merged for a job that has never run")
				}
				if starts := m.starts(stayingID); starts != min(test.held, 1) {
					t.Errorf("the job whose queue stays was started %d times", starts)
				}
				m.problems = append(m.problems, runner.Violations(m.h.fleet.Runs(), moved.MaxAttempts)...)
				for _, problem := range m.problems {
					t.Error(problem)
				}
				if stopped := m.h.counted("strangerStopped"); stopped > 0 {
					t.Errorf("%d runs were stopped as unknown", stopped)
				}
			})
		})
	}
}
