package fleet

import (
	"context"
	"strings"
	"testing"
	"time"

	"comfreystream/coordination/pause"
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

// TestEvacuatedZoneBesideNew submits a job to an entry whose only listed zone is evacuated,
// right after a second zone has come. It guards against a job that is queued in the
// evacuated zone because the entry has not read the instance list again.
func TestEvacuatedZoneBesideNew(t *testing.T) {
	f, client := startFleet(t, Plan{AvailabilityZones: []string{"za"}, EntriesPerZone: 1, WorkersPerZone: 2})
	entry := f.Entries()[0].Address()
	file := strings.Replace(manifestFile, `"format": 1,`, `"format": 1, "evacuated": ["za"], `, 1)
	if applied, err := client.Apply(t.Context(), entry, []byte(file), 0); err != nil || len(applied.Unreachable) > 0 {
		t.Fatal(applied, err)
	}
	// The entry pauses for a second after it has read this change.
	if _, err := f.AddWorker(state.Rack{Name: "za-r9", AvailabilityZone: "za", Position: 8}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	pause.For(ctx, 100*time.Millisecond)
	if err := f.startZone("zb"); err != nil {
		t.Fatal(err)
	}
	if err := f.retry(ctx, func() error { return checkEntryCount(ctx, client, entry, 2) }); err != nil {
		t.Fatal(err)
	}
	progress, err := client.Submit(t.Context(), entry, smallJob())
	if o := progress.Outcome; err != nil || o.Ran != state.RanToCompletion || o.Job.AvailabilityZone() != "zb" {
		t.Errorf("outcome %+v, %v, want a run in zb", o, err)
	}
}
