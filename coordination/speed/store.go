package speed

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
	// storePrefix is that of the keys of all records, "speed/SERVICE/NUMBER".
	storePrefix = "speed/"
	// maxKeyBytes is the platform's limit of a key.
	maxKeyBytes = 200
	// loadTimeout and saveTimeout bound one call of the store.
	loadTimeout, saveTimeout = 1500 * time.Millisecond, time.Second
)

// StoredRecord is a record of the workers of a service.
type StoredRecord struct {
	Service string
	Record
}

// Store keeps records in the platform's store; every field must be set.
type Store struct {
	Store *keyvalue.Store
	// ValueBytes returns the most bytes of a value in the store; 0 is no limit.
	ValueBytes func() int
	Encode     func(workers []WorkerSpeed) ([]byte, error)
	Decode     func(text []byte) ([]WorkerSpeed, error)
}

// Load returns all records that can be read, and an error for each of the others. If
// err is set, the store was not read.
func (st *Store) Load(ctx context.Context) (records []StoredRecord, unreadable []error, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	items, _, err := st.Store.List(ctx, storePrefix)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load the speeds of workers")
	}
	for _, item := range items {
		r, err := st.decode(item)
		if err != nil {
			unreadable = append(unreadable, errors.Wrapf(err, "read the speeds at key %s", item.Key))
			continue
		}
		records = append(records, r)
	}
	return records, unreadable, nil
}

func (st *Store) decode(item keyvalue.Item) (r StoredRecord, err error) {
	name := strings.TrimPrefix(item.Key, storePrefix)
	slash := strings.LastIndexByte(name, '/')
	if slash <= 0 {
		return r, errors.New("the key names no service")
	}
	r.Service = name[:slash]
	if r.Number, err = strconv.Atoi(name[slash+1:]); err != nil || r.key() != item.Key {
		return r, errors.New("the key names no record")
	}
	if r.Workers, err = st.Decode(item.Value); err != nil {
		return r, err
	}
	return r, r.validate()
}

func (r *StoredRecord) key() string { return storePrefix + r.Service + "/" + strconv.Itoa(r.Number) }

// Save stores a record, or deletes one without workers, while the term's condition
// holds; it returns a *keyvalue.ConflictError if it does not. The error is
// keyvalue.IsRefused if the store never takes the record.
func (st *Store) Save(ctx context.Context, term keyvalue.Condition, r StoredRecord) error {
	change := keyvalue.Change{Conditions: []keyvalue.Condition{term}}
	if len(r.Workers) == 0 {
		change.Deletes = []string{r.key()}
	} else {
		value, err := st.encode(r)
		if err != nil {
			return state.NewStepError("encode the speeds of workers of "+r.Service, netip.AddrPort{}, state.BadRequest, err)
		}
		change.Puts = []keyvalue.Put{{Key: r.key(), Value: value}}
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	_, err := st.Store.Commit(ctx, change)
	return errors.Wrapf(err, "save the speeds of %d workers of %s", len(r.Workers), r.Service)
}

func (st *Store) encode(r StoredRecord) ([]byte, error) {
	value, err := st.Encode(r.Workers)
	if err != nil {
		return nil, err
	}
	if limit := st.ValueBytes(); limit > 0 && len(value) > limit {
		return nil, errors.Errorf("%d bytes, the store takes %d", len(value), limit)
	}
	if key := r.key(); len(key) > maxKeyBytes {
		return nil, errors.Errorf("the key has %d bytes, the store takes %d", len(key), maxKeyBytes)
	}
	return value, nil
}
