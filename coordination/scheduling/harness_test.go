package scheduling_test

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/interference"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
	"comfreystream/standin/runner"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// memoryStore stores progress in memory under the store's rules: it accepts saves
// of the current term only, and each only if the record's revision is the expected
// one.
type memoryStore struct {
	mu       sync.Mutex
	term     scheduling.Term
	revision keyvalue.Revision
	records  map[recordKey]scheduling.ProgressUpdate
	// unavailable makes every save fail.
	unavailable bool
	// refused holds the jobs whose record 0 is not accepted. Records that come with it
	// fail too, as those of jobstore.Store do.
	refused map[workflow.ID]bool
	// early counts the records that were saved before the job's record 0.
	early int
}

// recordKey identifies a record of a job's progress.
type recordKey struct {
	job    workflow.ID
	number int
}

func (m *memoryStore) save(term scheduling.Term, updates []scheduling.ProgressUpdate) (results []scheduling.SaveResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	refusedNow := make(map[workflow.ID]bool)
	for _, update := range updates {
		key := recordKey{update.Job, update.Record}
		result := scheduling.SaveResult{Revision: update.Revision}
		switch {
		case m.term != term:
			result.Err = scheduling.ErrTermEnded
		case m.unavailable:
			result.Err = context.DeadlineExceeded
		case m.refused[update.Job] && update.Record == 0 || refusedNow[update.Job]:
			refusedNow[update.Job] = true
			result.Err = state.NewStepError("save", netip.AddrPort{}, state.BadRequest, nil)
		case m.records[key].Revision != update.Revision:
			result.Err = fmt.Errorf("job %s: revision %d, not %d", update.Job, m.records[key].Revision, update.Revision)
			result.Revision = m.records[key].Revision
		default:
			m.revision++
			result.Revision, update.Revision = m.revision, m.revision
			m.records[key] = update
			if m.records[recordKey{update.Job, 0}].Revision == 0 {
				m.early++
			}
		}
		results = append(results, result)
	}
	return results
}

// failures returns the failures of a job's gang or single task.
func (m *memoryStore) failures(id workflow.ID) (count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, r := range m.records {
		if key.job != id {
			continue
		}
		for _, g := range r.Progress.Groups {
			count += g.Failures
		}
	}
	return count
}

func (m *memoryStore) status(id workflow.ID) workflow.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.records[recordKey{id, 0}].Progress.Status
}

// harness runs successive planners against the same workers and the same store.
type harness struct {
	store *memoryStore
	fleet *runner.Fleet
	// mu guards jobs, which the workers' goroutines read.
	mu         sync.Mutex
	jobs       []*workflow.Job
	cancelled  []workflow.ID
	guaranteed int
	// evacuated holds the zones that are evacuated when a planner begins.
	evacuated map[string]bool
	// unread leaves it to the test to set the evacuated zones, evacuationAge bounds how
	// old they may be.
	unread        bool
	evacuationAge time.Duration
	// policy is the configuration with which planners begin; nil is none.
	policy *workflow.Policy
	// restored is a record of pairs that planners begin with; nil is none.
	restored *interference.Record
	// last is the planner of runWaves, which is closed.
	last *scheduling.Scheduler
	// cores is how many processor cores the planner may use.
	cores float64
	// answer returns how the store answers the next change; nil answers at once.
	answer func() storeAnswer
	// saving holds the jobs in saves without an answer, by planner.
	saving map[savedJob]bool
	// problems holds what must not happen: ends that were acknowledged before their
	// effect was stored, and jobs in two saves at a time.
	problems []string
	// changes counts the changes of the store.
	changes int
	// calls are the calls to the workers, and counts the counted events.
	calls  scheduling.WorkerCalls
	counts map[string]int
	// log takes the planners' lines.
	log zerolog.Logger
}

// counted returns how often an event was counted.
func (h *harness) counted(event string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[event]
}

func newHarness(workers int) *harness {
	h := &harness{
		store: &memoryStore{records: make(map[recordKey]scheduling.ProgressUpdate), revision: 1},
		fleet: runner.New(), log: zerolog.Nop(), counts: make(map[string]int), saving: make(map[savedJob]bool),
	}
	h.calls = h.fleet.Calls()
	for i := range workers {
		h.fleet.Add(worker(i, 1))
	}
	h.fleet.GangSize = func(task workflow.Task) int {
		if step := h.step(task); step.Gang {
			return step.Tasks
		}
		return 1
	}
	return h
}

// addJob adds a job, which planners load when they start.
func (h *harness) addJob(j *workflow.Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs = append(h.jobs, j)
}

// step returns the step that a task belongs to.
func (h *harness) step(task workflow.Task) workflow.Step {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, j := range h.jobs {
		if j.ID == task.Job {
			return j.Steps[task.Step]
		}
	}
	return workflow.Step{}
}

// worker returns worker i, which has 8 accelerators. Three workers share a rack.
func worker(i int, incarnation workflow.Incarnation) workflow.Worker {
	return workflow.Worker{
		ID: workflow.WorkerID(fmt.Sprintf("w%d", i)), Incarnation: incarnation, Service: "render",
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7070),
		Capacity: workflow.Capacity{Cores: 32000, MemoryMiB: 64 << 10, Accelerators: 8},
		Labels:   []string{"a", fmt.Sprintf("rack-%d", i/3)},
	}
}

// startPlanner begins a term: it loads all jobs with their stored progress.
func (h *harness) startPlanner() *scheduling.Scheduler {
	h.store.mu.Lock()
	h.store.term++
	term := h.store.term
	records := maps.Clone(h.store.records)
	h.store.mu.Unlock()
	s := &scheduling.Scheduler{
		Term: term, Cores: h.cores, Now: time.Now, WallClock: time.Now, Workers: h.checkedCalls(),
		Bounds: scheduling.Bounds{
			LeaseLimit: h.fleet.LeaseLimit, StopLimit: 900 * time.Millisecond,
			ReclaimLimit: 3400 * time.Millisecond, FarFactor: 3, Overlap: 2 * time.Second,
			EvacuationAge: h.evacuationAge,
		},
		Authorised: func() bool { return true },
		Save: func(_ context.Context, updates []scheduling.ProgressUpdate) []scheduling.SaveResult {
			return h.save(term, updates)
		},
		Guarantee:   func(string) int { return h.guaranteed },
		OnTermEnded: func() {},
		Count: func(event string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.counts[event]++
		},
		ObserveRound: func(time.Duration) {}, Log: h.log,
	}
	s.Open()
	if h.restored != nil {
		if err := s.RestoreInterference(*h.restored); err != nil {
			panic(err) // a mistake in the test
		}
	}
	if h.policy != nil {
		s.SetPolicy(h.policy)
	}
	for _, j := range h.jobs {
		progress := workflow.Progress{Groups: make(map[workflow.GroupID]workflow.Group)}
		revisions := make(map[int]keyvalue.Revision)
		for key, r := range records {
			if key.job == j.ID {
				progress.Status, progress.Routing = cmp.Or(progress.Status, r.Progress.Status), cmp.Or(progress.Routing, r.Progress.Routing)
				maps.Copy(progress.Groups, r.Progress.Groups)
				revisions[key.number] = r.Revision
			}
		}
		s.Load(j, progress, revisions)
	}
	for _, id := range h.cancelled {
		s.Cancel(id)
	}
	if !h.unread {
		s.SetEvacuated(h.evacuated, 1)
	}
	s.SetWorkers(h.fleet.Workers(), time.Now())
	return s
}

// storeAnswer is how the store answers one change.
type storeAnswer struct {
	// after is when the change is carried out, answer the time from then on until the
	// answer arrives.
	after, answer time.Duration
	lost          bool
	// refusal, if not nil, is the answer, and nothing is changed.
	refusal error
}

// answerLimit is how long a planner waits for an answer, as in jobstore.Store.
const answerLimit = time.Second

// savedJob is a job in a save of a planner.
type savedJob struct {
	term scheduling.Term
	job  workflow.ID
}

// save stores the updates, one change after the other.
func (h *harness) save(term scheduling.Term, updates []scheduling.ProgressUpdate) (results []scheduling.SaveResult) {
	defer h.noteSaving(term, updates)()
	for change := range slices.Chunk(updates, scheduling.RecordsPerChange) {
		h.mu.Lock()
		h.changes++
		answer := storeAnswer{}
		if h.answer != nil {
			answer = h.answer()
		}
		h.mu.Unlock()
		results = append(results, h.commit(term, change, answer)...)
	}
	return results
}

// noteSaving notes the jobs in a save until done is called.
func (h *harness) noteSaving(term scheduling.Term, updates []scheduling.ProgressUpdate) (done func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	jobs := make(map[savedJob]bool)
	for _, update := range updates {
		jobs[savedJob{term, update.Job}] = true
	}
	for j := range jobs {
		if h.saving[j] {
			h.problems = append(h.problems, fmt.Sprintf("job %s is in two saves at a time", j.job))
		}
		h.saving[j] = true
	}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for j := range jobs {
			delete(h.saving, j)
		}
	}
}

func (h *harness) commit(term scheduling.Term, change []scheduling.ProgressUpdate, answer storeAnswer) []scheduling.SaveResult {
	failed := func(err error) (results []scheduling.SaveResult) {
		for _, update := range change {
			results = append(results, scheduling.SaveResult{Revision: update.Revision, Err: err})
		}
		return results
	}
	switch {
	case answer.refusal != nil:
		time.Sleep(answer.answer)
		return failed(answer.refusal)
	case answer.lost:
		time.AfterFunc(answer.after, func() { h.store.save(term, change) })
		time.Sleep(answerLimit)
		return failed(context.DeadlineExceeded)
	}
	time.Sleep(answer.after)
	results := h.store.save(term, change)
	time.Sleep(answer.answer)
	return results
}

// job returns a job of one step.
func job(id int, step workflow.Step) *workflow.Job {
	step.Cores, step.MemoryMiB = 1000, 1024
	if step.Estimate == 0 {
		step.Estimate = time.Second
	}
	return &workflow.Job{
		ID: workflow.ID(fmt.Sprintf("%016x", id)), Queue: "render", Service: "render", Organisation: "andina",
		Priority: 1, MaxAttempts: 2, Stretch: 3, StartAllowance: time.Second, Spec: "spec",
		Steps: []workflow.Step{step}, Accepted: time.Now(),
	}
}
