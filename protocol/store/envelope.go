package store

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

// envelope is stored as an array, so the order of its fields must not change.
type envelope struct {
	_      struct{} `cbor:",toarray"`
	Writes []state.WriteID
	Value  []byte
}

// WithWriteIDs returns calls that store an entry's write IDs in an envelope around
// its value, on top of raw calls that know only keys, values and versions.
func WithWriteIDs(raw storage.Calls) storage.Calls {
	wrapped := raw
	wrapped.Get = func(ctx context.Context, key string) (state.Entry, error) {
		entry, err := raw.Get(ctx, key)
		if err != nil {
			return entry, err
		}
		return decodeEnvelope(entry)
	}
	wrapped.CompareAndSwap = func(ctx context.Context, write state.Write) (state.Version, error) {
		value, err := encodeEnvelope(write)
		if err != nil {
			return 0, err
		}
		write.Value = value
		return raw.CompareAndSwap(ctx, write)
	}
	wrapped.Watch = func(ctx context.Context, prefix string, after state.Version, wait time.Duration) ([]state.Entry, state.Version, error) {
		entries, latest, err := raw.Watch(ctx, prefix, after, wait)
		if err != nil {
			return nil, 0, err
		}
		for i := range entries {
			if entries[i], err = decodeEnvelope(entries[i]); err != nil {
				return nil, 0, err
			}
		}
		return entries, latest, nil
	}
	return wrapped
}

func encodeEnvelope(write state.Write) ([]byte, error) {
	if write.Value == nil {
		return nil, nil
	}
	value, err := cbor.Marshal(envelope{Writes: write.Writes, Value: write.Value})
	return value, errors.Wrapf(err, "encode the envelope of %s", write.Key)
}

func decodeEnvelope(entry state.Entry) (state.Entry, error) {
	if entry.Value == nil {
		return entry, nil
	}
	var e envelope
	if err := cbor.Unmarshal(entry.Value, &e); err != nil {
		return state.Entry{}, errors.Wrapf(err, "decode the envelope of %s", entry.Key)
	}
	entry.Value, entry.Writes = e.Value, e.Writes
	return entry, nil
}
