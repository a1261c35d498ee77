package rollout

import (
	"context"

	"github.com/pkg/errors"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

const (
	headKey    = "manifest/head"
	partPrefix = "manifest/part/"
	// listAbove is the number of missing parts from which listing all costs less
	// of the store than reading each.
	listAbove = 8
)

// readHead returns the head in the store, with its entry for a later write; an
// empty store has the zero Head.
func (r *Rollout) readHead(ctx context.Context) (Head, state.Entry, error) {
	entry, err := r.Storage.Get(ctx, storage.ForManifest, headKey)
	if err != nil || entry.Version == 0 {
		return Head{}, entry, err
	}
	head, err := r.Codec.DecodeHead(entry.Value)
	return head, entry, errors.Wrap(err, "decode "+headKey)
}

// load takes in the manifest that a head from the store names. replace allows
// other content of the generation in force, since the store decides.
func (r *Rollout) load(ctx context.Context, head Head, replace bool) error {
	have := r.newest().have()
	if head.Generation < have.Generation {
		r.count(OlderIgnored)
		return nil
	}
	if have == (Have{head.Generation, head.Digest}) {
		return nil
	}
	parts, err := r.collect(ctx, head)
	if err != nil {
		r.count(LoadFailed)
		return err
	}
	return r.move(Update{Generation: head.Generation, Digest: head.Digest, Weights: head.Weights, Parts: parts}, replace)
}

// collect returns all parts that a head names, from what is held where it can.
func (r *Rollout) collect(ctx context.Context, head Head) ([]Part, error) {
	held := r.newest()
	parts := make([]Part, len(head.Parts))
	var missing []int
	for i, ref := range head.Parts {
		parts[i] = Part{Name: ref.Name, Changed: ref.Changed}
		if ref.ID == "" {
			continue
		}
		if p, found := held.find(ref.Name); found && p.hash == ref.Hash {
			parts[i].Body = p.Body
			continue
		}
		missing = append(missing, i)
	}
	read := r.readPart
	if len(missing) > listAbove {
		bodies, err := r.listParts(ctx)
		if err != nil {
			return nil, err
		}
		read = func(_ context.Context, key string) ([]byte, error) { return bodies[key], nil }
	}
	for _, i := range missing {
		body, err := read(ctx, head.Parts[i].key())
		if err != nil {
			return nil, err
		}
		parts[i].Body = body
		if parts[i].hash() != head.Parts[i].Hash {
			return nil, errors.Errorf("part %s of generation %d is not in the store's answer", parts[i].Name, head.Generation)
		}
	}
	return parts, nil
}

func (r *Rollout) readPart(ctx context.Context, key string) ([]byte, error) {
	entry, err := r.Storage.Get(ctx, storage.ForManifest, key)
	return entry.Value, err
}

func (r *Rollout) listParts(ctx context.Context) (map[string][]byte, error) {
	entries, _, err := r.Storage.List(ctx, storage.ForManifest, partPrefix)
	bodies := make(map[string][]byte, len(entries))
	for _, entry := range entries {
		bodies[entry.Key] = entry.Value
	}
	return bodies, err
}
