package record

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"comfreystream/state/workflow"
)

// FuzzDecodeSubmission decodes records of jobs and of their progress that another
// writer may have left in the store. What is decoded must be safe to schedule.
func FuzzDecodeSubmission(f *testing.F) {
	job, err := EncodeSubmission(&workflow.Job{Steps: []workflow.Step{{Tasks: 2, Gang: true}, {Tasks: 1, After: []int{0}}}, Accepted: time.UnixMilli(5)})
	if err != nil {
		f.Fatal(err)
	}
	progress, err := EncodeProgress(workflow.Progress{Groups: map[workflow.GroupID]workflow.Group{{Step: 1}: {Attempt: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(job, progress)
	f.Add([]byte{0xff}, []byte{0x81})
	f.Fuzz(func(_ *testing.T, job, progress []byte) {
		j, err := DecodeSubmission("0123456789abcdef", job)
		if err != nil {
			return
		}
		_ = j.Objective()
		p, err := DecodeProgress(progress)
		if err != nil || p.ValidateFor(j) != nil {
			return
		}
		for id := range p.Groups {
			_ = j.Members(id)
		}
	})
}

// TestValidateProgress checks that progress which names what its job does not have
// is found out before it is used.
func TestValidateProgress(t *testing.T) {
	job := &workflow.Job{Steps: []workflow.Step{{Tasks: 3}, {Tasks: 2, Gang: true}}, Occurrences: 2}
	tests := []struct {
		name  string
		id    workflow.GroupID
		valid bool
	}{
		{"single task", workflow.GroupID{Occurrence: 1, Step: 0, Index: 2}, true},
		{"gang", workflow.GroupID{Step: 1}, true},
		{"no such step", workflow.GroupID{Step: 2}, false},
		{"negative step", workflow.GroupID{Step: -1}, false},
		{"no such occurrence", workflow.GroupID{Occurrence: 2}, false},
		{"no such task", workflow.GroupID{Index: 3}, false},
		{"second group of a gang", workflow.GroupID{Step: 1, Index: 1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := workflow.Progress{Groups: map[workflow.GroupID]workflow.Group{test.id: {Attempt: 1}}}
			if err := p.ValidateFor(job); (err == nil) != test.valid {
				t.Errorf("error %v, want valid progress: %v", err, test.valid)
			}
		})
	}
}

// TestEncodeGang checks that the workers of a gang are read back, and take no more of a
// record than the planner counts on, or jobs are accepted that cannot be started.
func TestEncodeGang(t *testing.T) {
	tests := []struct {
		name             string
		members, workers int
	}{
		{"of one", 1, 1},
		{"the largest whose members are listed one by one", 512, 512},
		{"larger, on one worker", 513, 1},
		{"many tasks on a few workers", 30000, 48},
		{"the largest job", workflow.MaxTasks, 7500},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := workflow.Group{Attempt: 3}
			for i := range test.members {
				g.Placed = append(g.Placed, workflow.WorkerIncarnation{
					Worker:      workflow.WorkerID(fmt.Sprintf("i-%010x", i%test.workers)),
					Incarnation: workflow.Incarnation(1_700_000_000_000 + i%test.workers),
				})
			}
			id := workflow.GroupID{Step: 1}
			data, err := EncodeProgress(workflow.Progress{Status: workflow.Running, Groups: map[workflow.GroupID]workflow.Group{id: g, {}: {Attempt: 1}}})
			if err != nil {
				t.Fatal(err)
			}
			step := workflow.Step{Tasks: test.members, Gang: true}
			if limit := 200 + step.PlacementBytes(); len(data) > limit {
				t.Errorf("%d bytes, counted as %d", len(data), limit)
			}
			p, err := DecodeProgress(data)
			if err != nil || !slices.Equal(p.Groups[id].Placed, g.Placed) || len(p.Groups[workflow.GroupID{}].Placed) != 0 {
				t.Errorf("%d members read back, %v", len(p.Groups[id].Placed), err)
			}
		})
	}
}

// TestDecodeSharedPlacement has a member on a worker that the record does not name.
func TestDecodeSharedPlacement(t *testing.T) {
	data, err := cbor.Marshal(progressRecord{Groups: []groupRecord{{Attempt: 1}}, Shared: []sharedPlacement{{Members: []uint32{0}}}})
	if err != nil {
		t.Fatal(err)
	}
	if p, err := DecodeProgress(data); err == nil {
		t.Errorf("decoded as %+v", p)
	}
}
