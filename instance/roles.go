package instance

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"comfreystream/coordination/ownership"
	"comfreystream/state"
)

// rolesInterval is the longest time between two looks at which roles are this entry's.
const rolesInterval = 500 * time.Millisecond

// announceTimeout bounds the call that tells another entry of a new planner.
const announceTimeout = time.Second

// rolesChanged asks for a new look at the roles.
func (i *Instance) rolesChanged() {
	select {
	case i.rolesDue <- struct{}{}:
	default:
	}
}

// listChanged takes over a new instance list.
func (i *Instance) listChanged(err error) {
	if err != nil {
		i.metrics.CountRetry(state.ReasonOf(err, state.ConnectionLost))
		return
	}
	i.members.Seed(append(slices.Clone(i.settings.Seeds), i.list.entries()...))
	i.rolesChanged()
}

// assignRoles gives the entry the roles that its view of the members says are its own.
func (i *Instance) assignRoles() {
	ticker := time.NewTicker(rolesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-i.rolesDue:
		case <-ticker.C:
		}
		i.advertise()
		if i.leaving.Load() {
			continue
		}
		i.assignOnce()
	}
}

// advertise tells the other entries which manifest is in force here.
func (i *Instance) advertise() {
	generation, digest := i.rollout.Advert()
	i.members.SetAdvert(state.Advert{Generation: generation, Digest: digest})
}

// assignOnce takes up no role on a view that is out of date: an entry that was
// paused first hears what has happened since.
func (i *Instance) assignOnce() {
	zone := i.settings.AvailabilityZone
	if !i.members.Fresh() {
		i.seat.SetActive(false)
		return
	}
	members := i.members.LiveIn(zone)
	var mine []state.Worker
	for _, w := range i.list.workersIn(zone) {
		if home, found := ownership.RackHome(w.Rack, members); found && home.Address == i.Address() {
			mine = append(mine, w)
		}
	}
	i.keeper.SetWorkers(mine)
	planner, found := ownership.Planner(zone, members)
	i.setPlanner(found && planner.Address == i.Address())
	i.noticePlanner(planner.Address)
}

func (i *Instance) setPlanner(active bool) {
	if active == i.seat.Active() {
		return
	}
	i.log.Info().Str("event", "plannerRole").Bool("active", active).Send()
	i.seat.SetActive(active)
	if active {
		i.loops.Go(i.announcePlanner)
	}
	// A manifest that came while the planner was made found no seat to apply it to.
	if d, err := i.seat.Current(); err == nil {
		d.ApplyManifest(i.rollout.Newest())
	}
}

// announcePlanner asks the homes of the zone's racks for full reports. Homes
// that it does not reach report within their interval, or when they see the change.
func (i *Instance) announcePlanner() {
	i.keeper.Announce()
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

// noticePlanner has this entry's racks reported anew once the zone's planner changes.
func (i *Instance) noticePlanner(planner netip.AddrPort) {
	if planner == i.lastPlanner {
		return
	}
	i.lastPlanner = planner
	i.keeper.Announce()
}

// isRelay reports whether this entry watches the store for its zone.
func (i *Instance) isRelay() bool {
	relay, found := ownership.Relay(i.settings.AvailabilityZone, i.members.LiveIn(i.settings.AvailabilityZone))
	return found && relay.Address == i.Address() && !i.leaving.Load()
}

// plannerOf returns the planner of a zone, by this entry's view.
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

// Plans reports whether this entry is its zone's planner.
func (i *Instance) Plans() bool { return i.seat.Active() }
