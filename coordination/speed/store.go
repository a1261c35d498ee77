package speed

import (
	"context"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/modelstore"
)

// StoredRecord is a record of the workers of a service.
type StoredRecord struct {
	Service string
	Record
}

func fromStored(r modelstore.Record[WorkerSpeed]) StoredRecord {
	return StoredRecord{r.Service, Record{r.Number, r.Rows}}
}

func (r StoredRecord) toStored() modelstore.Record[WorkerSpeed] {
	return modelstore.Record[WorkerSpeed]{Service: r.Service, Number: r.Number, Rows: r.Workers}
}

// Store keeps records in the platform's store; every field must be set.
type Store struct {
	Store *keyvalue.Store
	// ValueBytes returns the most bytes of a value in the store; 0 is no limit.
	ValueBytes func() int
	Encode     func(workers []WorkerSpeed) ([]byte, error)
	Decode     func(text []byte) ([]WorkerSpeed, error)
}

// records returns the store of the records, with the keys "speed/SERVICE/NUMBER".
func (st *Store) records() *modelstore.Store[WorkerSpeed] {
	return &modelstore.Store[WorkerSpeed]{
		Store: st.Store, ValueBytes: st.ValueBytes, Prefix: "speed/", Noun: "speeds of workers", Encode: st.Encode, Decode: st.Decode,
		Validate: func(r modelstore.Record[WorkerSpeed]) error { return fromStored(r).validate() },
	}
}

// Load returns all records that can be read, and an error for each of the others. If
// err is set, the store was not read.
func (st *Store) Load(ctx context.Context) (records []StoredRecord, unreadable []error, err error) {
	list, unreadable, err := st.records().Load(ctx)
	for _, r := range list {
		records = append(records, fromStored(r))
	}
	return records, unreadable, err
}

// Save stores a record, or deletes one without workers, by the writer of a term; it returns
// a *keyvalue.ConflictError if the term is over. The error is keyvalue.IsRefused if the
// store never takes the record.
func (st *Store) Save(ctx context.Context, w *keyvalue.TermWriter, r StoredRecord) error {
	return st.records().Save(ctx, w, r.toStored())
}
