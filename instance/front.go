package instance

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"comfreystream/coordination/front"
	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// newFront returns the front, which routes callers' jobs to the planners of the zones.
func (i *Instance) newFront() *front.Front {
	return &front.Front{
		Now:     time.Now,
		Planner: i.plannerOf,
		Zones:   i.zonesFor,
		Submit:  i.submitTo,
		Accept:  i.acceptAt,
		Await:   i.awaitAt,
		Cancel:  i.cancelAt,
		Count:   i.metrics.CountRetry,
	}
}

// newZoneWait bounds how long a job waits for the instance list to show a zone that the
// membership already knows. The list is read listPause after each answer; the rest is for
// a slow read.
const newZoneWait = 4 * listPause

// zonesFor returns the zones to try for a job, in order: those where its
// organisation has a guarantee that the job fits into, then the entry's own,
// then the others; evacuated ones come last. If all of them are evacuated, it first waits
// for a list with the zones of all live entries: in an evacuated zone the job would be
// queued until the zone is restored, although another zone may have room.
func (i *Instance) zonesFor(job *state.Job) []string {
	ctx, cancel := context.WithTimeout(i.ctx, newZoneWait)
	defer cancel()
	for {
		zones, allEvacuated := i.listedZonesFor(job)
		if !allEvacuated || containsZones(zones, i.members.Live()) || !pause.For(ctx, discoveryInterval) {
			return zones
		}
	}
}

// listedZonesFor returns the zones to try for a job by the latest instance list, and
// whether all of them are evacuated.
func (i *Instance) listedZonesFor(job *state.Job) (zones []string, allEvacuated bool) {
	zones = append([]string{i.settings.AvailabilityZone}, i.list.zones()...)
	manifest := i.rollout.Current()
	if manifest != nil {
		zones = append(guaranteedZones(manifest, job, i.settings.AvailabilityZone), zones...)
	}
	var unique []string
	for _, zone := range zones {
		if !slices.Contains(unique, zone) {
			unique = append(unique, zone)
		}
	}
	if manifest == nil {
		return unique, false
	}
	slices.SortStableFunc(unique, func(a, b string) int { return compareEvacuated(manifest.Evacuated, a, b) })
	return unique, slices.Contains(manifest.Evacuated, unique[0])
}

// containsZones reports whether the zones include those of all members.
func containsZones(zones []string, members []state.Member) bool {
	return !slices.ContainsFunc(members, func(m state.Member) bool { return !slices.Contains(zones, m.AvailabilityZone) })
}

// compareEvacuated orders evacuated zones after others.
func compareEvacuated(evacuated []string, a, b string) int {
	switch inA, inB := slices.Contains(evacuated, a), slices.Contains(evacuated, b); {
	case inA == inB:
		return 0
	case inA:
		return 1
	default:
		return -1
	}
}

// guaranteedZones returns the zones where the job's organisation has a
// guarantee that the job fits into; only the entry's own zone if it is one of them.
func guaranteedZones(manifest *state.Manifest, job *state.Job, own string) (zones []string) {
	for _, organisation := range manifest.Organisations {
		if organisation.Name != job.Organisation {
			continue
		}
		for _, g := range organisation.Guarantees {
			if !job.Total().FitsIn(g.Total()) {
				continue
			}
			if g.AvailabilityZone == own {
				return []string{own}
			}
			zones = append(zones, g.AvailabilityZone)
		}
	}
	return zones
}

func (i *Instance) submitTo(ctx context.Context, planner netip.AddrPort, job state.Job, again bool) error {
	if planner == i.Address() {
		return i.submitHere(ctx, job, again)
	}
	return i.peers.Submit(ctx, planner, job, again)
}

func (i *Instance) acceptAt(ctx context.Context, planner netip.AddrPort, job state.Job) error {
	if planner == i.Address() {
		return i.acceptHere(ctx, job)
	}
	return i.peers.Accept(ctx, planner, job)
}

func (i *Instance) awaitAt(ctx context.Context, planner netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error) {
	if planner == i.Address() {
		return i.awaitHere(ctx, job, wait)
	}
	return i.peers.Await(ctx, planner, job, wait)
}

func (i *Instance) cancelAt(ctx context.Context, planner netip.AddrPort, job state.JobID) error {
	if planner == i.Address() {
		return i.cancelHere(ctx, job)
	}
	return i.peers.Cancel(ctx, planner, job)
}

func (i *Instance) submitHere(ctx context.Context, job state.Job, again bool) error {
	d, err := i.plannerRole.Current()
	if err != nil {
		return err
	}
	return d.Submit(ctx, job, again)
}

func (i *Instance) acceptHere(ctx context.Context, job state.Job) error {
	d, err := i.plannerRole.Current()
	if err != nil {
		return err
	}
	return d.Accept(ctx, job)
}

func (i *Instance) awaitHere(ctx context.Context, job state.JobID, wait time.Duration) (state.Progress, error) {
	d, err := i.plannerRole.Current()
	if err != nil {
		return state.Progress{}, err
	}
	return d.Await(ctx, job, wait)
}

func (i *Instance) cancelHere(ctx context.Context, job state.JobID) error {
	d, err := i.plannerRole.Current()
	if err != nil {
		return err
	}
	return d.Cancel(ctx, job)
}
