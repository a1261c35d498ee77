package planning

import (
	"sync"
	"testing"
	"time"

	"comfreystream/state"
)

func TestSubmit(t *testing.T) {
	tests := []struct {
		name     string
		manifest bool
		job      state.Job
		want     state.Reason
	}{
		{"no manifest yet", false, state.Job{Organisation: "other", Members: 1, Shape: oneAccelerator}, state.NoManifest},
		{"unknown organisation", true, state.Job{Organisation: "nobody", Members: 1, Shape: oneAccelerator}, state.UnknownOrganisation},
		{"no member", true, state.Job{Organisation: "other", Shape: oneAccelerator}, state.NeverFits},
		{"no resources", true, state.Job{Organisation: "other", Members: 1}, state.NeverFits},
		{"member larger than a worker", true, state.Job{Organisation: "other", Members: 1, Shape: oneAccelerator.Times(9)}, state.NeverFits},
		{"gang larger than a rack", true, state.Job{Organisation: "chains", Members: 49, Shape: oneAccelerator, Adjacency: state.SameRack, Idempotent: true}, state.NeverFits},
		{"non-preemptible gang that fits only on other organisations' guarantees", true, state.Job{Organisation: "other", Members: 12, Shape: oneAccelerator.Times(5)}, state.NeverFits},
		{"the same gang, checkpointable", true, state.Job{Organisation: "other", Members: 12, Shape: oneAccelerator.Times(5), Checkpointable: true}, ""},
		{"larger than the quota", true, state.Job{Organisation: "other", Members: 61, Shape: oneAccelerator, Idempotent: true}, state.OverQuota},
		{"within the guarantee", true, state.Job{Organisation: "chains", Members: 20, Shape: oneAccelerator}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness()
			if tt.manifest {
				h.planner.ApplyManifest(testManifest(1, 8, 30))
			}
			if _, got := h.submit(tt.job); got != tt.want {
				t.Errorf("Submit() = %q, want %q", got, tt.want)
			}
		})
	}
}

func TestCheckGuarantees(t *testing.T) {
	guarantee := func(members, accelerators int, adjacency state.Adjacency) state.Guarantee {
		return state.Guarantee{AvailabilityZone: "z1", Members: members, Shape: oneAccelerator.Times(accelerators), Adjacency: adjacency}
	}
	tests := []struct {
		name        string
		guarantees  []state.Guarantee
		unplaceable int
	}{
		{"fits", []state.Guarantee{guarantee(48, 1, state.SameRack), guarantee(48, 1, state.SameRack)}, 0},
		{"too many for the rack", []state.Guarantee{guarantee(49, 1, state.SameRack)}, 1},
		{"each fits, but not all together", []state.Guarantee{guarantee(48, 1, state.SameRack), guarantee(48, 1, state.SameRack), guarantee(48, 1, state.SameRack)}, 1},
		{"hardest is placed first", []state.Guarantee{guarantee(56, 1, state.AnyRack), guarantee(6, 8, state.SameRack)}, 0},
		{"member larger than a worker", []state.Guarantee{guarantee(1, 9, state.AnyRack)}, 1},
		{"zone without workers", []state.Guarantee{{AvailabilityZone: "z9", Members: 1, Shape: oneAccelerator}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var workers []state.Worker
			for i := range 13 {
				workers = append(workers, testWorker(i, 6))
			}
			manifest := &state.Manifest{Organisations: []state.Organisation{{Name: "o", Guarantees: tt.guarantees}}}
			if got := CheckGuarantees(manifest, workers); len(got) != tt.unplaceable {
				t.Errorf("CheckGuarantees() = %+v, want %d guarantees", got, tt.unplaceable)
			}
		})
	}
}

// A guarantee that no longer fits after the loss of a rack must be reported as broken, and
// no longer once the rack is back.
func TestLostRackBreaksGuarantee(t *testing.T) {
	h := newHarness()
	h.planner.ApplyManifest(testManifest(1, 24, 40))
	h.plan(t)
	for i := range 6 {
		h.loseWorker(testWorker(i, 6).Address)
	}
	h.plan(t)
	broken := 0
	for _, g := range h.planner.View().Guarantees {
		if g.Broken == WorkersLost && g.Missing > 0 {
			broken++
		}
	}
	if broken != 1 {
		t.Errorf("%d guarantees are broken by the lost workers, want 1: %+v", broken, h.planner.View().Guarantees)
	}
	for i := range 6 {
		h.planner.PutWorker(testWorker(i, 6))
		h.workers[testWorker(i, 6).Address] = testWorker(i, 6)
	}
	h.plan(t)
	for _, g := range h.planner.View().Guarantees {
		if g.Broken != NoBreach {
			t.Errorf("guarantee is still broken after the rack came back: %+v", g)
		}
	}
}

// Concurrent callers must not make the planner leak resources or lose track of a job.
func TestConcurrentCallers(t *testing.T) {
	h := newHarness()
	h.planner.ApplyManifest(testManifest(1, 4, 20))
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			for range 50 {
				id := state.NewJobID("z1", string(rune('a'+i)))
				h.planner.Submit(state.Job{ID: id, Organisation: "chains", Members: 1 + i, Shape: oneAccelerator})
				for _, start := range h.planner.Plan().Starts {
					h.planner.Started(start.Job.ID, start.Attempt)
					h.planner.Requeue(start.Job.ID, start.Attempt, time.Time{}, nil)
				}
				h.planner.View()
				h.planner.Cancel(id)
			}
		})
	}
	callers.Wait()
	for _, start := range h.planner.Plan().Starts {
		h.planner.Ended(start.Job.ID, start.Attempt)
	}
	if free := h.planner.View().Free; free != oneAccelerator.Times(8*13) {
		t.Errorf("free resources after all jobs ended: %+v, want all", free)
	}
}
