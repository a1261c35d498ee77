package ledger

import (
	"time"

	"comfreystream/state"
)

// Item is a saved job, or its outcome once it has ended.
type Item struct {
	// ID is the job's identifier; it stays after the job has ended.
	ID state.JobID
	// Job is nil once the job has ended.
	Job     *state.Job
	Ended   time.Time
	Outcome state.Outcome
	// HasSeparateAnswer is set if the answer is stored under a key of its own.
	HasSeparateAnswer bool
}

// Segment is a batch of jobs that were saved in one write.
type Segment struct {
	Items []Item
}

// Codec encodes segments for the store.
type Codec struct {
	EncodeSegment func(segment Segment) ([]byte, error)
	DecodeSegment func(value []byte) (Segment, error)
}

// applyOutcomes replaces jobs by their outcomes and reports whether all of the
// segment's jobs have ended.
func (s *Segment) applyOutcomes(outcomes map[state.JobID]Item) (allEnded bool) {
	allEnded = true
	for i := range s.Items {
		item := &s.Items[i]
		if ended, found := outcomes[item.ID]; found && item.Job != nil {
			*item = ended
		}
		allEnded = allEnded && item.Job == nil
	}
	return allEnded
}
