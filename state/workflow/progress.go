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
	// Status is empty in a part of the progress that leaves it to another part.
	Status Status
	// Routing is where the job's groups are placed since its queue was sent to another
	// service; the zero value leaves it to the job or to another part of the progress.
	Routing Routing
	// Groups holds the groups that were started at least once.
	Groups map[GroupID]Group
}

// Routing is the service on whose workers a job's groups are placed, by a version of the
// configuration.
type Routing struct {
	Service       string
	PolicyVersion int64
}

// WithoutCheckpoints returns the progress without the groups' checkpoints.
func (p Progress) WithoutCheckpoints() Progress {
	groups := make(map[GroupID]Group, len(p.Groups))
	for id, g := range p.Groups {
		g.Checkpoint = ""
		groups[id] = g
	}
	return Progress{Status: p.Status, Routing: p.Routing, Groups: groups}
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

// Groups returns the number of groups of one occurrence of the step.
func (s *Step) Groups() int {
	if s.Gang {
		return 1
	}
	return s.Tasks
}

const (
	// groupBytes is what the stored state of a group takes, most of it its checkpoint.
	groupBytes = 4 << 10
	// workerBytes is what each worker of a gang takes, placementBytes what each member
	// does besides.
	workerBytes, placementBytes = 32, 4
	// largestDeployment is the most workers that a gang is spread over.
	largestDeployment = 7500
)

// RecordBytes estimates how much of a record one group of the step takes.
func (s *Step) RecordBytes() int { return groupBytes + s.PlacementBytes() }

// PlacementBytes estimates how much of a record the workers of one gang take.
func (s *Step) PlacementBytes() int {
	if !s.Gang {
		return 0
	}
	return workerBytes*min(s.Tasks, largestDeployment) + placementBytes*s.Tasks
}

// GroupsOf returns the groups of one occurrence of a step.
func (j *Job) GroupsOf(occurrence, step int) []GroupID {
	ids := make([]GroupID, j.Steps[step].Groups())
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
