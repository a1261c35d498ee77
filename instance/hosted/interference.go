package hosted

import (
	"comfreystream/coordination/interference"
	"comfreystream/coordination/modelstore"
)

// keepInterference loads the stored slowdowns of kinds beside each other and saves their
// changes until the term ends.
func (t *term) keepInterference() {
	i := t.instance
	keeper := &modelstore.Keeper[interference.PairEstimate]{
		Store: i.interferenceStore, Term: t.condition,
		Authorised: func() bool { return i.candidate.Valid(t.condition.Revision) },
		Restore:    t.scheduler.RestoreInterference, Due: t.scheduler.DueInterference, Saved: t.scheduler.InterferenceSaved,
		Events: interference.Events(), Count: i.metrics.CountPlannerEvent, Log: i.log,
	}
	keeper.Run(t.ctx)
}
