package workflow

import (
	"strconv"
	"strings"
	"time"
)

// ID is a job's identity, chosen by the caller.
type ID string

// Job is a submission as it was accepted; it never changes.
type Job struct {
	ID           ID
	Queue        string
	Service      string
	Organisation string
	// Priority orders queues; 0 is the most urgent and may preempt others.
	Priority int
	// MaxAttempts bounds the failed attempts of a gang or task.
	MaxAttempts int
	// Stretch times the longest chain of work, plus StartAllowance, is the
	// time in which the job should be completed.
	Stretch        float64
	StartAllowance time.Duration
	// Spec is passed to each task as it is.
	Spec  string
	Steps []Step
	// Occurrences is how often the steps run, at FirstStart and each Interval
	// after it; 0 is once and at once.
	Occurrences int
	FirstStart  time.Time
	Interval    time.Duration
	Accepted    time.Time
}

// Step is a number of equal tasks.
type Step struct {
	Tasks int
	// Cores is in thousandths of a core, MemoryMiB in mebibytes.
	Cores        int
	MemoryMiB    int
	Accelerators int
	// Estimate is the declared run time of one task.
	Estimate time.Duration
	// After lists the steps that must be done before.
	After          []int
	Checkpointable bool
	// Gang is set if the tasks run together or not at all.
	Gang bool
	// SameRack and PreferredRack tell where the tasks are not slowed down.
	SameRack      bool
	PreferredRack string
	// Label is one that a worker must have; empty is none.
	Label string
	// SpreadLimit bounds the tasks of one occurrence on one worker; 0 is no bound.
	SpreadLimit int
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// Scavenging tasks only take what all others leave.
	Scavenging bool
}

// Runs returns how often the steps run, at least once.
func (j *Job) Runs() int { return max(j.Occurrences, 1) }

// Due returns when an occurrence may start; the zero time is at once.
func (j *Job) Due(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return time.Time{}
	}
	return j.FirstStart.Add(time.Duration(occurrence) * j.Interval)
}

// Objective returns how long after acceptance or due time the job should be
// completed, by its declared run times.
func (j *Job) Objective() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var begin time.Duration
		for _, before := range s.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + s.Estimate
		longest = max(longest, ends[i])
	}
	return j.StartAllowance + time.Duration(j.Stretch*float64(longest))
}

// PeakAccelerators returns the most accelerators that one step needs at once.
func (j *Job) PeakAccelerators() int {
	peak := 0
	for _, s := range j.Steps {
		peak = max(peak, s.Tasks*s.Accelerators)
	}
	return peak
}

// Task names one task of an occurrence.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the name as workers know it.
func (t Task) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTask reads a name; it reports false for text of another form.
func ParseTask(text string) (Task, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return Task{}, false
	}
	occurrence, errOccurrence := strconv.Atoi(parts[1])
	step, errStep := strconv.Atoi(parts[2])
	index, errIndex := strconv.Atoi(parts[3])
	if errOccurrence != nil || errStep != nil || errIndex != nil {
		return Task{}, false
	}
	return Task{Job: ID(parts[0]), Occurrence: occurrence, Step: step, Index: index}, true
}
