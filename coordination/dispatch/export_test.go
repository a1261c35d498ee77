package dispatch

import "comfreystream/state"

// JobIDs lists the jobs that the planner knows, ended ones included.
func (d *Dispatcher) JobIDs() (ids []state.JobID) {
	for _, r := range d.records.Values() {
		ids = append(ids, r.job.ID)
	}
	return ids
}
