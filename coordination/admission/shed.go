package admission

import "comfreystream/state"

// fillLimits are the fill levels of the queue, from 0 to 1, at which jobs are
// shed.
type fillLimits struct {
	// overShare applies to organisations above their fair share.
	overShare float64
	// withinShare applies to all others.
	withinShare float64
}

// fillLimitsByUrgency sets what is shed first as the queue fills: overnight
// work, then organisations above their fair share, urgent work last. The rest of
// the queue is reserved for guaranteed work.
var fillLimitsByUrgency = [...]fillLimits{
	state.Overnight: {overShare: 0.60, withinShare: 0.70},
	state.Normal:    {overShare: 0.75, withinShare: 0.85},
	state.Urgent:    {overShare: 0.90, withinShare: 0.95},
}

// shedReason returns why the queue is too full for the job, or "".
func shedReason(urgency state.Urgency, queue QueueView, limit int) state.Reason {
	if queue.Jobs >= limit {
		return state.QueueFull
	}
	if queue.WithinGuarantee {
		return ""
	}
	fill := float64(queue.Jobs) / float64(limit)
	limits := fillLimitsByUrgency[min(int(urgency), len(fillLimitsByUrgency)-1)]
	switch {
	case fill >= limits.withinShare:
		return state.ShedByUrgency
	case fill >= limits.overShare && queue.Share > queue.FairShare:
		return state.ShedByShare
	default:
		return ""
	}
}
