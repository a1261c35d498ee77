package main

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"comfreystream/standin/fleet"
	"comfreystream/state"
)

// tryTimeout is the time for all steps of the try verb.
const tryTimeout = 14 * time.Second

var tryCommand = command{
	name:    "try",
	help:    "Run a few jobs on entries and stand-in workers inside this one process, and say what happens.",
	grammar: func(out output) any { return &tryArguments{out: out} },
}

type tryArguments struct {
	out output
}

// Run succeeds only if every job had the expected outcome.
func (a *tryArguments) Run() (err error) {
	f, err := fleet.Start(fleet.Plan{
		AvailabilityZones: []string{"zone-a", "zone-b"}, EntriesPerZone: 2,
		WorkersPerZone: 4, WorkersPerRack: 2,
		Capacity: state.Resources{Slots: 8, Accelerators: 8, Cores: 32, MemoryBytes: 128 << 30},
		Log:      a.out.diagnostics, LogLevel: zerolog.ErrorLevel,
	})
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	t := newTrial(a.out.results, f)
	defer t.close()
	if err := t.run(ctx); err != nil {
		return err
	}
	if t.failed > 0 {
		return errors.Errorf("%d of %d steps failed", t.failed, t.steps)
	}
	return nil
}
