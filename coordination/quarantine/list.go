package quarantine

import (
	"net/netip"
	"slices"
	"time"

	"comfreystream/state"
)

// Entry describes one quarantined worker.
type Entry struct {
	Worker netip.AddrPort
	// Until is when the next probe is due.
	Until time.Time
	// Probe is the job that probes the worker, if any.
	Probe state.JobID
	// Jobs are the last jobs that failed on the worker, the oldest first.
	Jobs []state.JobID
}

// List returns the quarantined workers in the order of their addresses.
func (q *Quarantine) List() (entries []Entry) {
	for _, r := range q.workers.Values() {
		if !r.quarantined() {
			continue
		}
		e := Entry{Worker: r.worker, Until: r.until, Probe: r.probe}
		for _, f := range r.streak[:r.count] {
			e.Jobs = append(e.Jobs, f.job)
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return a.Worker.Compare(b.Worker) })
	return entries
}
