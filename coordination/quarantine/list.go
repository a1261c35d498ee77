package quarantine

import (
	"net/netip"
	"slices"
	"time"

	"comfreystream/state"
)

// QuarantinedWorker describes one quarantined worker.
type QuarantinedWorker struct {
	Worker netip.AddrPort
	// Until is when the next probe is due.
	Until time.Time
	// Probe is the job that probes the worker, if any.
	Probe state.JobID
	// Jobs are the last jobs that failed on the worker, the oldest first.
	Jobs []state.JobID
}

// List returns the quarantined workers, sorted by address.
func (q *Quarantine) List() (entries []QuarantinedWorker) {
	for _, r := range q.workers.Values() {
		if !r.isQuarantined() {
			continue
		}
		e := QuarantinedWorker{Worker: r.worker, Until: r.nextProbe, Probe: r.probe}
		for _, f := range r.failures[:r.count] {
			e.Jobs = append(e.Jobs, f.job)
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b QuarantinedWorker) int { return a.Worker.Compare(b.Worker) })
	return entries
}
