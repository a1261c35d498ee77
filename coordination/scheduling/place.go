package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"comfreystream/state/workflow"
)

// placement is a worker for each member of a group, and the groups that must
// be stopped for it.
type placement struct {
	workers []*worker
	victims []*group
}

// place finds room for a group, or nil. What waits in vain beside room also takes
// workers that it failed on or that are kept from new work.
func (p *pool) place(g *group, now time.Time) *placement {
	choice := p.placeOn(g, p.suitable(g, now), now)
	if choice == nil && now.Sub(g.waitingSince) > patience && p.idleShare() > idleForFar {
		choice = p.placeOn(g, p.reachable(g, now), now)
	}
	return choice
}

// placeOn finds room on some workers.
func (p *pool) placeOn(g *group, candidates []*worker, now time.Time) *placement {
	if len(candidates) == 0 {
		return nil
	}
	if g.step.PreferredRack != "" {
		near := onRack(candidates, g.step.PreferredRack)
		if choice := g.fill(near, freeRoom); choice != nil {
			return choice
		}
		if !p.mayRunFar(g, now) {
			return nil
		}
	}
	if !g.step.SameRack || g.size() == 1 {
		return g.fill(candidates, freeRoom)
	}
	if choice := p.bestRack(g, candidates); choice != nil {
		return choice
	}
	if !p.mayRunFar(g, now) {
		return nil
	}
	return g.fill(candidates, freeRoom)
}

func (g *group) size() int {
	if g.step.Gang {
		return g.step.Tasks
	}
	return 1
}

// suitable returns the workers that may run the group and that it has not
// failed on.
func (p *pool) suitable(g *group, now time.Time) (list []*worker) {
	for _, w := range p.reachable(g, now) {
		if !now.Before(w.avoidUntil) && !g.avoid[w.id] {
			list = append(list, w)
		}
	}
	return list
}

// reachable returns the workers that could run the group.
func (p *pool) reachable(g *group, now time.Time) (list []*worker) {
	for _, w := range p.workers {
		if w.takesWork(now) && w.info.HasLabel(g.step.Label) {
			list = append(list, w)
		}
	}
	return list
}

// bestRack returns the placement that leaves the least room on its rack.
func (p *pool) bestRack(g *group, candidates []*worker) (best *placement) {
	leastLeft := 0
	racks := byRack(candidates)
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		workers := racks[rack]
		choice := g.fill(workers, freeRoom)
		if choice == nil {
			continue
		}
		left := 0
		for _, w := range workers {
			left += w.free().Accelerators
		}
		if best == nil || left < leastLeft {
			best, leastLeft = choice, left
		}
	}
	return best
}

// mayRunFar reports whether the group should run away from its rack or data,
// where it is slower: if there is room in plenty and it is in time all the
// same, or if no rack could ever hold it.
func (p *pool) mayRunFar(g *group, now time.Time) bool {
	far := time.Duration(p.scheduler.Bounds.FarFactor * float64(g.step.Estimate))
	inTime := !now.Add(far).After(g.due())
	if (inTime || now.Sub(g.waitingSince) > patience) && p.idleShare() > idleForFar {
		return true
	}
	return !p.fitsOneRack(g)
}

// fitsOneRack reports whether some rack could hold the group if it were empty.
func (p *pool) fitsOneRack(g *group) bool {
	for rack, workers := range byRack(p.listed()) {
		if g.step.PreferredRack != "" && rack != g.step.PreferredRack {
			continue
		}
		if g.fill(workers, func(w *worker) workflow.Capacity { return w.info.Capacity }) != nil {
			return true
		}
	}
	return false
}

func (p *pool) listed() (list []*worker) {
	for _, w := range p.workers {
		if w.info.listed && !w.info.Draining {
			list = append(list, w)
		}
	}
	return list
}

// idleForFar is the part of the accelerators that must be idle before work
// takes them for several times as long as it would near its rack or data.
const idleForFar = 0.4

// patience is how long a group waits for its rack or for sound workers beside
// room; the platform calls a job lost that does so for 3 s.
const patience = 1500 * time.Millisecond

func (p *pool) idleShare() float64 { return float64(p.room.free) / float64(max(p.room.all, 1)) }

func freeRoom(w *worker) workflow.Capacity { return w.free() }

// fill puts the members on the workers, the fullest first, or returns nil.
func (g *group) fill(workers []*worker, room func(w *worker) workflow.Capacity) *placement {
	wanted := g.size()
	needs := g.step.Needs()
	ordered := slices.Clone(workers)
	slices.SortFunc(ordered, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(room(a).Accelerators, room(b).Accelerators), cmp.Compare(a.id, b.id))
	})
	choice := &placement{}
	for _, w := range ordered {
		for range g.countOn(w, needs.CountIn(room(w), wanted-len(choice.workers))) {
			choice.workers = append(choice.workers, w)
		}
		if len(choice.workers) == wanted {
			return choice
		}
	}
	return nil
}

// countOn bounds a number of tasks on a worker by the step's spread limit,
// less what already runs there of the same occurrence.
func (g *group) countOn(w *worker, count int) int {
	if g.step.SpreadLimit == 0 {
		return count
	}
	return max(0, min(count, g.step.SpreadLimit-g.stepMembersOn(w)))
}

func (g *group) stepMembersOn(w *worker) (count int) {
	for _, m := range w.members {
		if m.group.job == g.job && m.group.id.Step == g.id.Step && m.group.id.Occurrence == g.id.Occurrence {
			count++
		}
	}
	return count
}

// rack is what joins workers: the label that the preferred rack names, too.
func (w *worker) rack() string {
	if len(w.info.Labels) < 2 {
		return ""
	}
	return w.info.Labels[len(w.info.Labels)-1]
}

func onRack(workers []*worker, rack string) (list []*worker) {
	for _, w := range workers {
		if w.rack() == rack {
			list = append(list, w)
		}
	}
	return list
}

func byRack(workers []*worker) map[string][]*worker {
	racks := make(map[string][]*worker)
	for _, w := range workers {
		racks[w.rack()] = append(racks[w.rack()], w)
	}
	return racks
}
