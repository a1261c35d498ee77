package hosted

import "comfreystream/coordination/speed"

// keepSpeeds loads the stored speeds of workers and saves their changes until the term
// ends.
func (t *term) keepSpeeds() {
	i := t.instance
	keeper := &speed.Keeper{
		Store: i.speedStore, Term: t.condition,
		Authorised: func() bool { return i.candidate.Valid(t.condition.Revision) },
		Restore:    t.scheduler.RestoreSpeeds, Due: t.scheduler.DueSpeeds, Saved: t.scheduler.SpeedsSaved,
		Count: i.metrics.CountPlannerEvent, Log: i.log,
	}
	keeper.Run(t.ctx)
}
