package admission

import (
	"time"

	"golang.org/x/time/rate"

	"comfreystream/state"
)

// Apply puts the manifest's limits in force; what an organisation has used of
// its burst stays used. A manifest older than the one in force changes nothing.
func (a *Admission) Apply(manifest *state.Manifest) {
	a.applying.Lock()
	defer a.applying.Unlock()
	if uint64(manifest.Generation) < a.generation.Load() {
		return
	}
	now := a.now()
	known := make(map[string]bool, len(manifest.Organisations))
	for i := range manifest.Organisations {
		organisation := &manifest.Organisations[i]
		known[organisation.Name] = true
		a.limit(organisation, now)
	}
	for _, l := range a.limiters.Values() {
		if !known[l.organisation] {
			a.limiters.Delete(l.organisation)
		}
	}
	a.generation.Store(uint64(manifest.Generation))
}

func (a *Admission) limit(organisation *state.Organisation, now time.Time) {
	perSecond, burst := rate.Inf, max(organisation.BurstJobs, 1)
	if organisation.JobsPerSecond > 0 {
		perSecond = rate.Limit(organisation.JobsPerSecond)
	}
	known, found := a.limiters.Get(organisation.Name)
	if !found {
		known = limiter{organisation: organisation.Name, jobs: rate.NewLimiter(perSecond, burst)}
		a.limiters.Put(organisation.Name, known)
		return
	}
	known.jobs.SetLimitAt(now, perSecond)
	known.jobs.SetBurstAt(now, burst)
}
