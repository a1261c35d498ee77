package backlog

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

// ExpiryFactor is how many times its objective a job may take before it counts for nothing.
const ExpiryFactor = 3

const (
	// maxClasses bounds the waits that are estimated for a service, those of the classes
	// with the most waiting groups.
	maxClasses = 48
	// maxWait bounds an estimate where nothing that runs is known to end.
	maxWait = 10 * time.Minute
)

// Service is the load of one service at a moment.
type Service struct {
	Name string
	// Accelerators counts those of the workers on which work may be placed.
	Accelerators int
	// Free counts the workers by their free accelerators.
	Free map[int]int
	// Waiting holds the groups that wait to be placed and whose jobs still count.
	Waiting []Group
	Running []Run
	// byPassing holds the waiting groups in the order in which other jobs pass them.
	byPassing []*Group
}

// Group is a group that waits to be placed. Its times are counted from now.
type Group struct {
	Priority int
	// Member and Total count the accelerators of one task and of the whole group.
	Member, Total int
	SameRack      bool
	// RunTime is the least that its tasks run for.
	RunTime time.Duration
	// Estimate is their declared run time.
	Estimate  time.Duration
	Objective time.Duration
	// Deadline is when the job should be completed; Late is set if it can no longer be
	// by then.
	Deadline time.Duration
	Late     bool
}

// Run is a group that holds accelerators, for at least the time in Left.
type Run struct {
	Priority     int
	Accelerators int
	Left         time.Duration
	// Lasting is set if it runs until it is cancelled.
	Lasting bool
}

// Wait is the least that new jobs of a class wait for their first start. The class
// holds the jobs that are at most as urgent, at least as large and have at least the same
// objective: none of them starts sooner.
type Wait struct {
	Service       string
	Priority      int
	Member, Total int
	Objective     time.Duration
	// InTime is the wait behind jobs that precede one that can be in time. A job with
	// an objective below InTime is late before it starts, and waits for Late.
	InTime, Late time.Duration
}

// Figures is what a planner publishes of the waiting jobs.
type Figures struct {
	// Pending holds the number of jobs without a started task, by queue.
	Pending map[string]int
	// Waits holds the classes of which a job may be refused; it is empty unless some
	// job would start too late to count.
	Waits []Wait
	// At is when the waits were estimated, by the planner's time of day.
	At time.Time
}

// class is the part of a Wait that names it.
type class struct{ priority, member, total int }

// Estimate returns the waits of the service by which a job may be refused, the longest
// first. It reorders the waiting groups. Each is a lower bound as long as the run times are: it counts only work that goes
// first and would take the room that the class could use, lets that work fill all
// accelerators, and has it unfinished where it can be when the new job starts. Classes for
// which room is free are left out.
func Estimate(s *Service) (waits []Wait) {
	slices.SortFunc(s.Waiting, func(a, b Group) int { return cmp.Compare(b.RunTime, a.RunTime) })
	for i := range s.Waiting {
		s.byPassing = append(s.byPassing, &s.Waiting[i])
	}
	slices.SortFunc(s.byPassing, func(a, b *Group) int { return cmp.Compare(a.passedAt(), b.passedAt()) })
	urgent, other := s.supply(true), s.supply(false)
	for c, objective := range s.classes() {
		if s.hasRoom(c.member, c.total) {
			continue
		}
		w := Wait{Service: s.Name, Priority: c.priority, Member: c.member, Total: c.total, Objective: objective}
		supply := &other
		if c.priority == 0 {
			supply = &urgent
		}
		w.InTime, w.Late = s.startOf(&w, false, supply), s.startOf(&w, true, supply)
		if w.wait(objective) > ExpiryFactor*objective {
			waits = append(waits, w)
		}
	}
	slices.SortFunc(waits, func(a, b Wait) int {
		return cmp.Or(cmp.Compare(b.Late, a.Late), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Member, b.Member), cmp.Compare(a.Total, b.Total))
	})
	return waits
}

// classes returns the classes with the most waiting groups and the least objective of
// each.
func (s *Service) classes() map[class]time.Duration {
	objectives, counts := make(map[class]time.Duration), make(map[class]int)
	for i := range s.Waiting {
		g := &s.Waiting[i]
		if g.Member == 0 || g.Objective <= 0 {
			continue
		}
		c := class{g.Priority, g.Member, g.Total}
		if least, known := objectives[c]; !known || g.Objective < least {
			objectives[c] = g.Objective
		}
		counts[c]++
	}
	if len(counts) > maxClasses {
		order := slices.SortedFunc(maps.Keys(counts), func(a, b class) int { return cmp.Compare(counts[b], counts[a]) })
		for _, c := range order[maxClasses:] {
			delete(objectives, c)
		}
	}
	return objectives
}

// hasRoom reports whether a group may have room by the free accelerators alone.
func (s *Service) hasRoom(member, total int) bool {
	tasks := 0
	for free, workers := range s.Free {
		tasks += workers * (free / member)
	}
	return tasks*member >= total
}

// startOf returns the least time after which a job of the class starts: each group ahead of
// it has then started, or does not precede it any more. late is set for a job that can no
// longer be in time.
func (s *Service) startOf(w *Wait, late bool, supply *supply) time.Duration {
	work := 0.0
	beside := max(s.Accelerators-w.Total, 0)
	for i := range s.Waiting { // the longest first, which may run beside the job when it starts
		if g := &s.Waiting[i]; g.precedes(w, late) && g.fitsLike(w) {
			running := min(g.Total, beside)
			beside -= running
			work += g.RunTime.Seconds() * float64(g.Total-running)
		}
	}
	start := supply.delivers(work)
	if !late {
		start = min(start, s.startAsOthersTurnLate(w, work, supply))
	}
	return max(start, supply.reaches(w.Total))
}

// startAsOthersTurnLate returns the least time after which a job of the class that can be in
// time starts, as it passes the groups ahead that no longer can. That those ahead of a late
// job may expire is left out: jobs are refused so that the accepted ones do not.
func (s *Service) startAsOthersTurnLate(w *Wait, work float64, supply *supply) time.Duration {
	var passed []time.Duration
	var left []float64 // after as many groups are passed
	for _, g := range s.byPassing {
		if g.precedes(w, false) && g.fitsLike(w) {
			work -= g.RunTime.Seconds() * float64(g.Total)
			passed, left = append(passed, g.passedAt()), append(left, work)
		}
	}
	// The more groups are passed, the later that is, and the sooner the others are started.
	i := sort.Search(len(passed), func(i int) bool { return passed[i] >= supply.delivers(left[i]) })
	start := time.Duration(math.MaxInt64)
	if i < len(passed) {
		start = passed[i]
	}
	if i > 0 {
		start = min(start, supply.delivers(left[i-1]))
	}
	return start
}

// passedAt returns when less urgent jobs that can be in time pass the group: when it is
// late, or counts for nothing if it is urgent.
func (g *Group) passedAt() time.Duration {
	if g.Priority == 0 {
		return g.Deadline + (ExpiryFactor-1)*g.Objective
	}
	return g.Deadline - g.Estimate
}

// precedes reports whether the group goes before a new job of the class, by the ranks of
// the planner. As long as the job can be in time only more urgent groups do for certain:
// those of its own priority that wait already are late before it is, and are then passed.
func (g *Group) precedes(w *Wait, late bool) bool {
	switch {
	case g.Priority > w.Priority:
		return false
	case g.Priority == 0 && w.Priority > 0:
		return true
	case !late:
		return g.Priority < w.Priority && !g.Late
	}
	return g.Late || g.Priority < w.Priority || g.Deadline <= w.Objective
}

// fitsLike reports whether the group fits into any room that a group of the class could
// use, by the accelerators: the class cannot overtake it.
func (g *Group) fitsLike(w *Wait) bool {
	return g.Member > 0 && (g.Total <= w.Member || g.Member <= w.Member && g.Total <= w.Total && !g.SameRack)
}

// wait returns how long a job of the class with that objective waits.
func (w *Wait) wait(objective time.Duration) time.Duration {
	if w.InTime <= objective {
		return w.InTime
	}
	return max(w.InTime, w.Late)
}

// supply is what becomes free, if nothing new starts.
type supply struct {
	free     int
	releases []Run
}

// supply returns what is free now and is released later. Urgent work, of priority 0, may
// preempt all other work.
func (s *Service) supply(urgent bool) (out supply) {
	for free, workers := range s.Free {
		out.free += free * workers
	}
	for _, r := range s.Running {
		switch {
		case r.Lasting:
		case r.Left <= 0 || urgent && r.Priority > 0:
			out.free += r.Accelerators
		default:
			out.releases = append(out.releases, r)
		}
	}
	slices.SortFunc(out.releases, func(a, b Run) int { return cmp.Compare(a.Left, b.Left) })
	return out
}

// reaches returns when that many accelerators are free at once, or 0 if that cannot be told.
func (s *supply) reaches(accelerators int) time.Duration {
	free := s.free
	if free >= accelerators {
		return 0
	}
	for _, r := range s.releases {
		if free += r.Accelerators; free >= accelerators {
			return r.Left
		}
	}
	return 0
}

// delivers returns when the accelerator-seconds of work can be done.
func (s *supply) delivers(work float64) time.Duration {
	if work <= 0 {
		return 0
	}
	at, free := 0.0, float64(s.free)
	for _, r := range s.releases {
		step := (r.Left.Seconds() - at) * free
		if step >= work {
			break
		}
		work -= step
		at, free = r.Left.Seconds(), free+float64(r.Accelerators)
	}
	if work > 0 {
		at += work / free
	}
	return time.Duration(math.Min(at, maxWait.Seconds()) * float64(time.Second))
}
