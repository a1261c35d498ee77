package keyvalue

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// TermWriter replaces keys that only the holder of a term writes. Each write names the
// revision that it replaces, so that one that is carried out late replaces no newer one.
// It must not be used by several goroutines at once.
type TermWriter struct {
	Store *Store
	// Term holds in the store as long as the term goes on.
	Term Condition
	// revisions holds those of the keys, as far as they are known.
	revisions map[string]Revision
}

// NoteStored notes at which revisions keys were read. A first write of a key that was not
// read is taken for its creation.
func (w *TermWriter) NoteStored(items []Item) {
	w.init()
	for _, item := range items {
		w.revisions[item.Key] = item.Revision
	}
}

func (w *TermWriter) init() {
	if w.revisions == nil {
		w.revisions = make(map[string]Revision)
	}
}

// Put writes a key. The error is a *ConflictError if the term is over.
func (w *TermWriter) Put(ctx context.Context, put Put) error {
	return w.replace(ctx, put.Key, Change{Puts: []Put{put}}, false)
}

// Delete deletes a key. The error is a *ConflictError if the term is over. A first write
// of the key that is still under way may create it afterwards.
func (w *TermWriter) Delete(ctx context.Context, key string) error {
	return w.replace(ctx, key, Change{Deletes: []string{key}}, true)
}

// replace makes a change of one key. A conflict on the key names the revision of an earlier
// write of the same term or of an earlier one, which the change replaces.
func (w *TermWriter) replace(ctx context.Context, key string, change Change, deleted bool) error {
	w.init()
	for {
		known := w.revisions[key]
		change.Conditions = []Condition{w.Term, {Key: key, Revision: known}}
		revision, err := w.Store.Commit(ctx, change)
		var conflict *ConflictError
		switch {
		case err == nil && deleted:
			delete(w.revisions, key)
			return nil
		case err == nil:
			w.revisions[key] = revision
			return nil
		case !errors.As(err, &conflict):
			return err
		}
		if term, _ := conflict.Find(w.Term.Key); term.Revision != w.Term.Revision {
			return err
		}
		stored, _ := conflict.Find(key)
		if stored.Revision == known {
			return state.NewStepError("replace a key", netip.AddrPort{}, state.StoreUnavailable, err)
		}
		w.revisions[key] = stored.Revision
	}
}
