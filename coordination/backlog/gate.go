package backlog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/state/workflow"
)

const (
	// readInterval is the least time between two reads of the figures by an entry.
	readInterval = time.Second
	// readTimeout bounds a read, whose figures would be too old after it.
	readTimeout = time.Second
	// readPatience is how long a submission waits for a read. A store that takes longer
	// holds up no job that could be accepted.
	readPatience = 100 * time.Millisecond
	// maxAge is the age from which figures refuse nothing.
	maxAge = 3 * time.Second
	// maxClockDifference is how far in the future the time of figures may be. More shows
	// that the clocks differ, so that the age is not known.
	maxClockDifference = 500 * time.Millisecond
	// maxLinesPerSecond bounds the log lines on refusals.
	maxLinesPerSecond = 20
)

// Gate decides at an entry which jobs are refused on arrival; every exported field must be
// set. It is safe for concurrent use.
type Gate struct {
	// Read returns the newest published figures.
	Read func(ctx context.Context) (Figures, error)
	// Now is the monotonic clock, with the time of day.
	Now func() time.Time
	// Guarantee returns the number of accelerators guaranteed to an organisation.
	Guarantee func(organisation string) int
	// Refused tells the planner of a refusal and returns how long ago the job was first
	// refused by any entry, or an error if the planner does not say so.
	Refused func(ctx context.Context, id workflow.ID) (time.Duration, error)
	Log     zerolog.Logger

	once sync.Once
	// readDue holds a value while a read is due.
	readDue chan struct{}

	mu sync.Mutex
	// waiting is set if the planner or the newest figures show that jobs wait too long.
	waiting bool
	// readAt is when the newest read began, readDone is closed when the one that is due
	// or under way has ended.
	readAt   time.Time
	readDone chan struct{}
	// slow is set if the last read took longer than a submission waits for.
	slow    bool
	figures Figures
	// seenAt is when figures of that time were first read.
	seenAt  time.Time
	refused Returns
	// lastReturn is the latest time at which a refused caller was told to return.
	lastReturn time.Time
	lines      int
	linesAt    time.Time
	unlogged   int
}

// Refusal is the error of a job that is not accepted because it would start too late to
// count for anything.
type Refusal struct {
	Wait, Objective time.Duration
	// Age is that of the figures, Waited the time since the job was first refused.
	Age, Waited time.Duration
	// RetryAfter is when the caller should return.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("would start after %v or later, with an objective of %v: retry after %v", r.Wait, r.Objective, r.RetryAfter)
}

func (g *Gate) init() {
	g.once.Do(func() { g.readDue = make(chan struct{}, 1) })
}

// Run reads the figures when they are needed, until the context ends.
func (g *Gate) Run(ctx context.Context) {
	g.init()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.readDue:
		}
		g.read(ctx)
	}
}

func (g *Gate) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	g.mu.Lock()
	g.readAt = g.Now()
	g.mu.Unlock()
	figures, err := g.Read(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.readDone)
	g.readDone, g.slow = nil, g.Now().Sub(g.readAt) > readPatience
	if err != nil {
		g.Log.Debug().Str("event", "waitsUnread").Err(err).Send()
		return
	}
	if !figures.At.Equal(g.figures.At) {
		g.seenAt = g.Now()
	}
	g.figures, g.waiting = figures, len(figures.Waits) > 0
}

// NoteWaiting tells that the planner's figures show waits by which jobs may be refused, so
// that they are read.
func (g *Gate) NoteWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = true
}

// Check returns why the job is refused, or nil if it is to be accepted. It may wait
// shortly for newer figures if jobs are known to wait.
func (g *Gate) Check(ctx context.Context, job *workflow.Job) *Refusal {
	if !g.mayRefuse(job) {
		return nil
	}
	g.refresh(ctx)
	objective := job.Objective()
	wait, age, valid := g.newest(job, objective)
	if !valid || wait <= ExpiryFactor*objective {
		return nil
	}
	waited := g.waited(ctx, job.ID)
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Refusal{
		Wait: wait, Objective: objective, Age: age, Waited: waited,
		RetryAfter: retryAfter(job.ID, wait-objective, waited, g.Now(), &g.lastReturn),
	}
}

// newest returns the least wait of the job by the newest figures, and their age; valid is
// false if they may refuse nothing.
func (g *Gate) newest(job *workflow.Job, objective time.Duration) (wait, age time.Duration, valid bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	age, valid = g.age(g.Now())
	return g.wait(job, objective), age, valid
}

// waited returns how long ago the job was first refused, as far as the planner or this
// entry knows.
func (g *Gate) waited(ctx context.Context, id workflow.ID) time.Duration {
	here := g.refused.Refused(id, g.Now())
	ctx, cancel := context.WithTimeout(ctx, readPatience)
	defer cancel()
	anywhere, err := g.Refused(ctx, id)
	if err != nil {
		g.Log.Debug().Str("event", "refusalNotTold").Str("request", string(id)).Err(err).Send()
	}
	return max(here, anywhere)
}

// mayRefuse reports whether the job is of a kind that may be refused: it needs accelerators
// for its first start, has an objective, and would exceed the guarantee of its organisation
// even if nothing else of it was used.
func (g *Gate) mayRefuse(job *workflow.Job) bool {
	if job.Occurrences > 0 || job.Objective() <= 0 {
		return false
	}
	for i := range job.Steps {
		if s := &job.Steps[i]; s.LongRunning || len(s.After) == 0 && s.Accelerators == 0 {
			return false
		}
	}
	return job.Priority > 0 || job.PeakAccelerators() > g.Guarantee(job.Organisation)
}

// refresh has the figures read if jobs are known to wait and the last read is
// readInterval ago, and waits for it up to readPatience unless the last one took longer.
func (g *Gate) refresh(ctx context.Context) {
	g.init()
	g.mu.Lock()
	if !g.waiting || g.readDone == nil && g.Now().Sub(g.readAt) < readInterval {
		g.mu.Unlock()
		return
	}
	if g.readDone == nil {
		g.readDone = make(chan struct{})
		g.readDue <- struct{}{}
	}
	done, slow := g.readDone, g.slow
	g.mu.Unlock()
	if slow {
		return
	}
	patience := time.NewTimer(readPatience)
	defer patience.Stop()
	select {
	case <-done:
	case <-patience.C:
	case <-ctx.Done():
	}
}

// age returns the age of the figures and whether they may refuse jobs. The time of day
// may be wrong, so the age is at least the time since they were first read.
func (g *Gate) age(now time.Time) (age time.Duration, valid bool) {
	age = now.Round(0).Sub(g.figures.At)
	if len(g.figures.Waits) == 0 || age < -maxClockDifference {
		return age, false
	}
	age = max(age, now.Sub(g.seenAt), 0)
	return age, age < maxAge
}

// wait returns the longest of the least waits that apply to the job.
func (g *Gate) wait(job *workflow.Job, objective time.Duration) (longest time.Duration) {
	member, total := firstNeeds(job)
	for i := range g.figures.Waits {
		w := &g.figures.Waits[i]
		if w.Service == job.Service && w.Priority <= job.Priority && w.Member <= member && w.Total <= total && w.Objective <= objective {
			longest = max(longest, w.wait(objective))
		}
	}
	return longest
}

// firstNeeds returns the least accelerators of a task, and of a group, with which the job
// could start.
func firstNeeds(job *workflow.Job) (member, total int) {
	for i := range job.Steps {
		s := &job.Steps[i]
		if len(s.After) > 0 {
			continue
		}
		group := s.Accelerators
		if s.Gang {
			group *= s.Tasks
		}
		if total == 0 || group < total {
			total = group
		}
		if member == 0 || s.Accelerators < member {
			member = s.Accelerators
		}
	}
	return member, total
}

// LogRefusal writes a line on a refused job. Lines above maxLinesPerSecond are counted in
// the next one.
func (g *Gate) LogRefusal(job *workflow.Job, r *Refusal) {
	g.mu.Lock()
	now := g.Now()
	if now.Sub(g.linesAt) >= time.Second {
		g.lines, g.linesAt = 0, now
	}
	if g.lines++; g.lines > maxLinesPerSecond {
		g.unlogged++
		g.mu.Unlock()
		return
	}
	unlogged := g.unlogged
	g.unlogged = 0
	g.mu.Unlock()
	member, total := firstNeeds(job)
	g.Log.Info().Str("event", "callRefused").Str("request", string(job.ID)).Str("reason", "expectedWait").
		Str("queue", job.Queue).Str("organisation", job.Organisation).Int("priority", job.Priority).
		Int("acceleratorsPerTask", member).Int("accelerators", total).Dur("wait", r.Wait).Dur("objective", r.Objective).
		Dur("age", r.Age).Dur("waited", r.Waited).Dur("retryAfter", r.RetryAfter).Int("unlogged", unlogged).Send()
}
