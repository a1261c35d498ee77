package workflow

// Status is a job's state as reported to callers.
type Status string

// The states of a job.
const (
	Queued    Status = "queued"
	Running   Status = "running"
	Completed Status = "completed"
	Failed    Status = "failed"
	Cancelled Status = "cancelled"
)

// Final reports whether the state never changes again.
func (s Status) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Progress is the stored progress of a job.
type Progress struct {
	Status Status
	// Groups holds the groups that were started at least once.
	Groups map[GroupID]Group
}

// GroupID identifies a group, a set of tasks that starts and ends together: a
// gang or a single task.
type GroupID struct {
	Occurrence int
	Step       int
	// Index is the index of the single task, or 0 for a gang.
	Index int
}

// Group is the stored state of a gang or a single task.
type Group struct {
	// Attempt is the number of the latest attempt, from 1.
	Attempt int
	// Placed holds the worker of each member in that attempt.
	Placed   []WorkerIncarnation
	Failures int
	// FailedAttempt is the latest attempt that is counted in Failures.
	FailedAttempt int
	Done          bool
	// Checkpoint is the latest checkpoint; empty is none.
	Checkpoint string
}

// WorkerIncarnation identifies one incarnation of a worker: the worker between one
// start of its process and the next.
type WorkerIncarnation struct {
	Worker      WorkerID
	Incarnation Incarnation
}

// GroupsOf returns the groups of one occurrence of a step.
func (j *Job) GroupsOf(occurrence, step int) []GroupID {
	if j.Steps[step].Gang {
		return []GroupID{{Occurrence: occurrence, Step: step}}
	}
	ids := make([]GroupID, j.Steps[step].Tasks)
	for i := range ids {
		ids[i] = GroupID{Occurrence: occurrence, Step: step, Index: i}
	}
	return ids
}

// GroupOf returns the group of a task.
func (j *Job) GroupOf(task Task) GroupID {
	id := GroupID{Occurrence: task.Occurrence, Step: task.Step, Index: task.Index}
	if j.Steps[task.Step].Gang {
		id.Index = 0
	}
	return id
}

// Members returns the tasks of the group.
func (j *Job) Members(id GroupID) []Task {
	if !j.Steps[id.Step].Gang {
		return []Task{{Job: j.ID, Occurrence: id.Occurrence, Step: id.Step, Index: id.Index}}
	}
	tasks := make([]Task, j.Steps[id.Step].Tasks)
	for i := range tasks {
		tasks[i] = Task{Job: j.ID, Occurrence: id.Occurrence, Step: id.Step, Index: i}
	}
	return tasks
}
