package fleet

import (
	"strings"
	"testing"

	"comfreystream/state"
)

// TestEvacuatedZone evacuates a zone and submits a job there, which must run in the other
// one, and after that in the first one again.
func TestEvacuatedZone(t *testing.T) {
	f, client := startFleet(t, Plan{AvailabilityZones: []string{"za", "zb"}, EntriesPerZone: 2, WorkersPerZone: 2})
	tests := []struct{ evacuated, want string }{
		{`"evacuated": ["za"], `, "zb"},
		{"", "za"},
	}
	for _, test := range tests {
		file := strings.Replace(manifestFile, `"format": 1,`, `"format": 1, `+test.evacuated, 1)
		applied, err := client.Apply(t.Context(), f.Entries()[0].Address(), []byte(file), 0)
		if err != nil || len(applied.Unreachable) > 0 {
			t.Fatal(applied, err)
		}
		overview, err := client.Overview(t.Context(), f.Entries()[3].Address())
		if shown := strings.Contains(string(overview), `"evacuated":["za"]`); err != nil || shown != (test.evacuated != "") {
			t.Errorf("the overview shows the evacuation: %v, %v", shown, err)
		}
		progress, err := client.Submit(t.Context(), f.Entries()[0].Address(), smallJob())
		if o := progress.Outcome; err != nil || o.Ran != state.RanToCompletion || o.Job.AvailabilityZone() != test.want {
			t.Errorf("outcome %+v, %v, want a run in %s", o, err, test.want)
		}
	}
}
