package fleet

import (
	"context"
	"io"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/protocol/caller"
	"comfreystream/state"
	"comfreystream/transport"
)

const manifestFile = `{
  "format": 1,
  "weights": {"completionTime": 0.5, "fragmentation": 0.5},
  "organisations": [
    {"name": "north", "share": 1, "guarantees": [
      {"availabilityZone": "za", "members": 2, "shape": {"slots": 1, "accelerators": 4}}
    ]},
    {"name": "south", "share": 1},
  ],
}`

// startFleet starts a fleet and waits until it is ready. The environment variable
// FLEET_LOG makes its entries log to standard error.
func startFleet(t testing.TB, plan Plan) (*Fleet, *caller.Client) {
	t.Helper()
	plan.Capacity = state.Resources{Slots: 8, Accelerators: 8, Cores: 32, MemoryBytes: 128 << 30}
	plan.WorkersPerRack = 2
	plan.Log = io.Discard
	plan.LogLevel = zerolog.InfoLevel
	if os.Getenv("FLEET_LOG") != "" {
		plan.Log = os.Stderr
	}
	f, err := Start(plan)
	if err != nil {
		t.Fatal(err)
	}
	connections := transport.NewClient(transport.ClientLimits{})
	t.Cleanup(func() {
		_ = connections.Close()
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	client := &caller.Client{Connections: connections}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := f.Ready(ctx, client, []byte(manifestFile)); err != nil {
		t.Fatal(err)
	}
	return f, client
}

func smallJob() *state.Job {
	return &state.Job{
		Organisation: "north", Kind: "small", Members: 1, Shape: state.Resources{Slots: 1, Accelerators: 1},
		Urgency: state.Normal, Idempotent: true, DeclaredRunTime: time.Second,
	}
}

// TestWholePath submits jobs through an entry, with the planner and the workers
// behind it, and checks their outcomes.
func TestWholePath(t *testing.T) {
	f, client := startFleet(t, Plan{AvailabilityZones: []string{"za", "zb"}, EntriesPerZone: 2, WorkersPerZone: 4})
	gang := smallJob()
	gang.Members, gang.Shape.Accelerators, gang.Adjacency = 5, 4, state.AdjacentRacks
	neverFits := smallJob()
	neverFits.Members = 100
	neverFits.Adjacency = state.SameRack
	once := smallJob()
	once.Idempotent, once.Key = false, "order-1"
	unknownOrganisation := smallJob()
	unknownOrganisation.Organisation = "east"
	tests := []struct {
		name   string
		job    *state.Job
		ran    state.Ran
		reason state.Reason
	}{
		{"small job", smallJob(), state.RanToCompletion, ""},
		{"gang over adjacent racks", gang, state.RanToCompletion, ""},
		{"job that can never run", neverFits, state.NotRun, state.NeverFits},
		{"non-idempotent job", once, state.RanToCompletion, ""},
		{"non-idempotent job with the same key", once, state.NotRun, state.DuplicateKey},
		{"unknown organisation", unknownOrganisation, state.NotRun, state.UnknownOrganisation},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, e := range f.Entries()[:1] {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				progress, err := client.Submit(ctx, e.Address(), tt.job)
				cancel()
				if err != nil {
					t.Fatal(err)
				}
				if known := tt.reason == state.DuplicateKey; (progress.Outcome.Holder != "") != known {
					t.Errorf("holder of the key is %q, want one only for a duplicate key", progress.Outcome.Holder)
				}
				if o := progress.Outcome; !progress.Done || o.Ran != tt.ran || o.Reason != tt.reason {
					t.Errorf("unexpected progress %+v", progress)
				}
			}
		})
	}
}
