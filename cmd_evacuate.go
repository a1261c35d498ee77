package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"comfreystream/instance"
	"comfreystream/protocol/caller"
	"comfreystream/protocol/manifest"
	"comfreystream/state"
)

var evacuateCommand = command{
	name:    "evacuate",
	help:    "Have nothing new start in an availability zone; what runs there goes on.",
	grammar: func(out output) any { return &evacuationArguments{out: out, evacuate: true} },
}

var restoreCommand = command{
	name:    "restore",
	help:    "Revoke the evacuation of an availability zone.",
	grammar: func(out output) any { return &evacuationArguments{out: out} },
}

type evacuationArguments struct {
	out      output
	evacuate bool
	Zone     string `arg:"" help:"Availability zone."`
	entryFlags
}

// Run changes the manifest in force and returns once every live entry has it. It fails if
// some entry could not be reached in time; such an entry gets the manifest later.
func (a *evacuationArguments) Run() error {
	return a.call(func(ctx context.Context, client *caller.Client, entry netip.AddrPort) error {
		c := evacuationChange{
			read: func() ([]byte, error) { return client.Manifest(ctx, entry) },
			apply: func(file []byte, expected state.Generation) (caller.AppliedManifest, error) {
				return client.Apply(ctx, entry, file, expected)
			},
		}
		evacuated, applied, err := c.run(a.Zone, a.evacuate)
		if err != nil {
			return err
		}
		if a.evacuate {
			if overview, err := client.Overview(ctx, entry); err == nil {
				a.warn(overview, evacuated)
			}
		}
		return reportApplied(a.out, applied)
	})
}

// warn says on the diagnostics what is unusual about the evacuated zones, by the zones of
// the entries that the overview lists.
func (a *evacuationArguments) warn(overview []byte, evacuated []string) {
	o, err := instance.DecodeOverview(overview)
	if err != nil {
		return
	}
	var zones []string
	for _, e := range o.Entries {
		zones = append(zones, e.AvailabilityZone)
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	if !slices.Contains(zones, a.Zone) {
		fmt.Fprintf(a.out.diagnostics, "warning: no known entry is in the zone %s; zones with entries: %v\n", a.Zone, zones)
	}
	if !slices.ContainsFunc(zones, func(zone string) bool { return !slices.Contains(evacuated, zone) }) {
		fmt.Fprintln(a.out.diagnostics, "warning: all zones are evacuated, so that nothing new starts anywhere")
	}
}

// maxEvacuationTries is how often the change is made anew after another operator's.
const maxEvacuationTries = 5

// evacuationChange changes the evacuated zones of the manifest in force, which read
// returns and apply replaces.
type evacuationChange struct {
	read  func() ([]byte, error)
	apply func(file []byte, expected state.Generation) (caller.AppliedManifest, error)
}

// run evacuates or restores the zone and returns the zones that are evacuated then. If
// another operator is faster, it repeats the change on that manifest.
func (c evacuationChange) run(zone string, evacuate bool) (evacuated []string, applied caller.AppliedManifest, err error) {
	for range maxEvacuationTries {
		file, err := c.read()
		if err != nil {
			return nil, applied, err
		}
		m, err := manifest.Decode("the manifest in force", file)
		if err != nil {
			return nil, applied, errors.Wrap(err, "read the manifest in force")
		}
		setEvacuated(m, zone, evacuate)
		file = manifest.Encode(m)
		if _, err := manifest.Decode("the changed manifest", file); err != nil {
			return nil, applied, &usageError{err}
		}
		applied, err = c.apply(file, m.Generation)
		if state.ReasonOf(err, "") != state.OlderGeneration {
			return m.Evacuated, applied, err
		}
	}
	return nil, applied, errors.Errorf("other operators changed the manifest %d times meanwhile; try again", maxEvacuationTries)
}

// setEvacuated adds the zone to the evacuated ones or removes it.
func setEvacuated(m *state.Manifest, zone string, evacuate bool) {
	m.Evacuated = slices.DeleteFunc(m.Evacuated, func(other string) bool { return other == zone })
	if evacuate {
		m.Evacuated = append(m.Evacuated, zone)
		slices.Sort(m.Evacuated)
	}
}
