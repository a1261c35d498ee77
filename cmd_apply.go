package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"comfreystream/protocol/caller"
	"comfreystream/protocol/manifest"
	"comfreystream/state"
)

var applyCommand = command{
	name:    "apply",
	help:    "Put a manifest in force on every entry, through any one of them.",
	grammar: func(out output) any { return &applyArguments{out: out} },
}

type applyArguments struct {
	out      output
	File     string `arg:"" help:"Manifest, JSON with comments." type:"path"`
	Expected uint64 `help:"Generation that the manifest must replace; 0 takes the manifest's own, or any." placeholder:"GENERATION"`
	entryFlags
}

// Run returns once every live entry has the manifest in force. It fails if
// some entry could not be reached in time; such an entry gets the manifest later.
func (a *applyArguments) Run() error {
	data, err := os.ReadFile(a.File)
	if err != nil {
		return &usageError{errors.Wrap(err, "read manifest: name a readable file")}
	}
	if _, err := manifest.Decode(a.File, data); err != nil {
		return &usageError{err}
	}
	return a.call(func(ctx context.Context, client *caller.Client, entry netip.AddrPort) error {
		applied, err := client.Apply(ctx, entry, data, state.Generation(a.Expected))
		if err != nil {
			return err
		}
		return reportApplied(a.out, applied)
	})
}

// reportApplied prints the generation in force, and returns an error that names the
// entries that do not have it yet.
func reportApplied(out output, applied caller.AppliedManifest) error {
	_, err := fmt.Fprintf(out.results, "generation %d is in force on %d entries\n", applied.Generation, len(applied.InForce))
	if err != nil || len(applied.Unreachable) == 0 {
		return err
	}
	return errors.Errorf("generation %d is accepted, but not yet in force on %v; these entries get it once they are reachable", applied.Generation, applied.Unreachable)
}
