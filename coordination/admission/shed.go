package admission

import "comfreystream/state"

// mark is how full the queue may be, from 0 to 1, for a job to be admitted.
type mark struct {
	// overShare holds for organisations that have more than their fair share.
	overShare float64
	// withinShare holds for the others.
	withinShare float64
}

// marks order what is shed as the queue grows: overnight work first, then that
// of organisations above their fair share, urgent work last. What is above
// them all is left to work within guarantees.
var marks = [...]mark{
	state.Overnight: {overShare: 0.60, withinShare: 0.70},
	state.Normal:    {overShare: 0.75, withinShare: 0.85},
	state.Urgent:    {overShare: 0.90, withinShare: 0.95},
}

// shed returns why the queue is too full for a job of the urgency, or "".
func shed(urgency state.Urgency, queue QueueView, limit int) state.Reason {
	if queue.Jobs >= limit {
		return state.QueueFull
	}
	if queue.WithinGuarantee {
		return ""
	}
	fill := float64(queue.Jobs) / float64(limit)
	m := marks[min(int(urgency), len(marks)-1)]
	switch {
	case fill >= m.withinShare:
		return state.ShedByUrgency
	case fill >= m.overShare && queue.Share > queue.FairShare:
		return state.ShedByShare
	default:
		return ""
	}
}
