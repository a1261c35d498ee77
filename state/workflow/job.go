package workflow

import (
	"strconv"
	"strings"
	"time"
)

// ID identifies a job; the caller chooses it.
type ID string

// Job is an accepted submission; it is immutable.
type Job struct {
	ID    ID
	Queue string
	// Service is that of the job's queue by the version of the configuration that the job
	// was accepted under, PolicyVersion; 0 means that the version is not known.
	Service       string
	PolicyVersion int64
	Organisation  string
	// Priority is that of the job's queue; 0 is the highest and may preempt others.
	Priority int
	// MaxAttempts is the most failed attempts of a gang or task.
	MaxAttempts int
	// Stretch and StartAllowance set the target for the job's completion time:
	// StartAllowance + Stretch × the run time of the longest chain of steps.
	Stretch        float64
	StartAllowance time.Duration
	// Spec is passed unchanged to each task.
	Spec  string
	Steps []Step
	// Occurrences is how many times the steps run, the first time at FirstStart
	// and then every Interval; 0 means once, immediately.
	Occurrences int
	FirstStart  time.Time
	Interval    time.Duration
	Accepted    time.Time
	// RecordBytes is how large the records of the job's stored progress may be, by the
	// estimate of Step.RecordBytes; 0 means that one record holds everything.
	RecordBytes int
}

// Step is a number of identical tasks.
type Step struct {
	Tasks int
	// Cores, MemoryMiB and Accelerators are what one task uses; Cores is in
	// thousandths of a core.
	Cores        int
	MemoryMiB    int
	Accelerators int
	// Estimate is the declared run time of one task.
	Estimate time.Duration
	// After lists the indices of the steps that must be done first.
	After          []int
	Checkpointable bool
	// Gang is set if all tasks must run at the same time (gang scheduling).
	Gang bool
	// SameRack is set if the tasks run slower when spread over several racks;
	// PreferredRack names the rack outside of which they run slower, if any.
	SameRack      bool
	PreferredRack string
	// Label is a label that the worker must have; empty means any worker.
	Label string
	// SpreadLimit is the most tasks of one occurrence on one worker; 0 is no limit.
	SpreadLimit int
	Speculative bool
	// LongRunning is set for tasks that run until the job is cancelled.
	LongRunning bool
	// Scavenging is set for tasks that only use capacity that no other task wants.
	Scavenging bool
	// Image names what the tasks run; tasks with the same image behave alike. Empty means
	// that the job does not say.
	Image string
}

// Runs returns how many times the steps run, at least once.
func (j *Job) Runs() int { return max(j.Occurrences, 1) }

// Due returns the earliest start of an occurrence; the zero time means immediately.
func (j *Job) Due(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return time.Time{}
	}
	return j.FirstStart.Add(time.Duration(occurrence) * j.Interval)
}

// Objective returns the target for the job's completion time, counted from
// acceptance or due time and based on the declared run times.
func (j *Job) Objective() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var criticalPath time.Duration
	for i, s := range j.Steps {
		var begin time.Duration
		for _, dependency := range s.After {
			begin = max(begin, ends[dependency])
		}
		ends[i] = begin + s.Estimate
		criticalPath = max(criticalPath, ends[i])
	}
	return j.StartAllowance + time.Duration(j.Stretch*float64(criticalPath))
}

// PeakAccelerators returns the most accelerators that one step needs at the same time.
func (j *Job) PeakAccelerators() int {
	peak := 0
	for _, s := range j.Steps {
		peak = max(peak, s.Tasks*s.Accelerators)
	}
	return peak
}

// Task identifies one task of one occurrence.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name in calls to workers, "job.occurrence.step.index".
func (t Task) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTask parses a name in the form of Task.String; it reports false for any other text.
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
