package instance

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/pause"
	"comfreystream/coordination/planning"
	"comfreystream/coordination/rollout"
	"comfreystream/coordination/storage"
	"comfreystream/protocol/caller"
	"comfreystream/protocol/manifest"
	"comfreystream/protocol/store"
	"comfreystream/state"
)

const (
	// applyTimeout is how long apply waits for all live entries.
	applyTimeout = 6 * time.Second
	// discoveryTimeout is how long a starting entry waits to find others before it asks the store.
	discoveryTimeout  = 3 * time.Second
	discoveryInterval = 50 * time.Millisecond
	// manifestName replaces the file name in errors about a request body.
	manifestName = "manifest"
)

func (i *Instance) newStorage() *storage.Storage {
	client := &store.Client{Connections: i.connections, Peer: i.settings.Store}
	s := storage.New(client.Calls(), i.settings.StoreCallsPerSecond)
	s.Peer = i.settings.Store
	s.Count = i.metrics.CountStoreCall
	return s
}

func (i *Instance) newRollout() *rollout.Rollout {
	r := rollout.New(i.storage, manifest.Codec())
	r.Peers = i.zonePeers
	r.OtherZoneEntries = i.otherMembers
	r.Push = i.peers.PushManifest
	r.Fetch = i.peers.FetchManifest
	r.Activate = i.manifestInForce
	r.Count = i.metrics.CountRolloutEvent
	return r
}

// runRollout first waits until other entries are found: the store may return
// old data, and only the other entries can know of a newer manifest.
func (i *Instance) runRollout() {
	ctx, cancel := context.WithTimeout(i.ctx, discoveryTimeout)
	defer cancel()
	for !i.hasFoundPeers() && pause.For(ctx, discoveryInterval) {
		continue
	}
	i.rollout.Run(i.ctx, i.isRelay)
}

// hasFoundPeers reports whether there is nobody left to wait for: another entry
// of the zone is a live member; or the instance list has no other entry of this
// zone, and one of another zone is a live member; or the list has no other entry at all.
func (i *Instance) hasFoundPeers() bool {
	if len(i.zonePeers()) > 0 {
		return true
	}
	list := i.list.latest.Load()
	others := slices.DeleteFunc(slices.Clone(list.Entries), func(e state.Instance) bool { return e.Leaving || e.Address == i.Address() })
	if len(list.Workers) == 0 || slices.ContainsFunc(others, func(e state.Instance) bool {
		return e.AvailabilityZone == i.settings.AvailabilityZone
	}) {
		return false
	}
	return len(others) == 0 || len(i.members.Live()) > 1
}

// zonePeers returns the other live entries of the zone.
func (i *Instance) zonePeers() []netip.AddrPort {
	return i.othersOf(i.members.LiveIn(i.settings.AvailabilityZone))
}

// otherMembers returns the live entries of all zones except this one.
func (i *Instance) otherMembers() []netip.AddrPort {
	return i.othersOf(i.members.Live())
}

// othersOf returns the addresses of the members except this entry's own.
func (i *Instance) othersOf(members []state.Member) (others []netip.AddrPort) {
	for _, m := range members {
		if m.Address != i.Address() {
			others = append(others, m.Address)
		}
	}
	return others
}

// manifestInForce applies a new generation to the dispatcher, if this entry is
// the planner; the next role update advertises it to the other entries.
func (i *Instance) manifestInForce(m *state.Manifest) {
	if d, err := i.plannerRole.Current(); err == nil {
		d.ApplyManifest(m)
	}
	i.requestRoleUpdate()
	i.log.Info().Str("event", "manifestInForce").Uint64("generation", uint64(m.Generation)).Send()
}

// apply validates a manifest, commits it to the store, and waits until every
// live entry has it in force or applyTimeout has passed.
func (i *Instance) apply(ctx context.Context, change caller.ManifestChange) (applied caller.AppliedManifest, err error) {
	m, err := manifest.Decode(manifestName, change.File)
	if err != nil {
		return applied, state.NewStepError("apply", i.Address(), state.BadRequest, err)
	}
	if unplaceable := planning.CheckGuarantees(m, i.list.latest.Load().Workers); len(unplaceable) > 0 {
		return applied, state.NewStepError("apply", i.Address(), state.NeverFits, unplaceableGuaranteeError(unplaceable[0]))
	}
	expected := m.Generation
	if change.Conditional {
		expected = change.Expected
	}
	applied.Generation, err = i.rollout.Apply(ctx, m, expected)
	if err != nil {
		var conflict *rollout.ConflictError
		if errors.As(err, &conflict) {
			applied.Generation = conflict.Generation
		}
		return applied, err
	}
	i.awaitInForce(ctx, &applied)
	return applied, nil
}

func unplaceableGuaranteeError(unplaceable planning.UnplaceableGuarantee) error {
	return errors.Errorf("organisations[%s].guarantees[%d]: %d members do not fit into the racks of %s; lower members or add workers",
		unplaceable.Organisation, unplaceable.Index, unplaceable.Guarantee.Members, unplaceable.Guarantee.AvailabilityZone)
}

func (i *Instance) awaitInForce(ctx context.Context, applied *caller.AppliedManifest) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	progress := rollout.Await(ctx, applied.Generation, i.entriesToReach(), i.inForceAt)
	applied.InForce = progress.Reached
	applied.Unreachable = slices.Concat(progress.Unreachable, progress.Behind)
}

// entriesToReach returns the live entries and those in the instance list.
func (i *Instance) entriesToReach() (entries []netip.AddrPort) {
	seen := make(map[netip.AddrPort]bool)
	for _, m := range i.members.Live() {
		seen[m.Address] = true
		entries = append(entries, m.Address)
	}
	for _, address := range i.list.entries() {
		if !seen[address] {
			entries = append(entries, address)
		}
	}
	return entries
}

// inForceAt returns what an entry has in force. It asks for the update since
// this entry's own generation, which carries no parts if both have the same.
func (i *Instance) inForceAt(ctx context.Context, entry netip.AddrPort) (rollout.ManifestID, error) {
	generation, digest := i.rollout.Advert()
	if entry == i.Address() {
		return rollout.ManifestID{Generation: generation, Digest: digest}, nil
	}
	update, err := i.peers.FetchManifest(ctx, entry, rollout.ManifestID{Generation: generation, Digest: digest})
	return rollout.ManifestID{Generation: update.Generation, Digest: update.Digest}, err
}

// manifestFile returns the manifest in force in the file format of operators.
func (i *Instance) manifestFile(context.Context) (state.Generation, []byte, error) {
	m := i.rollout.Current()
	if m == nil {
		return 0, nil, state.NewStepError("show manifest", i.Address(), state.NoManifest, nil)
	}
	return m.Generation, manifest.Encode(m), nil
}
