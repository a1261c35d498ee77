package modelstore

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state"
)

const (
	// maxKeyBytes is the platform's limit of a key.
	maxKeyBytes = 200
	// loadTimeout and saveTimeout bound one call of the store.
	loadTimeout, saveTimeout = 1500 * time.Millisecond, time.Second
)

// Record is a part of what a model knows of a service.
type Record[T any] struct {
	Service string
	// Number identifies the record among those of the service.
	Number int
	Rows   []T
}

// Store keeps records of one model in the platform's store, with the keys
// "PREFIX/SERVICE/NUMBER"; every field must be set.
type Store[T any] struct {
	Store *keyvalue.Store
	// ValueBytes returns the most bytes of a value in the store; 0 is no limit.
	ValueBytes func() int
	// Prefix is that of the keys, with a slash; Noun says in errors what the rows are.
	Prefix, Noun string
	Encode       func(rows []T) ([]byte, error)
	Decode       func(text []byte) ([]T, error)
	// Validate reports what cannot be in a record.
	Validate func(r Record[T]) error
}

// Load returns all records that can be read, and an error for each of the others. If
// err is set, the store was not read.
func (st *Store[T]) Load(ctx context.Context) (records []Record[T], unreadable []error, err error) {
	return st.LoadFor(ctx, st.Writer(keyvalue.Condition{}))
}

// LoadFor is Load for a term that saves by the writer, which notes what is stored.
func (st *Store[T]) LoadFor(ctx context.Context, w *keyvalue.TermWriter) (records []Record[T], unreadable []error, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	items, _, err := st.Store.List(ctx, st.Prefix)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load the "+st.Noun)
	}
	w.NoteStored(items)
	for _, item := range items {
		r, err := st.decode(item)
		if err != nil {
			unreadable = append(unreadable, errors.Wrapf(err, "read the %s at key %s", st.Noun, item.Key))
			continue
		}
		records = append(records, r)
	}
	return records, unreadable, nil
}

func (st *Store[T]) decode(item keyvalue.Item) (r Record[T], err error) {
	name := strings.TrimPrefix(item.Key, st.Prefix)
	slash := strings.LastIndexByte(name, '/')
	if slash <= 0 {
		return r, errors.New("the key names no service")
	}
	r.Service = name[:slash]
	if r.Number, err = strconv.Atoi(name[slash+1:]); err != nil || st.key(r) != item.Key {
		return r, errors.New("the key names no record")
	}
	if r.Rows, err = st.Decode(item.Value); err != nil {
		return r, err
	}
	return r, st.Validate(r)
}

func (st *Store[T]) key(r Record[T]) string {
	return st.Prefix + r.Service + "/" + strconv.Itoa(r.Number)
}

// Writer returns what the records of a term are saved by, whose condition holds in the store
// as long as it goes on.
func (st *Store[T]) Writer(term keyvalue.Condition) *keyvalue.TermWriter {
	return &keyvalue.TermWriter{Store: st.Store, Term: term}
}

// Save stores a record, or deletes one without rows, by the term's writer; it returns a
// *keyvalue.ConflictError if the term is over. The error is keyvalue.IsRefused if the
// store never takes the record.
func (st *Store[T]) Save(ctx context.Context, w *keyvalue.TermWriter, r Record[T]) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if len(r.Rows) == 0 {
		return errors.Wrapf(w.Delete(ctx, st.key(r)), "delete the %s of %s", st.Noun, r.Service)
	}
	value, err := st.encode(r)
	if err != nil {
		return state.NewStepError("encode the "+st.Noun+" of "+r.Service, netip.AddrPort{}, state.BadRequest, err)
	}
	err = w.Put(ctx, keyvalue.Put{Key: st.key(r), Value: value})
	return errors.Wrapf(err, "save %d %s of %s", len(r.Rows), st.Noun, r.Service)
}

func (st *Store[T]) encode(r Record[T]) ([]byte, error) {
	value, err := st.Encode(r.Rows)
	if err != nil {
		return nil, err
	}
	if limit := st.ValueBytes(); limit > 0 && len(value) > limit {
		return nil, errors.Errorf("%d bytes, the store takes %d", len(value), limit)
	}
	if key := st.key(r); len(key) > maxKeyBytes {
		return nil, errors.Errorf("the key has %d bytes, the store takes %d", len(key), maxKeyBytes)
	}
	return value, nil
}
