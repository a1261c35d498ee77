package worker

import (
	"net/netip"
	"time"

	"comfreystream/protocol/record"
	"comfreystream/state"
)

const (
	attachPath     = "/worker/attach"
	holdPath       = "/worker/hold"
	startPath      = "/worker/start"
	stopPath       = "/worker/stop"
	checkpointPath = "/worker/checkpoint"
	renewPath      = "/worker/renew"
)

type emptyMessage struct{}

type attachResponse struct {
	Token state.Token `json:"token"`
}

// holdRequest carries the job as an encoded record. The worker keeps it and
// returns it with its tasks, so that an entry that starts later can recover the job.
type holdRequest struct {
	Token   state.Token   `json:"token"`
	Attempt state.Attempt `json:"attempt"`
	Members int           `json:"members"`
	TTL     time.Duration `json:"ttl"`
	Job     []byte        `json:"job"`
}

type wireLease struct {
	ID      state.LeaseID  `json:"id"`
	Token   state.Token    `json:"token"`
	Worker  netip.AddrPort `json:"worker"`
	Job     state.JobID    `json:"job"`
	Attempt state.Attempt  `json:"attempt"`
	Members int            `json:"members"`
	Expires time.Time      `json:"expires"`
}

type attemptRequest struct {
	Token   state.Token `json:"token"`
	Attempt wireAttempt `json:"attempt"`
}

type wireAttempt struct {
	Job     state.JobID   `json:"job"`
	Attempt state.Attempt `json:"attempt"`
}

type stopResponse struct {
	NeverStarted bool `json:"neverStarted"`
}

type checkpointResponse struct {
	Saved []byte `json:"saved"`
}

type renewRequest struct {
	Token   state.Token   `json:"token"`
	TTL     time.Duration `json:"ttl"`
	Confirm []wireAttempt `json:"confirm,omitempty"`
	Forget  []wireAttempt `json:"forget,omitempty"`
	Since   uint64        `json:"since"`
	Wait    time.Duration `json:"wait"`
}

type renewResponse struct {
	Version uint64     `json:"version"`
	Worker  wireWorker `json:"worker"`
	Changed []wireTask `json:"changed,omitempty"`
}

type wireWorker struct {
	Address  netip.AddrPort `json:"address"`
	Rack     wireRack       `json:"rack"`
	Capacity wireResources  `json:"capacity"`
	Leaving  bool           `json:"leaving,omitempty"`
}

type wireRack struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	Position         int    `json:"position"`
}

type wireResources struct {
	Slots        int   `json:"slots,omitempty"`
	Accelerators int   `json:"accelerators,omitempty"`
	Cores        int   `json:"cores,omitempty"`
	MemoryBytes  int64 `json:"memoryBytes,omitempty"`
}

type wireTask struct {
	Lease      wireLease       `json:"lease"`
	Phase      state.TaskPhase `json:"phase"`
	Started    bool            `json:"started,omitempty"`
	Checkpoint []byte          `json:"checkpoint,omitempty"`
	Answer     []byte          `json:"answer,omitempty"`
	Used       wireResources   `json:"used,omitzero"`
	Job        []byte          `json:"job,omitempty"`
}

func toWireAttempts(attempts []state.JobAttempt) []wireAttempt {
	wire := make([]wireAttempt, len(attempts))
	for i, a := range attempts {
		wire[i] = wireAttempt(a)
	}
	return wire
}

func fromWireAttempts(wire []wireAttempt) []state.JobAttempt {
	attempts := make([]state.JobAttempt, len(wire))
	for i, a := range wire {
		attempts[i] = state.JobAttempt(a)
	}
	return attempts
}

func toWireWorker(w state.Worker) wireWorker {
	return wireWorker{
		Address: w.Address, Rack: wireRack(w.Rack),
		Capacity: wireResources(w.Capacity), Leaving: w.Leaving,
	}
}

func fromWireWorker(w wireWorker) state.Worker {
	return state.Worker{
		Address: w.Address, Rack: state.Rack(w.Rack),
		Capacity: state.Resources(w.Capacity), Leaving: w.Leaving,
	}
}

func toWireTask(t *state.Task) (wireTask, error) {
	job, err := record.EncodeJob(&t.Job)
	return wireTask{
		Lease: wireLease(t.Lease), Phase: t.Phase, Started: t.Started,
		Checkpoint: t.Checkpoint, Answer: t.Answer, Used: wireResources(t.Used), Job: job,
	}, err
}

func fromWireTask(w *wireTask) (state.Task, error) {
	job, err := record.DecodeJob(w.Job)
	return state.Task{
		Lease: state.Lease(w.Lease), Phase: w.Phase, Started: w.Started,
		Checkpoint: w.Checkpoint, Answer: w.Answer, Used: state.Resources(w.Used), Job: job,
	}, err
}
