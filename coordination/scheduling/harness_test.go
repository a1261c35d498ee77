package scheduling_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// ledger keeps progress as the store does: for one term at a time, each record
// under the condition of its revision.
type ledger struct {
	mu       sync.Mutex
	term     scheduling.Term
	revision keyvalue.Revision
	records  map[workflow.ID]scheduling.Save
	// away has every save fail.
	away bool
}

func (l *ledger) save(term scheduling.Term, saves []scheduling.Save) ([]keyvalue.Revision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		return nil, scheduling.ErrTermEnded
	}
	if l.away {
		return nil, context.DeadlineExceeded
	}
	revisions := make([]keyvalue.Revision, 0, len(saves))
	for _, s := range saves {
		if l.records[s.Job].Revision != s.Revision {
			return revisions, fmt.Errorf("job %s: revision %d, not %d", s.Job, l.records[s.Job].Revision, s.Revision)
		}
		l.revision++
		s.Revision = l.revision
		l.records[s.Job] = s
		revisions = append(revisions, l.revision)
	}
	return revisions, nil
}

func (l *ledger) status(id workflow.ID) workflow.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[id].Progress.Status
}

// harness runs planners one after another over the same workers and record.
type harness struct {
	ledger *ledger
	fleet  *runner.Fleet
	// mu guards jobs, which workers' threads read.
	mu         sync.Mutex
	jobs       []*workflow.Job
	cancelled  []workflow.ID
	guaranteed int
}

func newHarness(workers int) *harness {
	h := &harness{
		ledger: &ledger{records: make(map[workflow.ID]scheduling.Save), revision: 1},
		fleet:  runner.New(),
	}
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

// add adds a job for the planners to come.
func (h *harness) add(j *workflow.Job) {
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

// worker is one of 8 accelerators; three make a rack.
func worker(i int, life workflow.Incarnation) workflow.Worker {
	return workflow.Worker{
		ID: workflow.WorkerID(fmt.Sprintf("w%d", i)), Life: life, Service: "render",
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7070),
		Capacity: workflow.Capacity{Cores: 32000, MemoryMiB: 64 << 10, Accelerators: 8},
		Labels:   []string{"a", fmt.Sprintf("rack-%d", i/3)},
	}
}

// plan begins a term with all that is on record.
func (h *harness) plan() *scheduling.Scheduler {
	h.ledger.mu.Lock()
	h.ledger.term++
	term := h.ledger.term
	records := make(map[workflow.ID]scheduling.Save, len(h.ledger.records))
	for id, r := range h.ledger.records {
		records[id] = r
	}
	h.ledger.mu.Unlock()
	s := &scheduling.Scheduler{
		Term: term, Now: time.Now, Wall: time.Now, Workers: h.fleet.Calls(),
		Bounds: scheduling.Bounds{
			LeaseLimit: h.fleet.LeaseLimit, StopLimit: 900 * time.Millisecond,
			ReclaimLimit: 3400 * time.Millisecond, FarFactor: 3, Overlap: 2 * time.Second,
		},
		Authorised: func() bool { return true },
		Save: func(_ context.Context, saves []scheduling.Save) ([]keyvalue.Revision, error) {
			return h.ledger.save(term, saves)
		},
		Guarantee: func(string) int { return h.guaranteed },
		Ended:     func() {},
		Count:     func(string) {},
		Log:       zerolog.Nop(),
	}
	s.Open()
	for _, j := range h.jobs {
		s.Load(j, records[j.ID].Progress, records[j.ID].Revision)
	}
	for _, id := range h.cancelled {
		s.Cancel(id)
	}
	s.SetWorkers(h.fleet.Workers())
	return s
}

// job is a job of one step.
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
