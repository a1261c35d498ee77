package backlog

import (
	"strings"
	"testing"
	"time"

	"comfreystream/state/workflow"
)

// TestReturnsOfLongIDs guards against notifications with IDs that no job has, which would
// make a planner hold returnsKept bodies of the largest size.
func TestReturnsOfLongIDs(t *testing.T) {
	var r Returns
	now := time.Now()
	long := workflow.ID(strings.Repeat("a", maxIDBytes+1))
	r.Refused(long, now)
	if waited := r.Refused(long, now.Add(time.Second)); waited != 0 || len(r.order) != 0 {
		t.Errorf("an ID of %d bytes: waited %v with %d remembered, want none", len(long), waited, len(r.order))
	}
	short := long[:maxIDBytes]
	r.Refused(short, now)
	if waited := r.Refused(short, now.Add(time.Second)); waited != time.Second {
		t.Errorf("an ID of %d bytes: waited %v, want 1s", len(short), waited)
	}
}
