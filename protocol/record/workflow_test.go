package record

import (
	"testing"
	"time"

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
