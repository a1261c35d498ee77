package scheduling

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

// Scheduler schedules jobs during one term of the planner. Its state is split
// into one pool per service, each under its own lock. Services between which the queue of
// a running job has moved share a pool.
type Scheduler struct {
	Term   Term
	Bounds Bounds
	// Cores is how many processor cores the planner may use; 0 means enough for
	// any number of calls.
	Cores float64
	// Now is the monotonic clock. WallClock is the time of day, in which start times
	// and times of acceptance are given.
	Now       func() time.Time
	WallClock func() time.Time
	Workers   WorkerCalls
	// Authorised reports whether the planner certainly still holds its term.
	Authorised func() bool
	// Save stores the progress of jobs and returns a result for each update.
	Save func(ctx context.Context, updates []ProgressUpdate) []SaveResult
	// Guarantee returns the number of accelerators guaranteed to an organisation.
	Guarantee func(organisation string) int
	// OnTermEnded is called once, when a worker or the store reports a newer planner.
	OnTermEnded func()
	// Count increments the counter of one of Events.
	Count func(event string)
	// ObserveRound is called with the duration of each planning round.
	ObserveRound func(took time.Duration)
	Log          zerolog.Logger

	termBegan  time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	endOnce    sync.Once
	// starts is a semaphore: it holds a value for each start without an answer.
	starts chan struct{}

	// evacuated is the newest reading of the evacuated zones; mu guards its replacement.
	evacuated atomic.Pointer[evacuations]

	// holders is used by SetWorkers alone.
	holders holders

	mu sync.Mutex
	// pools holds the pool of each service.
	pools map[string]*pool

	// layout is held while jobs are added, removed or moved between pools, and while pools
	// are merged; for reading while all pools are visited. It comes before mu and the locks
	// of the pools.
	layout sync.RWMutex
	jobs   map[workflow.ID]*assignment
	// policy is the newest known configuration; nil is none.
	policy *workflow.Policy
}

// Open begins the term. All stored jobs must be loaded before the first call of
// SetWorkers, or their running tasks are stopped as unknown.
func (s *Scheduler) Open() {
	s.termBegan = s.Now()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.pools = make(map[string]*pool)
	s.holders = holders{scheduler: s, byWorker: make(map[workflow.WorkerID]*holder), byLife: make(map[life]workflow.WorkerID)}
	s.jobs = make(map[workflow.ID]*assignment)
	s.starts = make(chan struct{}, s.concurrentStarts())
}

// Close stops all goroutines and waits for them. Workers may still carry out
// orders that were sent before.
func (s *Scheduler) Close() error {
	s.cancel()
	s.goroutines.Wait()
	return nil
}

// Load adds a job with its stored progress and the revisions of the records that
// hold it, for the service to which its queue belongs now. It does nothing and returns
// false if a job with this ID is known, whatever service the job names.
func (s *Scheduler) Load(job *workflow.Job, progress workflow.Progress, revisions map[int]keyvalue.Revision) bool {
	s.layout.Lock()
	defer s.layout.Unlock()
	if known, found := s.jobs[job.ID]; found {
		if known.job.Service != job.Service {
			s.Log.Warn().Str("event", "jobOfOtherService").Str("request", string(job.ID)).Str("service", known.job.Service).Str("ignored", job.Service).Send()
		}
		return false
	}
	a := &assignment{job: job, routing: storedRouting(job, progress)}
	next := a.routing
	if !progress.Status.Final() {
		next = a.routingBy(s.policy)
	}
	s.jobs[job.ID] = a
	s.pool(next.Service).addJob(job, next, progress, revisions)
	if next != a.routing {
		s.completeMove(a, next)
	}
	return true
}

// Has reports whether a job with this ID is known.
func (s *Scheduler) Has(id workflow.ID) bool {
	s.layout.RLock()
	defer s.layout.RUnlock()
	_, known := s.jobs[id]
	return known
}

// Cancel cancels a job and stops its tasks; known is false if no pool has the job.
func (s *Scheduler) Cancel(id workflow.ID) (known bool) {
	s.layout.RLock()
	defer s.layout.RUnlock()
	a, known := s.jobs[id]
	return known && s.pool(a.routing.Service).cancelJob(id)
}

// SetWorkers replaces the set of registered workers by a listing of the registry
// that was asked for at listedAt. A worker stays in the pool of one service while its
// tasks may run there. It must not be called by several goroutines at once.
func (s *Scheduler) SetWorkers(workers []workflow.Worker, listedAt time.Time) {
	s.layout.Lock()
	defer s.layout.Unlock()
	byService := make(map[string][]workflow.Worker)
	for _, w := range s.holders.assign(workers, listedAt) {
		byService[w.Service] = append(byService[w.Service], w)
	}
	for service := range byService {
		s.pool(service)
	}
	for _, p := range s.allPools() {
		var list []workflow.Worker
		for service := range p.models {
			list = append(list, byService[service]...)
		}
		p.setWorkers(list, listedAt)
	}
}

// Pending returns, by queue, the number of jobs of which no task has started yet.
func (s *Scheduler) Pending() map[string]int {
	s.layout.RLock()
	defer s.layout.RUnlock()
	pending := make(map[string]int)
	for _, p := range s.allPools() {
		p.addPending(pending)
	}
	return pending
}

// DeletableJobs returns the jobs that ended longer ago than minAge and need no more
// work, so that their records can be deleted.
func (s *Scheduler) DeletableJobs(minAge time.Duration) (jobs []StoredJob) {
	s.layout.RLock()
	defer s.layout.RUnlock()
	endedBefore := s.Now().Add(-minAge)
	for _, p := range s.allPools() {
		jobs = p.appendDeletable(jobs, endedBefore)
	}
	return jobs
}

// Forget removes jobs whose records were deleted.
func (s *Scheduler) Forget(ids []workflow.ID) {
	s.layout.Lock()
	defer s.layout.Unlock()
	for _, p := range s.allPools() {
		p.forget(ids)
	}
	for _, id := range ids {
		delete(s.jobs, id)
	}
}

// pool returns the pool of a service. It creates the pool and starts its
// goroutines on first use.
func (s *Scheduler) pool(service string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.pools[service]
	if found {
		return p
	}
	p = newPool(s, service)
	s.pools[service] = p
	s.goroutines.Go(p.planLoop)
	s.goroutines.Go(p.saveLoop)
	return p
}

func (s *Scheduler) allPools() []*pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*pool, 0, len(s.pools))
	for service, p := range s.pools {
		if service == p.service { // once, also if it has several services
			list = append(list, p)
		}
	}
	return list
}

// endTerm reports once that the term has ended; any goroutine may call it.
func (s *Scheduler) endTerm(cause error) {
	s.endOnce.Do(func() {
		s.Log.Warn().Str("event", "termEnded").Int64("term", int64(s.Term)).Err(cause).Send()
		s.OnTermEnded()
	})
}
