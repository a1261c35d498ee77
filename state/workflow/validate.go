package workflow

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxTasks is the most tasks of a job, over all steps and occurrences: that many
	// fit into the memory of the smallest planner.
	MaxTasks = 1 << 16
	// maxAmount bounds what one task uses, so that sums over all tasks do not overflow.
	maxAmount = 1 << 31
	// maxDuration bounds run times and intervals.
	maxDuration = 10 * 365 * 24 * time.Hour
	// maxDependencies bounds the steps that one step waits for.
	maxDependencies = 1 << 10
)

// Validate reports why the job cannot be scheduled, whoever wrote it: its steps name
// steps that do not exist, or an amount is negative or too large.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.New("a job must have at least one step")
	}
	if j.Occurrences < 0 || j.Interval < 0 || j.Interval > maxDuration {
		return errors.New("the number of occurrences and the interval must not be negative, and the interval at most 10 years")
	}
	if j.RecordBytes < 0 {
		return errors.New("the size of records must not be negative")
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
		tasks += j.Steps[i].Tasks
		if j.Runs() > MaxTasks || tasks*j.Runs() > MaxTasks {
			return errors.Errorf("a job must have at most %d tasks over all steps and occurrences", MaxTasks)
		}
	}
	return nil
}

// validate checks the step at the position.
func (s *Step) validate(position int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return errors.Errorf("the number of tasks must be from 1 to %d", MaxTasks)
	}
	if min(s.Cores, s.MemoryMiB, s.Accelerators, s.SpreadLimit) < 0 || max(s.Cores, s.MemoryMiB, s.Accelerators) > maxAmount {
		return errors.Errorf("amounts must be from 0 to %d", maxAmount)
	}
	if s.Estimate < 0 || s.Estimate > maxDuration {
		return errors.New("the declared run time must be from 0 to 10 years")
	}
	if len(s.After) > maxDependencies {
		return errors.Errorf("a step may wait for at most %d others", maxDependencies)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= position {
			return errors.New("a step may only wait for earlier steps")
		}
	}
	return nil
}

// ValidateFor reports why the progress cannot be that of the job: it names an
// occurrence, a step or a task that the job does not have.
func (p *Progress) ValidateFor(j *Job) error {
	for id := range p.Groups {
		if id.Occurrence < 0 || id.Occurrence >= j.Runs() || id.Step < 0 || id.Step >= len(j.Steps) {
			return errors.Errorf("the job has no occurrence %d of step %d", id.Occurrence, id.Step)
		}
		if id.Index < 0 || id.Index >= j.Steps[id.Step].Groups() {
			return errors.Errorf("step %d has no group %d", id.Step, id.Index)
		}
	}
	return nil
}
