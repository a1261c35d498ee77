package scheduling

import (
	"maps"
	"slices"
	"sync"
	"time"

	"comfreystream/coordination/interference"
	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

// pool schedules the jobs of one service on the workers of that service, or those of
// several services between which queues have moved.
type pool struct {
	scheduler *Scheduler
	// service is the one that the pool was created for.
	service string
	// planDue and saveDue hold a value while a planning round or a save is due.
	planDue chan struct{}
	saveDue chan struct{}

	mu sync.Mutex
	// mergedInto is the pool that has taken over this one's state; nil if none has.
	mergedInto *pool
	// models holds what is learnt, by service of the pool.
	models  map[string]*models
	jobs    map[workflow.ID]*job
	workers map[workflow.WorkerID]*worker
	// ordered holds the workers ordered by ID.
	ordered []*worker
	// registered counts the registered workers, startsPending the members whose
	// start was ordered but not yet answered or given up.
	registered    int
	startsPending int
	// listedAt is when the last listing of the registry was asked for.
	listedAt time.Time
	// longestRound is that since the load was last asked for.
	longestRound time.Duration
	// leaving holds the workers that have said how long they stay.
	leaving map[*worker]struct{}
	// unknownRuns counts the unknown attempts that workers report, by task.
	unknownRuns map[workflow.Task]int
	// dirty holds the records with unsaved changes.
	dirty map[*record]struct{}
	saves saveState
	// meanWork is the moving average of the core-seconds of a job, by queue.
	meanWork map[string]float64
	// fittedAt is when the models were last fitted.
	fittedAt time.Time
	// separated is set while workers have a slowdown for the group that is placed,
	// kindsScratch is memory of observeNeighbours.
	separated    bool
	kindsScratch []interference.Kind
	// stragglersCheckedAt is the time of the last check for work to move off slow workers.
	stragglersCheckedAt time.Time
	// round is what the current planning round knows.
	round round
	// shortLoggedAt is when a guarantee was last logged as short.
	shortLoggedAt map[shortGuarantee]time.Time
	work          worklist
	// reservations holds the room that is kept for groups which are moved.
	reservations map[*group]reservation
}

// job is a job and its progress. The pool's lock guards it.
type job struct {
	*workflow.Job
	// routing is where the job's groups are placed: at the service of its queue by the
	// newest known configuration.
	routing    workflow.Routing
	acceptedAt time.Time
	status     workflow.Status
	// begun is set once a task has started, which an attempt that was placed may not
	// have come to.
	begun   bool
	records map[int]*record
	// saving is set while a save with some of the records is under way.
	saving bool
	// stepOffsets holds the size of the records of all steps before each one and, last,
	// of all steps of an occurrence.
	stepOffsets []int
	groups      map[workflow.GroupID]*group
	// doneGroups counts the completed groups by occurrence and step.
	doneGroups map[[2]int]int
	// created marks the steps whose groups were created, by occurrence and step.
	created map[[2]int]bool
	// objective is how long after its acceptance the job should be completed.
	objective time.Duration
	// endedAt is when the job reached its final status.
	endedAt time.Time
}

// groupPhase is the state of a group's current attempt.
type groupPhase uint8

const (
	// waiting groups have no attempt.
	waiting groupPhase = iota
	// saving groups have workers, but their attempt is not stored yet, so that
	// nothing may start.
	saving
	// placed groups have a stored attempt; their members may run.
	placed
	// stopping groups wait for their members to end.
	stopping
	// finished groups get no further attempt.
	finished
)

// group is what is placed and started together: a gang or a single task.
type group struct {
	id       workflow.GroupID
	job      *job
	record   *record
	step     *workflow.Step
	kind     interference.Kind
	phase    groupPhase
	attempt  int
	members  []*member
	failures int
	// failedAttempt is the newest attempt that is counted in failures.
	failedAttempt int
	checkpoint    string
	// waitingSince is when the group was created or its last attempt ended.
	waitingSince time.Time
	// searchedAt is when attempts to preempt were last searched for, lastResortAt when
	// those that are stopped as a last resort.
	searchedAt, lastResortAt time.Time
	// delayCheckedAt is when it was last examined what delays the group.
	delayCheckedAt time.Time
	// placedAt is when the attempt was placed and, later, when its starts were sent.
	placedAt time.Time
	// failedWorkers holds the workers on which the group failed or stalled.
	failedWorkers map[workflow.WorkerID]failureHistory
	// victims holds the preempted attempts that must end before the members start.
	victims []victim
	// brokenAt is when a member was last reported to have ended because another had.
	brokenAt time.Time
	// assumedEnds holds the attempts that are over although the end of a member is
	// not known; it may still turn out to be a failure.
	assumedEnds map[int]bool
	// startsSent is set once the start orders of the attempt were sent.
	startsSent bool
	// stalls counts how often the group was stopped as it stood still.
	stalls int
	// moves counts how often the group was moved off slow workers.
	moves int
	// displacements counts how often the group was moved for guaranteed jobs.
	displacements int
	// done is set once the work is complete.
	done    bool
	earlier earlierAttempt
}

func newPool(s *Scheduler, service string) *pool {
	return &pool{
		scheduler: s, service: service,
		planDue: make(chan struct{}, 1), saveDue: make(chan struct{}, 1),
		jobs:    make(map[workflow.ID]*job),
		workers: make(map[workflow.WorkerID]*worker), leaving: make(map[*worker]struct{}),
		dirty: make(map[*record]struct{}), saves: saveState{underWay: make(map[*saveBatch]struct{})},
		unknownRuns: make(map[workflow.Task]int),
		meanWork:    make(map[string]float64), shortLoggedAt: make(map[shortGuarantee]time.Time),
		models: map[string]*models{service: newModels()},
		work:   newWorklist(), reservations: make(map[*group]reservation),
	}
}

// addJob adds a job that no pool has; routing is to a service of the pool.
func (p *pool) addJob(w *workflow.Job, routing workflow.Routing, progress workflow.Progress, revisions map[int]keyvalue.Revision) {
	p = p.lock()
	defer p.mu.Unlock()
	j := &job{
		Job: w, routing: routing, acceptedAt: p.monotonicTime(w.Accepted), status: workflow.Queued,
		groups:     make(map[workflow.GroupID]*group),
		records:    make(map[int]*record),
		doneGroups: make(map[[2]int]int),
		created:    make(map[[2]int]bool),
		objective:  w.Objective(),
	}
	for number, revision := range revisions {
		j.recordAt(number).revision = revision
	}
	if progress.Status != "" {
		j.status, j.endedAt = progress.Status, p.scheduler.Now()
	}
	p.jobs[w.ID] = j
	if !j.status.Final() {
		p.work.addJob(j)
	}
	p.updateMeanWork(j)
	for id, record := range progress.Groups {
		p.restoreGroup(j, id, record)
	}
	p.createReadyGroups(j)
	wake(p.planDue)
}

// maxJobAge bounds what a jump of the time of day can add to a job's age.
const maxJobAge = 10 * time.Minute

// monotonicTime converts the time of day at which a job was accepted, possibly by
// another instance, to a time of the monotonic clock.
func (p *pool) monotonicTime(accepted time.Time) time.Time {
	age := p.scheduler.WallClock().Sub(accepted)
	return p.scheduler.Now().Add(-min(max(age, 0), maxJobAge))
}

// restoreGroup recreates a group from its stored progress. Its members count as
// running until their workers report or the workers' leases have run out.
func (p *pool) restoreGroup(j *job, id workflow.GroupID, record workflow.Group) {
	g := p.addGroup(j, id)
	g.attempt, g.checkpoint = record.Attempt, record.Checkpoint
	g.failures, g.failedAttempt = record.Failures, record.FailedAttempt
	if record.Done || record.Failures > 0 || record.Checkpoint != "" || len(record.Placed) > 0 {
		j.begun = true
	}
	if record.Done {
		p.closeGroup(g)
		g.done = true
		j.doneGroups[[2]int{id.Occurrence, id.Step}]++
		return
	}
	tasks := j.Members(id)
	if len(record.Placed) != len(tasks) {
		return
	}
	g.phase, g.startsSent, g.placedAt = placed, true, p.scheduler.Now()
	p.work.addStarted(g)
	for i, placement := range record.Placed {
		w := p.ensureWorker(placement.Worker)
		p.assign(g, tasks[i], w, placement.Incarnation).phase = recovering
		if !slices.Contains(g.earlier.hosts, w) {
			g.earlier.hosts = append(g.earlier.hosts, w)
		}
	}
	if j.status.Final() {
		p.stopGroup(g, reasonCancelled)
	}
}

// addGroup adds a group that waits for its first attempt.
func (p *pool) addGroup(j *job, id workflow.GroupID) *group {
	step := &j.Steps[id.Step]
	g := &group{
		id: id, job: j, record: j.recordOf(id), step: step, kind: interference.KindOf(j.Queue, step), waitingSince: p.scheduler.Now(),
	}
	g.record.groups = append(g.record.groups, g)
	j.groups[id] = g
	p.work.addUnstarted(g)
	return g
}

// createReadyGroups adds the groups of every step that may start: its occurrence
// is due and the steps before it are done.
func (p *pool) createReadyGroups(j *job) {
	if j.status.Final() {
		return
	}
	now := p.scheduler.WallClock()
	for occurrence := range j.Runs() {
		if j.Due(occurrence).After(now) {
			break
		}
		for step := range j.Steps {
			key := [2]int{occurrence, step}
			if j.created[key] || !j.allStepsDone(occurrence, j.Steps[step].After) {
				continue
			}
			j.created[key] = true
			for _, id := range j.GroupsOf(occurrence, step) {
				if j.groups[id] == nil {
					p.addGroup(j, id)
				}
			}
		}
	}
}

func (j *job) allStepsDone(occurrence int, steps []int) bool {
	for _, step := range steps {
		if !j.stepDone(occurrence, step) {
			return false
		}
	}
	return true
}

func (j *job) stepDone(occurrence, step int) bool {
	return j.doneGroups[[2]int{occurrence, step}] >= j.Steps[step].Groups()
}

func (j *job) allOccurrencesDone() bool {
	for occurrence := range j.Runs() {
		for step := range j.Steps {
			if !j.stepDone(occurrence, step) {
				return false
			}
		}
	}
	return true
}

// deadline returns when the group's occurrence should be completed, by the
// monotonic clock.
func (g *group) deadline() time.Time {
	j := g.job
	deadline := j.acceptedAt.Add(j.objective)
	if j.Occurrences > 0 {
		deadline = deadline.Add(max(j.Due(g.id.Occurrence).Sub(j.Accepted), 0))
	}
	return deadline
}

// slack returns how long the group's start can be delayed without missing its
// deadline.
func (g *group) slack(now time.Time) time.Duration { return g.deadline().Sub(now) - g.step.Estimate }

// cancelJob cancels a job unless it has ended; known is false if the pool has no such job.
func (p *pool) cancelJob(id workflow.ID) (known bool) {
	p = p.lock()
	defer p.mu.Unlock()
	j, known := p.jobs[id]
	if !known || j.status.Final() {
		return known
	}
	p.endJob(j, workflow.Cancelled)
	wake(p.planDue)
	return true
}

// endJob sets the job's final status and, unless it completed, stops its groups.
func (p *pool) endJob(j *job, status workflow.Status) {
	j.status, j.endedAt = status, p.scheduler.Now()
	p.work.removeJob(j)
	p.markDirty(j.recordAt(0))
	p.scheduler.Log.Info().Str("event", "jobEnded").Str("request", string(j.ID)).
		Str("status", string(status)).Dur("age", j.endedAt.Sub(j.acceptedAt)).Dur("objective", j.objective).Send()
	for _, g := range j.groups {
		if status != workflow.Completed {
			p.stopGroup(g, reasonCancelled)
		}
	}
}

func (p *pool) addPending(pending map[string]int) {
	p = p.lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if !j.begun && !j.status.Final() {
			pending[j.Queue]++
		}
	}
}

// appendDeletable appends the jobs that ended before endedBefore and have
// neither members that may still run nor unsaved changes.
func (p *pool) appendDeletable(jobs []StoredJob, endedBefore time.Time) []StoredJob {
	p = p.lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if j.status.Final() && j.endedAt.Before(endedBefore) && j.idle() && !p.unsaved(j) {
			jobs = append(jobs, StoredJob{j.ID, slices.Sorted(maps.Keys(j.records))})
		}
	}
	return jobs
}

// idle reports whether no member of the job may still run.
func (j *job) idle() bool {
	for _, g := range j.groups {
		if !g.allEnded() {
			return false
		}
	}
	return true
}

func (p *pool) forget(ids []workflow.ID) {
	p = p.lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		delete(p.jobs, id)
	}
}

// wake makes sure that a value is in the channel, whose capacity is 1.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
