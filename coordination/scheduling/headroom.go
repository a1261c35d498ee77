package scheduling

import (
	"time"

	"comfreystream/state/workflow"
)

const (
	// headroom is the part of the accelerators that work which can wait leaves
	// to urgent work, so that less of it has to be stopped soon after its start.
	headroom = 0.35
	// waitShare is the part of its time after which work waits no longer.
	waitShare = 0.75
)

// shouldWait reports whether a group had better leave what room there is to
// urgent work that may come, as it has time left.
func (p *pool) shouldWait(g *group, now time.Time) bool {
	if g.job.Priority == 0 || g.step.LongRunning {
		return false
	}
	waited := now.Sub(g.due().Add(-g.job.objective))
	if g.slack(now) < 0 || waited > time.Duration(waitShare*float64(g.job.objective-g.step.Estimate)) {
		return false
	}
	free, all := p.room.free, p.room.all
	needs := g.size() * g.step.Accelerators
	if 2*free > all && free >= 2*needs {
		return false // room in plenty
	}
	return float64(free-needs) < headroom*float64(all)
}

// roundRoom is what one round knows of the room that is left; it only shrinks
// within the round.
type roundRoom struct {
	// free and all count accelerators.
	free, all int
	// full holds the shapes for which no room was found.
	full map[shape]bool
}

// shape is what decides whether a group finds room, other than its history.
type shape struct {
	needs workflow.Capacity
	label string
	size  int
}

func (p *pool) lookAround() roundRoom {
	s := roundRoom{full: make(map[shape]bool)}
	for _, w := range p.workers {
		if w.info.listed && !w.info.Draining {
			s.free += max(w.free().Accelerators, 0)
			s.all += w.info.Capacity.Accelerators
		}
	}
	return s
}

func (g *group) shape() shape {
	return shape{g.step.Needs(), g.step.Label, g.size()}
}

// placeOnce is place, but looks for one shape only once a round in vain.
func (p *pool) placeOnce(g *group, now time.Time) *placement {
	plain := len(g.avoid) == 0 && !g.slowsAway() && g.step.SpreadLimit == 0 && now.Sub(g.waitingSince) <= patience
	if plain && p.room.full[g.shape()] {
		return nil
	}
	choice := p.place(g, now)
	if choice == nil && plain {
		p.room.full[g.shape()] = true
	}
	return choice
}
