package planning

import (
	"testing"
	"time"

	"comfreystream/state"
)

// TestEvacuated evacuates the zone at different moments of an urgent job's way to its
// workers. It must not start before the zone is restored, what runs must go on, and the
// guarantee must be shown as broken meanwhile.
func TestEvacuated(t *testing.T) {
	evacuate := func(h *harness, generation state.Generation, zones ...string) {
		m := testManifest(generation, 8, 0)
		m.Evacuated = zones
		h.planner.ApplyManifest(m)
	}
	tests := []struct {
		name string
		// occupied has borrowed jobs take all room first; planned runs a round, which
		// reclaims room, between submission and evacuation.
		occupied, planned bool
	}{
		{"before a round", false, false},
		{"while all room is taken", true, false},
		{"while the job waits for reclaimed room", true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness()
			evacuate(h, 1, "z2")
			if test.occupied {
				for range 13 {
					h.submit(state.Job{Organisation: "chains", Members: 1, Shape: oneAccelerator.Times(8), Idempotent: true})
				}
				h.plan(t)
			}
			running := len(h.running)
			urgent, reason := h.submit(state.Job{Organisation: "shops", Members: 4, Shape: oneAccelerator.Times(2), Urgency: state.Urgent, Adjacency: state.SameRack})
			if reason != "" {
				t.Fatal(reason)
			}
			if test.planned {
				h.plan(t)
			}
			reclaimed := len(h.reclaims)
			if (reclaimed > 0) != test.planned {
				t.Fatalf("%d jobs were reclaimed", reclaimed)
			}
			evacuate(h, 2, "z1")
			h.stopReclaimed()
			for range 8 {
				h.now = h.now.Add(time.Second)
				h.plan(t)
			}
			if len(h.running) != running-reclaimed || len(h.reclaims) > 0 {
				t.Errorf("%d jobs run and %d are reclaimed while the zone is evacuated, want %d and none", len(h.running), len(h.reclaims), running-reclaimed)
			}
			view := h.planner.View()
			for _, g := range view.Guarantees {
				if g.Organisation == "shops" && g.Broken != ZoneEvacuated {
					t.Errorf("the guarantee is %q, want %q", g.Broken, ZoneEvacuated)
				}
			}
			for _, q := range view.Queues {
				if q.Organisation == "shops" && q.Waiting != WaitingForZone {
					t.Errorf("the job waits for %q, want %q", q.Waiting, WaitingForZone)
				}
			}
			evacuate(h, 3)
			for range 3 {
				h.plan(t)
				h.stopReclaimed()
			}
			if _, started := h.running[urgent]; !started {
				t.Error("the job did not start after the zone was restored")
			}
			for _, g := range h.planner.View().Guarantees {
				if g.Broken != NoBreach {
					t.Errorf("the guarantee is %q after the zone was restored", g.Broken)
				}
			}
		})
	}
}
