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
	// listThreshold is the number of missing parts above which listing all parts
	// is cheaper for the store than reading each one.
	listThreshold = 8
)

// readHead returns the head in the store and its store entry for a later write.
// The head is the zero Head if the store is empty.
func (r *Rollout) readHead(ctx context.Context) (Head, state.Entry, error) {
	entry, err := r.Storage.Get(ctx, storage.ForManifest, headKey)
	if err != nil || entry.Version == 0 {
		return Head{}, entry, err
	}
	head, err := r.Codec.DecodeHead(entry.Value)
	return head, entry, errors.Wrap(err, "decode "+headKey)
}

// load reads the manifest that a head from the store lists and brings it into
// force, unless a newer one is. allowReplace permits another content of the
// generation in force, since the content in the store is the valid one.
func (r *Rollout) load(ctx context.Context, head Head, allowReplace bool) error {
	current := r.newest().manifestID()
	if head.Generation < current.Generation {
		r.count(EventOlderIgnored)
		return nil
	}
	if current == (ManifestID{head.Generation, head.Digest}) {
		return nil
	}
	parts, err := r.collectParts(ctx, head)
	if err != nil {
		r.count(EventLoadFailed)
		return err
	}
	return r.advance(Update{Generation: head.Generation, Digest: head.Digest, Weights: head.Weights, Evacuated: head.Evacuated, Parts: parts}, allowReplace)
}

// collectParts returns all parts that a head lists; it reads only those that the
// latest snapshot does not have.
func (r *Rollout) collectParts(ctx context.Context, head Head) ([]Part, error) {
	latest := r.newest()
	parts := make([]Part, len(head.Parts))
	var missing []int
	for i, ref := range head.Parts {
		parts[i] = Part{Name: ref.Name, Changed: ref.Changed}
		if ref.ID == "" {
			continue
		}
		if p, found := latest.findPart(ref.Name); found && p.hash == ref.Hash {
			parts[i].Body = p.Body
			continue
		}
		missing = append(missing, i)
	}
	read := r.readPart
	if len(missing) > listThreshold {
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
			return nil, errors.Errorf("part %s of generation %d is missing from the store or has another hash", parts[i].Name, head.Generation)
		}
	}
	return parts, nil
}

func (r *Rollout) readPart(ctx context.Context, key string) ([]byte, error) {
	entry, err := r.Storage.Get(ctx, storage.ForManifest, key)
	return entry.Value, err
}

// listParts returns the bodies of all parts in the store by key.
func (r *Rollout) listParts(ctx context.Context) (map[string][]byte, error) {
	entries, _, err := r.Storage.List(ctx, storage.ForManifest, partPrefix)
	bodies := make(map[string][]byte, len(entries))
	for _, entry := range entries {
		bodies[entry.Key] = entry.Value
	}
	return bodies, err
}
