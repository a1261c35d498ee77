package scheduling

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/state/workflow"
)

// BenchmarkRound measures a planning round at the expected size of a service: 1,250
// workers with 33,000 running tasks, and a number of waiting jobs that do not fit.
func BenchmarkRound(b *testing.B) {
	for _, waits := range []int{0, 200, 2000} {
		b.Run(fmt.Sprintf("waiting=%d", waits), func(b *testing.B) {
			p := fullPool(1250, 27)
			for i := range waits {
				p.addJob(&workflow.Job{
					ID: workflow.ID(fmt.Sprintf("w%d", i)), Queue: "q", Organisation: "o", Priority: 1 + i%2, MaxAttempts: 3, Stretch: 3,
					Steps: []workflow.Step{{Tasks: 1 + i%3, Accelerators: 8, Gang: true, SameRack: i%2 == 0, Estimate: time.Hour}}, Accepted: time.Now(),
				}, workflow.Routing{Service: p.service}, workflow.Progress{}, nil)
			}
			var took []time.Duration
			for b.Loop() {
				began := time.Now()
				p.planRound()
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}

// fullPool returns a pool whose workers are filled with tasks of one accelerator.
func fullPool(workers, tasks int) *pool {
	s := &Scheduler{
		Now: time.Now, WallClock: time.Now, Guarantee: func(string) int { return 0 }, Count: func(string) {}, ObserveRound: func(time.Duration) {},
		Authorised: func() bool { return false }, Log: zerolog.Nop(),
		Bounds: Bounds{LeaseLimit: time.Hour, ReclaimLimit: 3400 * time.Millisecond, StopLimit: 900 * time.Millisecond, FarFactor: 3},
	}
	s.termBegan = time.Now()
	s.SetEvacuated(nil, 1)
	p := newPool(s, "render")
	for i := range workers {
		w := p.ensureWorker(workflow.WorkerID(fmt.Sprintf("i-%d", i)))
		w.info = workerInfo{workflow.Worker{
			Service: p.service,
			ID:      w.id, Labels: []string{"a", fmt.Sprintf("r%d", i/8)},
			Capacity: workflow.Capacity{Cores: 128000, MemoryMiB: 1 << 19, Accelerators: tasks},
		}, true}
		w.reportedAt = time.Now().Add(time.Hour)
		j := &job{
			Job: &workflow.Job{
				ID: workflow.ID(fmt.Sprintf("r%d", i)), Queue: "q", Priority: 1,
				Steps: []workflow.Step{{Tasks: tasks, Accelerators: 1, Estimate: 4 * time.Hour}},
			},
			status: workflow.Running, acceptedAt: time.Now(), groups: make(map[workflow.GroupID]*group), records: make(map[int]*record),
			doneGroups: make(map[[2]int]int), created: map[[2]int]bool{{0, 0}: true}, objective: 12 * time.Hour,
		}
		p.jobs[j.ID] = j
		for index := range tasks {
			g := p.addGroup(j, workflow.GroupID{Index: index})
			g.phase, g.startsSent, g.placedAt = placed, true, time.Now()
			p.work.addStarted(g)
			m := p.assign(g, workflow.Task{Job: j.ID, Index: index}, w, 0)
			m.phase, m.percentChangedAt, m.percent = running, time.Now().Add(time.Hour), 100
		}
	}
	return p
}

// BenchmarkRoundUnderOverload measures a planning round of 1,100 workers in racks
// of 20 that are all in use, while gangs wait for a rack: urgent ones that may
// preempt others, and others.
func BenchmarkRoundUnderOverload(b *testing.B) {
	for _, waits := range []int{10, 40, 160} {
		b.Run(fmt.Sprintf("waiting=%d", waits), func(b *testing.B) {
			p := overloadedPool(1100)
			for i := range waits {
				urgent := i%2 == 0
				j := &workflow.Job{
					ID: workflow.ID(fmt.Sprintf("w%d", i)), Queue: "q", Organisation: "o", Priority: 1, MaxAttempts: 3, Stretch: 3,
					Steps:    []workflow.Step{{Tasks: 8 + i%32, Cores: 3700, Accelerators: 1 << (i % 4), Gang: true, SameRack: i%5 != 0, Estimate: 11 * time.Second}},
					Accepted: time.Now(),
				}
				if urgent {
					j.Priority, j.Stretch, j.StartAllowance = 0, 1, time.Hour
				}
				p.addJob(j, workflow.Routing{Service: p.service}, workflow.Progress{}, nil)
				if urgent {
					p.jobs[j.ID].objective = time.Hour // adjusted to the slack in each round
				}
			}
			var took []time.Duration
			for b.Loop() {
				for _, j := range p.jobs {
					if j.Priority == 0 {
						j.objective = time.Since(j.acceptedAt) + 11*time.Second + 800*time.Millisecond
					}
				}
				began := time.Now()
				p.planRound()
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}

// overloadedPool returns a pool whose workers, 20 to a rack, run tasks of 1 to 8
// accelerators that cost more to stop than an urgent job is worth.
func overloadedPool(workers int) *pool {
	p := fullPool(0, 0)
	for i := range workers {
		w := p.ensureWorker(workflow.WorkerID(fmt.Sprintf("i-%d", i)))
		w.info = workerInfo{workflow.Worker{
			Service: p.service,
			ID:      w.id, Labels: []string{"a", fmt.Sprintf("r%d", i/20)},
			Capacity: workflow.Capacity{Cores: 32000, MemoryMiB: 1 << 17, Accelerators: 8},
		}, true}
		w.reportedAt = time.Now().Add(time.Hour)
		j := &job{
			Job: &workflow.Job{
				ID: workflow.ID(fmt.Sprintf("r%d", i)), Queue: "q", Priority: 1,
				Steps: []workflow.Step{{Tasks: 8 >> (i % 4), Cores: 2800, Accelerators: 1 << (i % 4), Estimate: 4 * time.Hour}},
			},
			status: workflow.Running, acceptedAt: time.Now().Add(-time.Hour), groups: make(map[workflow.GroupID]*group), records: make(map[int]*record),
			doneGroups: make(map[[2]int]int), created: map[[2]int]bool{{0, 0}: true}, objective: 12 * time.Hour,
		}
		p.jobs[j.ID] = j
		for index := range j.Steps[0].Tasks {
			g := p.addGroup(j, workflow.GroupID{Index: index})
			g.phase, g.startsSent, g.placedAt = placed, true, time.Now().Add(-time.Hour)
			p.work.addStarted(g)
			m := p.assign(g, workflow.Task{Job: j.ID, Index: index}, w, 0)
			m.phase, m.percentChangedAt, m.percent = running, time.Now().Add(time.Hour), 100
		}
	}
	return p
}

// BenchmarkLastResort measures a planning round of 350 workers on each of which guaranteed
// tasks hold 2 of 8 accelerators, while guaranteed jobs of 8 wait. Either others hold the
// rest, or guaranteed tasks do, so that nothing can be moved.
func BenchmarkLastResort(b *testing.B) {
	for _, test := range []struct {
		name            string
		guaranteedTasks int
	}{{"movable", 2}, {"unmovable", 8}} {
		b.Run(test.name, func(b *testing.B) {
			var took []time.Duration
			for b.Loop() {
				b.StopTimer()
				p := fullPool(350, 8)
				p.scheduler.Guarantee = func(string) int { return math.MaxInt }
				for _, w := range p.ordered {
					for _, m := range w.members {
						if m.group.id.Index < test.guaranteedTasks {
							j := &job{Job: &workflow.Job{ID: workflow.ID(fmt.Sprint("g", w.id, m.group.id.Index)), Steps: m.group.job.Steps}, acceptedAt: time.Now(), objective: time.Hour}
							m.group.job = j
							p.work.urgent[j] = struct{}{}
						}
					}
				}
				for i := range 20 {
					p.addJob(&workflow.Job{
						ID: workflow.ID(fmt.Sprintf("w%d", i)), Queue: "q", MaxAttempts: 3, Stretch: 3,
						Steps: []workflow.Step{{Tasks: 1, Accelerators: 8, Estimate: time.Second}}, Accepted: time.Now().Add(-time.Minute),
					}, workflow.Routing{Service: p.service}, workflow.Progress{}, nil)
				}
				b.StartTimer()
				began := time.Now()
				p.planRound()
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}

// BenchmarkQueueMove sends a queue with many jobs that wait, and one that runs, to the other
// of two services and back. The first move merges the pools.
func BenchmarkQueueMove(b *testing.B) {
	for _, jobs := range []int{200, 2000} {
		b.Run(fmt.Sprintf("waiting=%d", jobs), func(b *testing.B) {
			s := &Scheduler{
				Now: time.Now, WallClock: time.Now, Count: func(string) {}, Log: zerolog.Nop(),
				Authorised: func() bool { return false }, Guarantee: func(string) int { return 0 },
			}
			s.Open()
			defer func() { _ = s.Close() }()
			running := workflow.Progress{Groups: map[workflow.GroupID]workflow.Group{
				{}: {Attempt: 1, Placed: []workflow.WorkerIncarnation{{Worker: "w", Incarnation: 1}}},
			}}
			for i := range jobs + 1 {
				progress := workflow.Progress{}
				if i == 0 {
					progress = running
				}
				s.Load(&workflow.Job{
					ID: workflow.ID(fmt.Sprint(i)), Queue: "q", Service: "a", MaxAttempts: 1, Stretch: 1, Accepted: time.Now(),
					Steps: []workflow.Step{{Tasks: 1, Accelerators: 8, Estimate: time.Second}},
				}, progress, nil)
			}
			version := int64(0)
			for b.Loop() {
				for _, service := range []string{"b", "a"} {
					version++
					s.SetPolicy(&workflow.Policy{Version: version, Queues: []workflow.Queue{{Name: "q", Service: service}}})
				}
			}
		})
	}
}
