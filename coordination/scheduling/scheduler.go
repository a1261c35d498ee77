package scheduling

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

// Scheduler plans for one term; its state lies in a shard for each service,
// each under its own lock.
type Scheduler struct {
	Term   Term
	Bounds Bounds
	// Now is the steady clock, Wall the time of day for timed jobs.
	Now     func() time.Time
	Wall    func() time.Time
	Workers WorkerCalls
	// Authorised reports whether the term surely goes on.
	Authorised func() bool
	// Save puts progress on record and returns each job's new revision, in order.
	Save func(ctx context.Context, saves []Save) ([]keyvalue.Revision, error)
	// Guarantee returns how many accelerators an organisation can always have.
	Guarantee func(organisation string) int
	// Ended is called once when a newer planner was met.
	Ended func()
	Count func(event string)
	Log   zerolog.Logger

	began   time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	endOnce sync.Once

	mu    sync.Mutex
	pools map[string]*pool
}

// Open begins the term; load everything on record before workers are set.
func (s *Scheduler) Open() {
	s.began = s.Now()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.pools = make(map[string]*pool)
}

// Close ends every loop and waits; orders that were sent stay valid.
func (s *Scheduler) Close() error {
	s.cancel()
	s.loops.Wait()
	return nil
}

// Load takes a job with what is on record of it; a job that is known already
// is left as it is.
func (s *Scheduler) Load(job *workflow.Job, progress workflow.Progress, revision keyvalue.Revision) {
	s.pool(job.Service).load(job, progress, revision)
}

// Cancel stops a job for good.
func (s *Scheduler) Cancel(id workflow.ID) {
	for _, p := range s.all() {
		p.cancelJob(id)
	}
}

// SetWorkers replaces the workers that are registered.
func (s *Scheduler) SetWorkers(workers []workflow.Worker) {
	byService := make(map[string][]workflow.Worker)
	for _, w := range workers {
		byService[w.Service] = append(byService[w.Service], w)
	}
	for service := range byService {
		s.pool(service)
	}
	for _, p := range s.all() {
		p.setWorkers(byService[p.service])
	}
}

// Pending returns, for each queue, the jobs of which no task has started.
func (s *Scheduler) Pending() map[string]int {
	pending := make(map[string]int)
	for _, p := range s.all() {
		p.addPending(pending)
	}
	return pending
}

// Settled returns the jobs that ended longer ago than the duration.
func (s *Scheduler) Settled(ago time.Duration) (ids []workflow.ID) {
	before := s.Now().Add(-ago)
	for _, p := range s.all() {
		ids = p.addSettled(ids, before)
	}
	return ids
}

// Forget drops jobs whose record was deleted.
func (s *Scheduler) Forget(ids []workflow.ID) {
	for _, p := range s.all() {
		p.forget(ids)
	}
}

// pool returns the shard of a service and starts its loops with it.
func (s *Scheduler) pool(service string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.pools[service]
	if found {
		return p
	}
	p = newPool(s, service)
	s.pools[service] = p
	s.loops.Go(p.planLoop)
	s.loops.Go(p.saveLoop)
	return p
}

func (s *Scheduler) all() []*pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*pool, 0, len(s.pools))
	for _, p := range s.pools {
		list = append(list, p)
	}
	return list
}

// end gives the term up, from any goroutine.
func (s *Scheduler) end(cause error) {
	s.endOnce.Do(func() {
		s.Log.Warn().Str("event", "termEnded").Int64("term", int64(s.Term)).Err(cause).Send()
		s.Ended()
	})
}
