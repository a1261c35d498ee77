package main

import (
	"bytes"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"comfreystream/protocol/caller"
	"comfreystream/protocol/manifest"
	"comfreystream/state"
)

// TestEvacuationChange changes a manifest while other operators do, too. It guards against
// changes that get lost, and against a manifest that loses its other content.
func TestEvacuationChange(t *testing.T) {
	const organisations = `"weights": {"completionTime": 1, "fragmentation": 0}, "organisations": [{"name": "north", "share": 2}]}`
	failed := state.NewStepError("apply", netip.AddrPort{}, state.StoreUnavailable, nil)
	tests := []struct {
		name      string
		inForce   string
		zone      string
		evacuate  bool
		conflicts int
		failure   error
		want      []string
		// problem is part of the expected error.
		problem string
	}{
		{"first zone", "", "za", true, 0, nil, []string{"za"}, ""},
		{"second zone", `"evacuated": ["zb"], `, "za", true, 0, nil, []string{"za", "zb"}, ""},
		{"the same zone again", `"evacuated": ["za"], `, "za", true, 0, nil, []string{"za"}, ""},
		{"restored", `"evacuated": ["za", "zb"], `, "za", false, 0, nil, []string{"zb"}, ""},
		{"restored, but not evacuated", "", "za", false, 0, nil, nil, ""},
		{"others are faster twice", "", "za", true, 2, nil, []string{"za"}, ""},
		{"others are always faster", "", "za", true, 99, nil, nil, "try again"},
		{"the store is down", "", "za", true, 0, failed, nil, "storeUnavailable"},
		{"no zone's name", "", "Zone A", true, 0, nil, nil, "lower-case"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			generation := state.Generation(7)
			var applied *state.Manifest
			c := evacuationChange{
				read: func() ([]byte, error) {
					m, err := manifest.Decode("m", []byte(`{"format": 1, `+test.inForce+organisations))
					if err != nil {
						return nil, err
					}
					m.Generation = generation
					return manifest.Encode(m), nil
				},
				apply: func(file []byte, expected state.Generation) (caller.AppliedManifest, error) {
					if expected != generation {
						t.Errorf("generation %d is to be replaced, want %d", expected, generation)
					}
					if test.conflicts--; test.conflicts >= 0 {
						generation++
						return caller.AppliedManifest{}, state.NewStepError("apply", netip.AddrPort{}, state.OlderGeneration, nil)
					}
					var err error
					if applied, err = manifest.Decode("m", file); err != nil {
						t.Error(err)
					}
					return caller.AppliedManifest{}, test.failure
				},
			}
			_, _, err := c.run(test.zone, test.evacuate)
			if test.problem != "" {
				if err == nil || !strings.Contains(err.Error(), test.problem) {
					t.Errorf("error %v, want one with %q", err, test.problem)
				}
				return
			}
			if err != nil || !slices.Equal(applied.Evacuated, test.want) || len(applied.Organisations) != 1 {
				t.Errorf("applied %+v, %v, want the zones %v", applied, err, test.want)
			}
		})
	}
}

// TestEvacuationWarnings guards against an evacuation of a zone that does not exist, or of
// all zones, that passes unnoticed; and against status not showing one.
func TestEvacuationWarnings(t *testing.T) {
	overview := []byte(`{"evacuated": ["za"], "entries": [{"availabilityZone": "za"}, {"availabilityZone": "zb"}, {"availabilityZone": "za"}]}`)
	tests := []struct {
		zone      string
		evacuated []string
		want      string
	}{
		{"za", []string{"za"}, ""},
		{"zc", []string{"zc"}, "no known entry"},
		{"za", []string{"za", "zb"}, "all zones"},
	}
	for _, test := range tests {
		t.Run(test.zone, func(t *testing.T) {
			var printed bytes.Buffer
			a := evacuationArguments{out: output{diagnostics: &printed}, Zone: test.zone}
			a.warn(overview, test.evacuated)
			if got := printed.String(); (got == "") != (test.want == "") || !strings.Contains(got, test.want) {
				t.Errorf("printed %q, want %q", got, test.want)
			}
		})
	}
	var printed bytes.Buffer
	if err := printOverview(&printed, overview); err != nil || !strings.Contains(printed.String(), "nothing new starts: za") {
		t.Errorf("status printed %q, %v", printed.String(), err)
	}
}
