package admission

import (
	"time"

	"golang.org/x/time/rate"

	"comfreystream/state"
)

// Apply applies the rate limits of the manifest. An organisation does not get
// its used burst back. A manifest older than the current one is ignored.
func (a *Admission) Apply(manifest *state.Manifest) {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	if uint64(manifest.Generation) < a.generation.Load() {
		return
	}
	now := a.now()
	known := make(map[string]bool, len(manifest.Organisations))
	for i := range manifest.Organisations {
		organisation := &manifest.Organisations[i]
		known[organisation.Name] = true
		a.setRateLimit(organisation, now)
	}
	for _, l := range a.limiters.Values() {
		if !known[l.organisation] {
			a.limiters.Delete(l.organisation)
		}
	}
	a.generation.Store(uint64(manifest.Generation))
}

func (a *Admission) setRateLimit(organisation *state.Organisation, now time.Time) {
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
