package modelstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/pause"
)

const (
	// saveInterval is the least time between two saves.
	saveInterval = time.Second
	// retryInterval is the wait after a failed call: what a model knows is never urgent,
	// and the store may be slow because it has too many calls.
	retryInterval = 5 * time.Second
)

// Events holds the names of a keeper's log lines; NotSaved and Unreadable are counted,
// too. Rows is the field with the number of rows in the line Loaded.
type Events struct{ Loaded, NotLoaded, NotSaved, Unreadable, Rows string }

// Keeper loads the records at the start of a planner's term and saves what changes
// until it ends; every field must be set.
type Keeper[T any] struct {
	Store *Store[T]
	// Term holds in the store as long as the term goes on; Authorised reports whether it
	// certainly still does.
	Term       keyvalue.Condition
	Authorised func() bool
	// Restore takes over a stored record. Due returns at most limit records to be saved,
	// and Saved is told of each that was.
	Restore func(r Record[T]) error
	Due     func(limit int) []Record[T]
	Saved   func(r Record[T])
	Events  Events
	// Count increments the counter of an event.
	Count func(event string)
	Log   zerolog.Logger
}

// Run loads once and saves until the context or the term ends. It saves nothing before
// it has loaded, as it would overwrite what it does not know.
func (k *Keeper[T]) Run(ctx context.Context) {
	writer := k.Store.Writer(k.Term)
	for !k.load(ctx, writer) {
		if !pause.For(ctx, retryInterval) {
			return
		}
	}
	interval := saveInterval
	for pause.For(ctx, interval) {
		interval = saveInterval
		if !k.Authorised() {
			continue
		}
		for _, r := range k.Due(1) {
			err := k.save(ctx, writer, r)
			var conflict *keyvalue.ConflictError
			if errors.As(err, &conflict) {
				return
			}
			if err != nil {
				interval = retryInterval
			}
		}
	}
}

// load reports whether the store was read.
func (k *Keeper[T]) load(ctx context.Context, writer *keyvalue.TermWriter) bool {
	records, unreadable, err := k.Store.LoadFor(ctx, writer)
	if err != nil {
		if ctx.Err() == nil {
			k.Log.Warn().Str("event", k.Events.NotLoaded).Err(err).Send()
		}
		return false
	}
	rows := 0
	for _, r := range records {
		if err := k.Restore(r); err != nil {
			unreadable = append(unreadable, err)
			continue
		}
		rows += len(r.Rows)
	}
	k.Log.Info().Str("event", k.Events.Loaded).Int("records", len(records)).Int(k.Events.Rows, rows).Int("unreadable", len(unreadable)).Send()
	for range unreadable {
		k.Count(k.Events.Unreadable)
	}
	if len(unreadable) > 0 {
		k.Log.Warn().Str("event", k.Events.Unreadable).Int("records", len(unreadable)).Err(unreadable[0]).Send()
	}
	return true
}

// save saves one record. One that the store refuses counts as saved: it is tried again
// once it has changed, and holds up no other.
func (k *Keeper[T]) save(ctx context.Context, writer *keyvalue.TermWriter, r Record[T]) error {
	err := k.Store.Save(ctx, writer, r)
	if err == nil || keyvalue.IsRefused(err) {
		k.Saved(r)
	}
	if err != nil && ctx.Err() == nil {
		k.Count(k.Events.NotSaved)
		k.Log.Warn().Str("event", k.Events.NotSaved).Str("service", r.Service).Int("record", r.Number).Err(err).Send()
	}
	return err
}
