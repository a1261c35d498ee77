package rollout

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

const (
	maxConcurrentWrites = 8
	deletePartsTimeout  = time.Second
	// maxHeadRereads is how often a head is read again that is older than a known one.
	maxHeadRereads = 5
)

// ConflictError is the error of an Apply that lost to another manifest; Generation is that one's.
type ConflictError struct {
	Generation state.Generation
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d won; show the manifest in force, repeat the change on it and apply it again", e.Generation)
}

// Apply stores a manifest as the next generation and returns that generation. It
// replaces generation expected only, or any if expected is 0. A manifest that
// equals the one in force keeps its generation.
//
// The error is a *state.StepError: with reason olderGeneration around a *ConflictError
// if another manifest was accepted first, with reason storeUnavailable if the
// store failed. Only after an ambiguous error may the manifest be in force.
func (r *Rollout) Apply(ctx context.Context, manifest *state.Manifest, expected state.Generation) (state.Generation, error) {
	head, entry, err := r.readNewestHead(ctx, expected)
	if err != nil {
		return 0, err
	}
	known := max(head.Generation, r.newest().manifestID().Generation)
	switch {
	case expected > known:
		return 0, r.stepError(state.StoreUnavailable, errors.Errorf("the store returned generation %d, but generation %d is expected", known, expected))
	case expected != 0 && expected < known:
		return 0, r.newConflictError(known)
	}
	d, err := r.diff(head, known+1, manifest)
	if err != nil {
		return 0, err
	}
	if d.head.Digest == head.Digest && head.Generation != 0 && head.Generation == known {
		// The head is written again although it is unchanged: the write succeeds only
		// if the head that was read was not stale.
		d = changeset{head: head, allParts: d.allParts}
	}
	if err := r.writeParts(ctx, &d); err != nil {
		r.deleteParts(ctx, d.newParts)
		return 0, asUnambiguous(err)
	}
	if err := r.writeHead(ctx, entry, d); err != nil {
		return 0, err
	}
	r.adoptApplied(d)
	r.deleteParts(ctx, d.obsoleteParts)
	return d.head.Generation, nil
}

// readNewestHead reads the head, and reads it again while it is older than the
// newest known generation. It returns a head that stays older too: either the
// store keeps returning stale data, and then the write conflicts, or it has lost
// writes.
func (r *Rollout) readNewestHead(ctx context.Context, expected state.Generation) (Head, state.Entry, error) {
	for attempt := 0; ; attempt++ {
		head, entry, err := r.readHead(ctx)
		if err != nil {
			return Head{}, state.Entry{}, asUnambiguous(err)
		}
		if head.Generation >= max(r.newest().manifestID().Generation, expected) || attempt == maxHeadRereads {
			return head, entry, nil
		}
		r.Storage.Backoff(ctx, attempt)
	}
}

// changeset is what has to be written to get from one head to the next.
type changeset struct {
	head Head
	// allParts is the whole manifest, removed organisations included.
	allParts []Part
	// newParts are the store entries to write.
	newParts []state.Entry
	// obsoleteParts are the store entries that no head lists afterwards.
	obsoleteParts []state.Entry
}

// diff returns the changeset from the head to generation next with the manifest.
func (r *Rollout) diff(head Head, next state.Generation, manifest *state.Manifest) (changeset, error) {
	d := changeset{head: Head{
		Generation: next, Weights: manifest.Weights, Evacuated: manifest.Evacuated,
		Digest: hashWeights(manifest.Weights) + hashEvacuated(manifest.Evacuated),
	}}
	old := make(map[string]PartRef, len(head.Parts))
	for _, ref := range head.Parts {
		old[ref.Name] = ref
	}
	for i := range manifest.Organisations {
		organisation := &manifest.Organisations[i]
		body, err := r.Codec.EncodePart(organisation)
		if err != nil {
			return d, errors.Wrapf(err, "encode part %s", organisation.Name)
		}
		d.add(Part{Name: organisation.Name, Changed: d.head.Generation, Body: body}, old[organisation.Name], r.Storage.NewWriteID)
		delete(old, organisation.Name)
	}
	for _, ref := range old {
		d.remove(ref)
	}
	slices.SortFunc(d.head.Parts, func(a, b PartRef) int { return cmp.Compare(a.Name, b.Name) })
	return d, nil
}

// add lists a part, and writes it unless the old head has the same content.
func (d *changeset) add(p Part, old PartRef, newID func() state.WriteID) {
	hash := p.hash()
	d.head.Digest += hash
	if old.ID != "" && old.Hash == hash {
		d.appendPart(Part{Name: p.Name, Changed: old.Changed, Body: p.Body}, old)
		return
	}
	ref := PartRef{Name: p.Name, Changed: p.Changed, ID: newID(), Hash: hash}
	d.appendPart(p, ref)
	d.newParts = append(d.newParts, state.Entry{Key: ref.key(), Value: p.Body})
	d.markObsolete(old)
}

// remove lists the part of a removed organisation without a body, for
// removalRetention generations.
func (d *changeset) remove(old PartRef) {
	switch {
	case old.ID != "":
		p := Part{Name: old.Name, Changed: d.head.Generation}
		d.appendPart(p, PartRef{Name: p.Name, Changed: p.Changed})
		d.markObsolete(old)
	case old.Changed+removalRetention >= d.head.Generation:
		d.appendPart(Part{Name: old.Name, Changed: old.Changed}, old)
	}
}

func (d *changeset) appendPart(p Part, ref PartRef) {
	d.head.Parts = append(d.head.Parts, ref)
	d.allParts = append(d.allParts, p)
}

func (d *changeset) markObsolete(old PartRef) {
	if old.ID != "" {
		d.obsoleteParts = append(d.obsoleteParts, state.Entry{Key: old.key(), Version: old.Version})
	}
}

// headWithVersions returns the head with the versions of the written parts.
func (d *changeset) headWithVersions() Head {
	versions := make(map[string]state.Version, len(d.newParts))
	for _, entry := range d.newParts {
		versions[entry.Key] = entry.Version
	}
	for i := range d.head.Parts {
		ref := &d.head.Parts[i]
		if version, written := versions[ref.key()]; written {
			ref.Version = version
		}
	}
	return d.head
}

func (r *Rollout) writeParts(ctx context.Context, d *changeset) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentWrites)
	for i := range d.newParts {
		entry := &d.newParts[i]
		group.Go(func() (err error) {
			written, err := r.Storage.Put(ctx, storage.ForManifest, state.Entry{Key: entry.Key}, entry.Value, 0)
			entry.Version = written.Version
			return err
		})
	}
	return group.Wait()
}

func (r *Rollout) writeHead(ctx context.Context, entry state.Entry, d changeset) error {
	value, err := r.Codec.EncodeHead(d.headWithVersions())
	if err != nil {
		return errors.Wrap(err, "encode "+headKey)
	}
	_, err = r.Storage.Put(ctx, storage.ForManifest, entry, value, 0)
	var conflict *state.WriteConflict
	if !errors.As(err, &conflict) {
		return err
	}
	r.deleteParts(ctx, d.newParts)
	return r.conflictError(ctx, conflict)
}

// conflictError returns a ConflictError with the generation that was accepted first. If
// that cannot be read because the store returns stale data, the error only says
// that nothing was applied.
func (r *Rollout) conflictError(ctx context.Context, conflict *state.WriteConflict) error {
	entry, err := r.Storage.ReadAtLeast(ctx, storage.ForManifest, headKey, conflict.Current)
	if err != nil {
		return asUnambiguous(err)
	}
	head, err := r.Codec.DecodeHead(entry.Value)
	if err != nil {
		return errors.Wrap(err, "decode "+headKey)
	}
	return r.newConflictError(head.Generation)
}

// adoptApplied brings the accepted manifest into force here, unless there is a
// newer one, and requests a push.
func (r *Rollout) adoptApplied(d changeset) {
	_ = r.advance(Update{Generation: d.head.Generation, Digest: d.head.Digest, Weights: d.head.Weights, Evacuated: d.head.Evacuated, Parts: d.allParts}, true)
	r.requestPush()
}

// deleteParts deletes parts that no head lists. Failures are only counted, since
// a leftover part does no harm but use space.
func (r *Rollout) deleteParts(ctx context.Context, parts []state.Entry) {
	ctx, cancel := context.WithTimeout(ctx, deletePartsTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentWrites)
	for _, entry := range parts {
		if entry.Version == 0 {
			continue
		}
		group.Go(func() error {
			_, err := r.Storage.Put(ctx, storage.ForManifest, entry, nil, 0)
			return err
		})
	}
	if group.Wait() != nil {
		r.count(EventPartsLeft)
	}
}

func (r *Rollout) newConflictError(winner state.Generation) error {
	return r.stepError(state.OlderGeneration, &ConflictError{Generation: winner})
}

// asUnambiguous removes the ambiguity from the failure of a step before the head
// is written: until then no manifest comes into force.
func asUnambiguous(err error) error {
	var step *state.StepError
	if errors.As(err, &step) && step.Ambiguous {
		return state.NewStepError(step.Step, step.Peer, step.Reason, step.Unwrap())
	}
	return err
}
