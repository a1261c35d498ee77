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
	// applyTimeout is how long an operator waits for all live entries.
	applyTimeout = 6 * time.Second
	// meetTimeout is how long an entry that starts looks for others before it asks the store.
	meetTimeout = 3 * time.Second
	meetPause   = 50 * time.Millisecond
	// manifestName stands for the file's name in messages about a body.
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
	r.Others = i.otherMembers
	r.Push = i.peers.PushManifest
	r.Fetch = i.peers.FetchManifest
	r.InForce = i.manifestInForce
	r.Count = i.metrics.CountRollout
	return r
}

// runRollout first lets the entry meet others: the store may answer old data,
// and only they can tell that there is a newer manifest.
func (i *Instance) runRollout() {
	ctx, cancel := context.WithTimeout(i.ctx, meetTimeout)
	defer cancel()
	for !i.hasMet() && pause.For(ctx, meetPause) {
		continue
	}
	i.rollout.Run(i.ctx, i.isRelay)
}

// hasMet reports whether another entry of the zone is a live member, or one of
// another zone if the list names none of this zone, or the list names no other.
func (i *Instance) hasMet() bool {
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

// otherMembers returns all the live entries but this one.
func (i *Instance) otherMembers() []netip.AddrPort {
	return i.othersOf(i.members.Live())
}

// othersOf returns the addresses of the members but for this entry's own.
func (i *Instance) othersOf(members []state.Member) (others []netip.AddrPort) {
	for _, m := range members {
		if m.Address != i.Address() {
			others = append(others, m.Address)
		}
	}
	return others
}

// manifestInForce puts a higher generation in force here; the adverts that
// tell the others follow with the next look at the roles.
func (i *Instance) manifestInForce(m *state.Manifest) {
	if d, err := i.seat.Current(); err == nil {
		d.ApplyManifest(m)
	}
	i.rolesChanged()
	i.log.Info().Str("event", "manifestInForce").Uint64("generation", uint64(m.Generation)).Send()
}

// apply checks a manifest, has the store accept it, and waits until every live
// entry has it in force or time is up.
func (i *Instance) apply(ctx context.Context, change caller.Change) (applied caller.Applied, err error) {
	m, err := manifest.Decode(manifestName, change.File)
	if err != nil {
		return applied, state.NewStepError("apply", i.Address(), state.BadRequest, err)
	}
	if misfits := planning.CheckGuarantees(m, i.list.latest.Load().Workers); len(misfits) > 0 {
		return applied, state.NewStepError("apply", i.Address(), state.NeverFits, describe(misfits[0]))
	}
	expected := m.Generation
	if change.Conditional {
		expected = change.Expected
	}
	applied.Generation, err = i.rollout.Apply(ctx, m, expected)
	if err != nil {
		var beaten *rollout.Beaten
		if errors.As(err, &beaten) {
			applied.Generation = beaten.Generation
		}
		return applied, err
	}
	i.awaitInForce(ctx, &applied)
	return applied, nil
}

func describe(misfit planning.Misfit) error {
	return errors.Errorf("organisations[%s].guarantees[%d]: %d members do not fit into the racks of %s; lower members or add workers",
		misfit.Organisation, misfit.Index, misfit.Guarantee.Members, misfit.Guarantee.AvailabilityZone)
}

func (i *Instance) awaitInForce(ctx context.Context, applied *caller.Applied) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	progress := rollout.Await(ctx, applied.Generation, i.entriesToReach(), i.inForceAt)
	applied.InForce = progress.Reached
	applied.Unreachable = slices.Concat(progress.Unreachable, progress.Behind)
}

// entriesToReach returns the live entries and those that the instance list names.
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

// inForceAt returns what an entry has in force: it asks for an update from a
// generation that is never reached, which has no parts.
func (i *Instance) inForceAt(ctx context.Context, entry netip.AddrPort) (rollout.Have, error) {
	generation, digest := i.rollout.Advert()
	if entry == i.Address() {
		return rollout.Have{Generation: generation, Digest: digest}, nil
	}
	update, err := i.peers.FetchManifest(ctx, entry, rollout.Have{Generation: generation, Digest: digest})
	return rollout.Have{Generation: update.Generation, Digest: update.Digest}, err
}

// manifestFile returns the manifest in force as operators write it.
func (i *Instance) manifestFile(context.Context) (state.Generation, []byte, error) {
	m := i.rollout.Current()
	if m == nil {
		return 0, nil, state.NewStepError("show manifest", i.Address(), state.NoManifest, nil)
	}
	return m.Generation, manifest.Encode(m), nil
}
