package backlog_test

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/backlog"
	"comfreystream/state/workflow"
)

const (
	workers, perWorker = 16, 8
	entries            = 10
	round              = 100 * time.Millisecond
	dayLength          = 100 * time.Second
	// patience is how long a caller comes back.
	patience = 60 * time.Second
	// minApart is how far apart two jobs are refused whose order is compared.
	minApart = 5 * time.Second
	// certain is the part of its declared time that a task is counted with.
	certain = 0.8
)

// policy is how a site treats its jobs.
type policy struct{ firstCome, stepBack, refuse bool }

// simJob is a job of one group, in a site of workers alike.
type simJob struct {
	*workflow.Job
	member, tasks      int
	runTime            time.Duration
	first, start, next time.Duration
	refusedAt          time.Duration
	ended              time.Duration
	workers            []int
}

func (j *simJob) objective() time.Duration { return j.Objective() }

func (j *simJob) deadline() time.Duration { return j.start + j.objective() }

// site is a planner, its workers and entries in virtual time.
type site struct {
	policy
	began     time.Time
	free      [workers]int
	waiting   []*simJob
	running   []*simJob
	done      []*simJob
	refused   []*simJob
	figures   backlog.Figures
	returns   backlog.Returns
	sustained backlog.Sustained
	gates     []*backlog.Gate
	// withRoom counts the refusals of a job for which room was free, accepted the jobs that
	// were accepted after a refusal, reads those of the figures.
	withRoom, accepted, reads int
}

func newSite(ctx context.Context, p policy) *site {
	s := &site{policy: p, began: time.Now()}
	for i := range s.free {
		s.free[i] = perWorker
	}
	for range entries {
		g := &backlog.Gate{
			Read: func(context.Context) (backlog.Figures, error) {
				time.Sleep(4 * time.Millisecond)
				s.reads++
				return s.figures, nil
			},
			Now: time.Now, Guarantee: func(string) int { return 0 }, Log: zerolog.Nop(),
			Refused: func(_ context.Context, id workflow.ID) (time.Duration, error) {
				return s.returns.Refused(id, time.Now()), nil
			},
		}
		go g.Run(ctx)
		s.gates = append(s.gates, g)
	}
	return s
}

// mix is the kind of jobs of a day, each shape and each priority as often as it is listed.
type mix struct {
	// shapes holds the accelerators of a task and the number of tasks.
	shapes     [][2]int
	priorities []int
	// load is that of the burst, relative to the capacity, and burst how long it lasts.
	load  float64
	burst time.Duration
}

// meanWork returns the mean work of a job in accelerator-seconds: run times have a median
// of 2 s, and are spread by 0.5 and, against what was declared, by 0.3.
func (m *mix) meanWork() (work float64) {
	for _, shape := range m.shapes {
		work += float64(shape[0]*shape[1]) / float64(len(m.shapes))
	}
	return 2 * math.Exp((0.5*0.5+0.3*0.3)/2) * work
}

// day returns the jobs of a day with a burst and half of the load that fits after it, in
// the order of arrival.
func (m *mix) day(seed uint64) (jobs []*simJob) {
	random := rand.New(rand.NewPCG(seed, 7))
	at := time.Duration(0)
	for at < dayLength-patience/2 {
		shape := m.shapes[random.IntN(len(m.shapes))]
		priority := m.priorities[random.IntN(len(m.priorities))]
		estimate := time.Duration(2 * math.Exp(0.5*random.NormFloat64()) * float64(time.Second))
		j := &simJob{
			Job: &workflow.Job{
				ID: workflow.ID(fmt.Sprintf("%016x", random.Uint64())), Service: "render", Priority: priority,
				Stretch: []float64{1.5, 3, 3}[priority], StartAllowance: []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second}[priority],
				Steps: []workflow.Step{{Tasks: shape[1], Accelerators: shape[0], Gang: shape[1] > 1, Estimate: estimate}},
			},
			member: shape[0], tasks: shape[1], first: at, next: at,
			runTime: time.Duration(math.Exp(0.3*random.NormFloat64()) * float64(estimate)),
		}
		jobs = append(jobs, j)
		load := 0.5
		if at < m.burst {
			load = m.load
		}
		at += time.Duration(random.ExpFloat64() * m.meanWork() / (load * workers * perWorker) * float64(time.Second))
	}
	return jobs
}

// run plays the day and returns how many of the jobs were complete within their objective,
// counted from their acceptance.
func (s *site) run(ctx context.Context, jobs []*simJob) (inTime int) {
	slices.SortFunc(jobs, func(a, b *simJob) int { return cmp.Compare(a.next, b.next) })
	for at := time.Duration(0); at < dayLength; at += round {
		time.Sleep(time.Until(s.began.Add(at)))
		for len(jobs) > 0 && jobs[0].next <= at {
			j := jobs[0]
			jobs = jobs[1:]
			if again := s.arrive(ctx, j, at); again {
				i, _ := slices.BinarySearchFunc(jobs, j.next, func(j *simJob, next time.Duration) int { return cmp.Compare(j.next, next) })
				jobs = slices.Insert(jobs, i, j)
			}
		}
		s.plan(at)
		if at%time.Second == 0 {
			s.publish(at)
		}
	}
	for _, j := range s.done {
		if j.ended <= j.deadline() {
			inTime++
		}
	}
	return inTime
}

// arrive submits the job and reports whether its caller comes again.
func (s *site) arrive(ctx context.Context, j *simJob, at time.Duration) bool {
	gate := s.gates[int(j.ID[3]+j.ID[5]+byte(at/round))%entries]
	if !s.refuse {
		j.start = at
		s.waiting = append(s.waiting, j)
		return false
	}
	if len(s.figures.Waits) > 0 {
		gate.NoteWaiting()
	}
	refusal := gate.Check(ctx, j.Job)
	if refusal == nil {
		if j.refusedAt > 0 {
			s.accepted++
		}
		j.start = at
		s.waiting = append(s.waiting, j)
		return false
	}
	if j.refusedAt == 0 {
		j.refusedAt = at
		s.refused = append(s.refused, j)
	}
	if s.place(j, false) {
		s.withRoom++
	}
	j.next = at + refusal.RetryAfter
	return j.next <= j.first+patience
}

// plan ends what is done and starts what fits, in the planner's order.
func (s *site) plan(at time.Duration) {
	s.running = slices.DeleteFunc(s.running, func(j *simJob) bool {
		if j.ended > at {
			return false
		}
		for _, w := range j.workers {
			s.free[w] += j.member
		}
		s.done = append(s.done, j)
		return true
	})
	slices.SortStableFunc(s.waiting, func(a, b *simJob) int {
		if s.firstCome {
			return cmp.Compare(a.start, b.start)
		}
		return cmp.Or(cmp.Compare(s.rank(a, at), s.rank(b, at)), cmp.Compare(a.deadline(), b.deadline()))
	})
	s.waiting = slices.DeleteFunc(s.waiting, func(j *simJob) bool {
		if !s.place(j, true) {
			return false
		}
		j.ended = at + j.runTime
		s.running = append(s.running, j)
		return true
	})
}

// rank is that of the planner without guarantees.
func (s *site) rank(j *simJob, at time.Duration) int {
	late := at+j.Steps[0].Estimate > j.deadline()
	switch {
	case s.stepBack && at > j.start+backlog.ExpiryFactor*j.objective():
		return 20 + j.Priority
	case j.Priority == 0 && late:
		return 1
	case j.Priority == 0:
		return 0
	case late:
		return 10 + j.Priority
	}
	return 2 + j.Priority
}

// place reports whether the job fits, and places it if it is to start.
func (s *site) place(j *simJob, start bool) bool {
	var chosen []int
	for w := range s.free {
		for n := s.free[w] / j.member; n > 0 && len(chosen) < j.tasks; n-- {
			chosen = append(chosen, w)
		}
	}
	if len(chosen) < j.tasks {
		return false
	}
	if start {
		j.workers = chosen
		for _, w := range chosen {
			s.free[w] -= j.member
		}
	}
	return true
}

// publish estimates the waits as the planner does.
func (s *site) publish(at time.Duration) {
	load := &backlog.Service{Name: "render", Accelerators: workers * perWorker, Free: make(map[int]int)}
	for _, f := range s.free {
		load.Free[f]++
	}
	for _, j := range s.waiting {
		if at > j.start+backlog.ExpiryFactor*j.objective() {
			continue
		}
		load.Waiting = append(load.Waiting, backlog.Group{
			Priority: j.Priority, Member: j.member, Total: j.member * j.tasks, RunTime: time.Duration(certain * float64(j.Steps[0].Estimate)), Estimate: j.Steps[0].Estimate,
			Objective: j.objective(), Deadline: j.deadline() - at, Late: at+j.Steps[0].Estimate > j.deadline(),
		})
	}
	for _, j := range s.running {
		load.Running = append(load.Running, backlog.Run{Priority: j.Priority, Accelerators: j.member * j.tasks, Left: time.Duration(certain * float64(j.ended-at))})
	}
	s.figures = backlog.Figures{Waits: s.sustained.Filter(time.Now(), backlog.Estimate(load)), At: time.Now()}
}
