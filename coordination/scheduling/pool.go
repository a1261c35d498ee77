package scheduling

import (
	"sync"
	"time"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

// pool is the shard of one service: its jobs and its workers.
type pool struct {
	scheduler *Scheduler
	service   string
	// planDue and saveDue hold a value while a round or a save is due.
	planDue chan struct{}
	saveDue chan struct{}

	mu      sync.Mutex
	jobs    map[workflow.ID]*job
	workers map[workflow.WorkerID]*worker
	dirty   map[*job]struct{}
	// meanWork is the mean core-seconds of a job, by queue.
	meanWork map[string]float64
	room     roundRoom
	agenda   agenda
}

// job is a job with its progress; the pool's lock guards it.
type job struct {
	*workflow.Job
	received time.Time
	status   workflow.Status
	revision keyvalue.Revision
	groups   map[workflow.GroupID]*group
	// doneGroups counts the groups done, by occurrence and step.
	doneGroups map[[2]int]int
	// opened tells which steps have their groups, by occurrence and step.
	opened map[[2]int]bool
	// objective is the time from acceptance in which it should complete.
	objective time.Duration
	// ended is when the job came to its last state.
	ended time.Time
	// dirtied counts the changes that are to be put on record.
	dirtied int
}

// phase is how far a group's present attempt has come.
type phase uint8

const (
	waiting phase = iota
	// saving: the attempt is not on record yet.
	saving
	// placed: the attempt is on record; members may run.
	placed
	// stopping: members are being stopped.
	stopping
	finished
)

// group is a gang or a single task.
type group struct {
	id       workflow.GroupID
	job      *job
	step     *workflow.Step
	phase    phase
	attempt  int
	members  []*member
	failures int
	// failedAttempt is the newest attempt that is counted in failures.
	failedAttempt int
	checkpoint    string
	waitingSince  time.Time
	placedAt      time.Time
	// avoid holds the workers on which the group failed.
	avoid map[workflow.WorkerID]bool
	// victims are the groups that must end before the members start.
	victims []victim
	ordered bool
	// done is set once an attempt has ended as done.
	done bool
}

func newPool(s *Scheduler, service string) *pool {
	return &pool{
		scheduler: s, service: service,
		planDue: make(chan struct{}, 1), saveDue: make(chan struct{}, 1),
		jobs:     make(map[workflow.ID]*job),
		workers:  make(map[workflow.WorkerID]*worker),
		dirty:    make(map[*job]struct{}),
		meanWork: make(map[string]float64),
		agenda:   newAgenda(),
	}
}

func (p *pool) load(w *workflow.Job, progress workflow.Progress, revision keyvalue.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.jobs[w.ID]; known {
		return
	}
	j := &job{
		Job: w, received: p.receivedAt(w.Accepted), status: workflow.Queued, revision: revision,
		groups:     make(map[workflow.GroupID]*group),
		doneGroups: make(map[[2]int]int),
		opened:     make(map[[2]int]bool),
		objective:  w.Objective(),
	}
	if progress.Status != "" {
		j.status, j.ended = progress.Status, p.scheduler.Now()
	}
	p.jobs[w.ID] = j
	if j.Occurrences > 0 && !j.status.Final() {
		p.agenda.timed[j] = struct{}{}
	}
	p.noteWork(j)
	for id, record := range progress.Groups {
		p.restore(j, id, record)
	}
	p.openSteps(j)
	signal(p.planDue)
}

// longestWait bounds what a jump of the time of day can add to a job's age.
const longestWait = 10 * time.Minute

// receivedAt turns the time of day of an acceptance, perhaps by another
// instance in another term, into a time of the steady clock.
func (p *pool) receivedAt(accepted time.Time) time.Time {
	age := p.scheduler.Wall().Sub(accepted)
	return p.scheduler.Now().Add(-min(max(age, 0), longestWait))
}

// restore takes a group from the record; its members count as running until
// their workers have been heard or their leases have surely run out.
func (p *pool) restore(j *job, id workflow.GroupID, record workflow.Group) {
	g := p.addGroup(j, id)
	g.attempt, g.checkpoint = record.Attempt, record.Checkpoint
	g.failures, g.failedAttempt = record.Failures, record.FailedAttempt
	if record.Done {
		p.settle(g)
		g.done = true
		j.doneGroups[[2]int{id.Occurrence, id.Step}]++
		return
	}
	tasks := j.Members(id)
	if len(record.Placed) != len(tasks) {
		return
	}
	g.phase, g.ordered, g.placedAt = placed, true, p.scheduler.Now()
	p.agenda.watch(g)
	for i, at := range record.Placed {
		p.assign(g, tasks[i], p.workerNamed(at.Worker), at.Life).phase = recovering
	}
	if j.status.Final() {
		p.stopGroup(g, reasonCancelled)
	}
}

func (p *pool) addGroup(j *job, id workflow.GroupID) *group {
	g := &group{id: id, job: j, step: &j.Steps[id.Step], waitingSince: p.scheduler.Now()}
	j.groups[id] = g
	p.agenda.decide(g)
	return g
}

// openSteps adds the groups of every step whose turn has come.
func (p *pool) openSteps(j *job) {
	if j.status.Final() {
		return
	}
	now := p.scheduler.Wall()
	for occurrence := range j.Runs() {
		if j.Due(occurrence).After(now) {
			break
		}
		for step := range j.Steps {
			key := [2]int{occurrence, step}
			if j.opened[key] || !j.stepsDone(occurrence, j.Steps[step].After) {
				continue
			}
			j.opened[key] = true
			for _, id := range j.GroupsOf(occurrence, step) {
				if j.groups[id] == nil {
					p.addGroup(j, id)
				}
			}
		}
	}
}

func (j *job) stepsDone(occurrence int, steps []int) bool {
	for _, step := range steps {
		if !j.stepDone(occurrence, step) {
			return false
		}
	}
	return true
}

func (j *job) stepDone(occurrence, step int) bool {
	want := j.Steps[step].Tasks
	if j.Steps[step].Gang {
		want = 1
	}
	return j.doneGroups[[2]int{occurrence, step}] >= want
}

func (j *job) allDone() bool {
	for occurrence := range j.Runs() {
		for step := range j.Steps {
			if !j.stepDone(occurrence, step) {
				return false
			}
		}
	}
	return true
}

// due is when the group's occurrence should be completed, by the steady clock.
func (g *group) due() time.Time {
	j := g.job
	due := j.received.Add(j.objective)
	if j.Occurrences > 0 {
		due = due.Add(max(j.Due(g.id.Occurrence).Sub(j.Accepted), 0))
	}
	return due
}

// slack is how long the group can wait and, started then, still be in time.
func (g *group) slack(now time.Time) time.Duration { return g.due().Sub(now) - g.step.Estimate }

func (p *pool) cancelJob(id workflow.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, known := p.jobs[id]
	if !known || j.status.Final() {
		return
	}
	p.endJob(j, workflow.Cancelled)
	signal(p.planDue)
}

// endJob gives the job its last state and stops what still runs of it.
func (p *pool) endJob(j *job, status workflow.Status) {
	j.status, j.ended = status, p.scheduler.Now()
	delete(p.agenda.timed, j)
	p.markDirty(j)
	p.scheduler.Log.Info().Str("event", "jobEnded").Str("request", string(j.ID)).
		Str("status", string(status)).Dur("age", j.ended.Sub(j.received)).Dur("objective", j.objective).Send()
	for _, g := range j.groups {
		if status != workflow.Completed {
			p.stopGroup(g, reasonCancelled)
		}
	}
}

func (p *pool) addPending(pending map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if j.status == workflow.Queued {
			pending[j.Queue]++
		}
	}
}

// addSettled adds the jobs that ended before the time and of which nothing
// runs or is still to be put on record.
func (p *pool) addSettled(ids []workflow.ID, before time.Time) []workflow.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if _, dirty := p.dirty[j]; j.status.Final() && !dirty && j.ended.Before(before) && j.idle() {
			ids = append(ids, j.ID)
		}
	}
	return ids
}

func (j *job) idle() bool {
	for _, g := range j.groups {
		if !g.allEnded() {
			return false
		}
	}
	return true
}

func (p *pool) forget(ids []workflow.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		delete(p.jobs, id)
	}
}

func (p *pool) markDirty(j *job) {
	j.dirtied++
	p.dirty[j] = struct{}{}
	signal(p.saveDue)
}

func signal(due chan struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}
