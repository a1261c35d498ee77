package speed

import (
	"context"

	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/modelstore"
)

// The counted events.
const (
	// WorkerChanged counts changes of a worker's factor by more than a quarter.
	WorkerChanged = "workerSpeed"
	// RecordNotSaved counts failed saves, RecordUnreadable stored records left out.
	RecordNotSaved   = "speedsNotSaved"
	RecordUnreadable = "speedsUnreadable"
)

// Keeper loads the records at the start of a planner's term and saves what changes
// until it ends; every field must be set.
type Keeper struct {
	Store *Store
	// Term holds in the store as long as the term goes on; Authorised reports whether it
	// certainly still does.
	Term       keyvalue.Condition
	Authorised func() bool
	// Restore takes over a stored record. Due returns at most limit records to be saved,
	// and Saved is told of each that was.
	Restore func(r StoredRecord) error
	Due     func(limit int) []StoredRecord
	Saved   func(r StoredRecord)
	// Count increments the counter of RecordNotSaved or RecordUnreadable.
	Count func(event string)
	Log   zerolog.Logger
}

// Run loads once and saves until the context or the term ends. It saves nothing before
// it has loaded, as it would overwrite what it does not know.
func (k *Keeper) Run(ctx context.Context) {
	keeper := &modelstore.Keeper[WorkerSpeed]{
		Store: k.Store.records(), Term: k.Term, Authorised: k.Authorised,
		Restore: func(r modelstore.Record[WorkerSpeed]) error { return k.Restore(fromStored(r)) },
		Due: func(limit int) (due []modelstore.Record[WorkerSpeed]) {
			for _, r := range k.Due(limit) {
				due = append(due, r.toStored())
			}
			return due
		},
		Saved: func(r modelstore.Record[WorkerSpeed]) { k.Saved(fromStored(r)) },
		Events: modelstore.Events{
			Loaded: "speedsLoaded", NotLoaded: "speedsNotLoaded", NotSaved: RecordNotSaved, Unreadable: RecordUnreadable, Rows: "workers",
		},
		Count: k.Count, Log: k.Log,
	}
	keeper.Run(ctx)
}
