package instance

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"comfreystream/coordination/ownership"
	"comfreystream/state"
)

// rolesInterval is the longest time between two role updates.
const rolesInterval = 500 * time.Millisecond

// announceTimeout is the timeout of the call that announces a new planner to another entry.
const announceTimeout = time.Second

// requestRoleUpdate triggers a role update; it does not wait for it.
func (i *Instance) requestRoleUpdate() {
	select {
	case i.roleUpdates <- struct{}{}:
	default:
	}
}

// listChanged seeds the membership with the entries of a new instance list, or
// counts a failed read.
func (i *Instance) listChanged(err error) {
	if err != nil {
		i.metrics.CountRetry(state.ReasonOf(err, state.ConnectionLost))
		return
	}
	i.members.Seed(append(slices.Clone(i.settings.Seeds), i.list.entries()...))
	i.requestRoleUpdate()
}

// runRoles updates the entry's roles after each change and every rolesInterval
// until the entry is closed; a leaving entry only advertises.
func (i *Instance) runRoles() {
	ticker := time.NewTicker(rolesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-i.roleUpdates:
		case <-ticker.C:
		}
		i.advertise()
		if i.leaving.Load() {
			continue
		}
		i.updateRoles()
	}
}

// advertise publishes to the other entries which manifest is in force here.
func (i *Instance) advertise() {
	generation, digest := i.rollout.Advert()
	i.members.SetAdvert(state.Advert{Generation: generation, Digest: digest})
}

// updateRoles takes on the roles that the membership view assigns to this
// entry. It takes none, and gives up the planner's, while the view is out of
// date: an entry that was paused must first learn what has changed since.
func (i *Instance) updateRoles() {
	zone := i.settings.AvailabilityZone
	if !i.members.Fresh() {
		i.plannerRole.SetActive(false)
		return
	}
	members := i.members.LiveIn(zone)
	var ownWorkers []state.Worker
	for _, w := range i.list.workersIn(zone) {
		if home, found := ownership.RackHome(w.Rack, members); found && home.Address == i.Address() {
			ownWorkers = append(ownWorkers, w)
		}
	}
	i.keeper.SetWorkers(ownWorkers)
	planner, found := ownership.Planner(zone, members)
	i.setPlanner(found && planner.Address == i.Address())
	i.reannounceOnPlannerChange(planner.Address)
}

func (i *Instance) setPlanner(active bool) {
	if active == i.plannerRole.Active() {
		return
	}
	i.log.Info().Str("event", "plannerRole").Bool("active", active).Send()
	i.plannerRole.SetActive(active)
	if active {
		i.loops.Go(i.announcePlanner)
	}
	// A manifest that arrived while the dispatcher was created was not applied to it.
	if d, err := i.plannerRole.Current(); err == nil {
		d.ApplyManifest(i.rollout.Newest())
	}
}

// announcePlanner asks the homes of the zone's racks for full reports. Homes
// that it cannot reach report at their next interval or when they notice the change.
func (i *Instance) announcePlanner() {
	i.keeper.ReportInFull()
	for _, peer := range i.zonePeers() {
		i.loops.Go(func() {
			ctx, cancel := context.WithTimeout(i.ctx, announceTimeout)
			defer cancel()
			if err := i.peers.Announce(ctx, peer); err != nil {
				i.metrics.CountRetry(state.ReasonOf(err, state.HomeUnreachable))
			}
		})
	}
}

// reannounceOnPlannerChange sends full reports on this entry's racks if the zone's planner has changed.
func (i *Instance) reannounceOnPlannerChange(planner netip.AddrPort) {
	if planner == i.lastPlanner {
		return
	}
	i.lastPlanner = planner
	i.keeper.ReportInFull()
}

// isRelay reports whether this entry watches the store for its zone.
func (i *Instance) isRelay() bool {
	relay, found := ownership.Relay(i.settings.AvailabilityZone, i.members.LiveIn(i.settings.AvailabilityZone))
	return found && relay.Address == i.Address() && !i.leaving.Load()
}

// plannerOf returns the planner of a zone according to this entry's membership view.
func (i *Instance) plannerOf(availabilityZone string) (netip.AddrPort, bool) {
	planner, found := ownership.Planner(availabilityZone, i.members.LiveIn(availabilityZone))
	return planner.Address, found
}

// homeOf returns the home of a rack of this entry's zone.
func (i *Instance) homeOf(rack string) (netip.AddrPort, error) {
	zone := i.settings.AvailabilityZone
	home, found := ownership.RackHome(state.Rack{Name: rack, AvailabilityZone: zone}, i.members.LiveIn(zone))
	if !found {
		return netip.AddrPort{}, state.NewStepError("find home of rack "+rack, netip.AddrPort{}, state.HomeUnreachable, nil)
	}
	return home.Address, nil
}

// IsPlanner reports whether this entry is its zone's planner.
func (i *Instance) IsPlanner() bool { return i.plannerRole.Active() }
