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
	concurrentWrites = 8
	dropTimeout      = time.Second
	readsOfOldData   = 5
)

// Beaten says that another manifest won: the one of that generation.
type Beaten struct {
	Generation state.Generation
}

func (e *Beaten) Error() string {
	return fmt.Sprintf("generation %d won; show the manifest in force, repeat the change on it and apply it again", e.Generation)
}

// Apply makes a manifest the next generation and returns that. It replaces
// expected only, or whichever generation is in force if expected is 0; a
// manifest that equals the one in force keeps its generation.
//
// The error is a *state.StepError: with reason olderGeneration around a *Beaten
// if another manifest won, and with reason storeUnavailable if the store
// cannot take it; only an ambiguous one may be in force all the same.
func (r *Rollout) Apply(ctx context.Context, manifest *state.Manifest, expected state.Generation) (state.Generation, error) {
	head, entry, err := r.readNewestHead(ctx, expected)
	if err != nil {
		return 0, err
	}
	known := max(head.Generation, r.newest().have().Generation)
	switch {
	case expected > known:
		return 0, r.stepError(state.StoreUnavailable, errors.Errorf("the store answers generation %d, not yet %d", known, expected))
	case expected != 0 && expected < known:
		return 0, r.beaten(known)
	}
	d, err := r.difference(head, known+1, manifest)
	if err != nil {
		return 0, err
	}
	if d.head.Digest == head.Digest && head.Generation != 0 && head.Generation == known {
		// Writing the same head again proves that the store did not answer old data.
		d = difference{head: head, all: d.all}
	}
	if err := r.writeParts(ctx, &d); err != nil {
		r.drop(ctx, d.written)
		return 0, withoutDoubt(err)
	}
	if err := r.writeHead(ctx, entry, d); err != nil {
		return 0, err
	}
	r.adopt(d)
	r.drop(ctx, d.replaced)
	return d.head.Generation, nil
}

// readNewestHead reads the head, and again while it is older than what is
// known here. A head that stays older is returned too: either the store keeps
// answering old data, and then the write conflicts, or it has lost writes.
func (r *Rollout) readNewestHead(ctx context.Context, expected state.Generation) (Head, state.Entry, error) {
	for attempt := 0; ; attempt++ {
		head, entry, err := r.readHead(ctx)
		if err != nil {
			return Head{}, state.Entry{}, withoutDoubt(err)
		}
		if head.Generation >= max(r.newest().have().Generation, expected) || attempt == readsOfOldData {
			return head, entry, nil
		}
		r.Storage.Pause(ctx, attempt)
	}
}

// difference is what has to be written to get from one head to the next.
type difference struct {
	head Head
	// all is the whole manifest, removed organisations included.
	all []Part
	// written are the new parts in the store, replaced those that nothing names afterwards.
	written  []state.Entry
	replaced []state.Entry
}

func (r *Rollout) difference(head Head, next state.Generation, manifest *state.Manifest) (difference, error) {
	d := difference{head: Head{Generation: next, Weights: manifest.Weights, Digest: hashWeights(manifest.Weights)}}
	old := make(map[string]Ref, len(head.Parts))
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
	slices.SortFunc(d.head.Parts, func(a, b Ref) int { return cmp.Compare(a.Name, b.Name) })
	return d, nil
}

func (d *difference) add(p Part, old Ref, newID func() state.WriteID) {
	hash := p.hash()
	d.head.Digest += hash
	if old.ID != "" && old.Hash == hash {
		d.list(Part{Name: p.Name, Changed: old.Changed, Body: p.Body}, old)
		return
	}
	ref := Ref{Name: p.Name, Changed: p.Changed, ID: newID(), Hash: hash}
	d.list(p, ref)
	d.written = append(d.written, state.Entry{Key: ref.key(), Value: p.Body})
	d.replace(old)
}

func (d *difference) remove(old Ref) {
	switch {
	case old.ID != "":
		p := Part{Name: old.Name, Changed: d.head.Generation}
		d.list(p, Ref{Name: p.Name, Changed: p.Changed})
		d.replace(old)
	case old.Changed+removalsKept >= d.head.Generation:
		d.list(Part{Name: old.Name, Changed: old.Changed}, old)
	}
}

func (d *difference) list(p Part, ref Ref) {
	d.head.Parts = append(d.head.Parts, ref)
	d.all = append(d.all, p)
}

func (d *difference) replace(old Ref) {
	if old.ID != "" {
		d.replaced = append(d.replaced, state.Entry{Key: old.key(), Version: old.Version})
	}
}

// located puts the versions of the written parts into the head.
func (d *difference) located() Head {
	versions := make(map[string]state.Version, len(d.written))
	for _, entry := range d.written {
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

func (r *Rollout) writeParts(ctx context.Context, d *difference) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(concurrentWrites)
	for i := range d.written {
		entry := &d.written[i]
		group.Go(func() (err error) {
			written, err := r.Storage.Put(ctx, storage.ForManifest, state.Entry{Key: entry.Key}, entry.Value, 0)
			entry.Version = written.Version
			return err
		})
	}
	return group.Wait()
}

func (r *Rollout) writeHead(ctx context.Context, entry state.Entry, d difference) error {
	value, err := r.Codec.EncodeHead(d.located())
	if err != nil {
		return errors.Wrap(err, "encode "+headKey)
	}
	_, err = r.Storage.Put(ctx, storage.ForManifest, entry, value, 0)
	var conflict *state.WriteConflict
	if !errors.As(err, &conflict) {
		return err
	}
	r.drop(ctx, d.written)
	return r.lost(ctx, conflict)
}

// lost names the generation that won. While the store answers old data it
// cannot be named, and the error says no more than that nothing was applied.
func (r *Rollout) lost(ctx context.Context, conflict *state.WriteConflict) error {
	entry, err := r.Storage.ReadFrom(ctx, storage.ForManifest, headKey, conflict.Current)
	if err != nil {
		return withoutDoubt(err)
	}
	head, err := r.Codec.DecodeHead(entry.Value)
	if err != nil {
		return errors.Wrap(err, "decode "+headKey)
	}
	return r.beaten(head.Generation)
}

// adopt takes in the manifest that was just accepted, unless a newer one is here.
func (r *Rollout) adopt(d difference) {
	_ = r.move(Update{Generation: d.head.Generation, Digest: d.head.Digest, Weights: d.head.Weights, Parts: d.all}, true)
	r.askToPush()
}

// drop deletes parts that no head names; one that stays only takes space.
func (r *Rollout) drop(ctx context.Context, parts []state.Entry) {
	ctx, cancel := context.WithTimeout(ctx, dropTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(concurrentWrites)
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
		r.count(PartsLeft)
	}
}

func (r *Rollout) beaten(by state.Generation) error {
	return r.stepError(state.OlderGeneration, &Beaten{Generation: by})
}

// withoutDoubt turns the ambiguous failure of a step before the head is
// written into a plain one: without the head nothing is in force.
func withoutDoubt(err error) error {
	var step *state.StepError
	if errors.As(err, &step) && step.Ambiguous {
		return state.NewStepError(step.Step, step.Peer, step.Reason, step.Unwrap())
	}
	return err
}
