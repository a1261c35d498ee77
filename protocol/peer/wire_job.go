package peer

import (
	"net/netip"
	"time"

	"comfreystream/state"
)

type wireResources struct {
	Slots        int   `cbor:"1,keyasint,omitempty"`
	Accelerators int   `cbor:"2,keyasint,omitempty"`
	Cores        int   `cbor:"3,keyasint,omitempty"`
	MemoryBytes  int64 `cbor:"4,keyasint,omitempty"`
}

type wireJob struct {
	ID              state.JobID   `cbor:"1,keyasint"`
	Organisation    string        `cbor:"2,keyasint,omitempty"`
	Kind            string        `cbor:"3,keyasint,omitempty"`
	Members         int           `cbor:"4,keyasint,omitempty"`
	Shape           wireResources `cbor:"5,keyasint"`
	Adjacency       wireAdjacency `cbor:"6,keyasint,omitempty"`
	Urgency         wireUrgency   `cbor:"7,keyasint,omitempty"`
	Submitted       wireTime      `cbor:"8,keyasint,omitempty"`
	Deadline        wireTime      `cbor:"9,keyasint,omitempty"`
	Idempotent      bool          `cbor:"10,keyasint,omitempty"`
	Key             string        `cbor:"11,keyasint,omitempty"`
	Checkpointable  bool          `cbor:"12,keyasint,omitempty"`
	DeclaredRunTime time.Duration `cbor:"13,keyasint,omitempty"`
	Payload         []byte        `cbor:"14,keyasint,omitempty"`
}

type wirePlacement struct {
	Worker  netip.AddrPort `cbor:"1,keyasint"`
	Rack    string         `cbor:"2,keyasint,omitempty"`
	Members int            `cbor:"3,keyasint"`
}

type wireOutcome struct {
	Job     state.JobID   `cbor:"1,keyasint"`
	Attempt state.Attempt `cbor:"2,keyasint,omitempty"`
	Ran     wireRan       `cbor:"3,keyasint"`
	Reason  state.Reason  `cbor:"4,keyasint,omitempty"`
	Retry   bool          `cbor:"5,keyasint,omitempty"`
	Answer  []byte        `cbor:"6,keyasint,omitempty"`
	Holder  state.JobID   `cbor:"7,keyasint,omitempty"`
}

type wireProgress struct {
	Done    bool         `cbor:"1,keyasint,omitempty"`
	Phase   wireJobPhase `cbor:"2,keyasint"`
	Outcome wireOutcome  `cbor:"3,keyasint"`
}

type wireAttempt struct {
	Job     state.JobID   `cbor:"1,keyasint"`
	Attempt state.Attempt `cbor:"2,keyasint"`
}

// wireTime is a wall-clock time in nanoseconds since the Unix epoch; 0 encodes
// the zero time.Time.
type wireTime int64

func toWireTime(t time.Time) wireTime {
	if t.IsZero() {
		return 0
	}
	return wireTime(t.UnixNano())
}

func (t wireTime) time() time.Time {
	if t == 0 {
		return time.Time{}
	}
	return time.Unix(0, int64(t))
}

func toWireJob(job *state.Job) wireJob {
	return wireJob{
		ID: job.ID, Organisation: job.Organisation, Kind: job.Kind, Members: job.Members,
		Shape: wireResources(job.Shape), Adjacency: wireAdjacency(job.Adjacency), Urgency: wireUrgency(job.Urgency),
		Submitted: toWireTime(job.Submitted), Deadline: toWireTime(job.Deadline),
		Idempotent: job.Idempotent, Key: job.Key, Checkpointable: job.Checkpointable,
		DeclaredRunTime: job.DeclaredRunTime, Payload: job.Payload,
	}
}

func (w *wireJob) job() state.Job {
	return state.Job{
		ID: w.ID, Organisation: w.Organisation, Kind: w.Kind, Members: w.Members,
		Shape: state.Resources(w.Shape), Adjacency: state.Adjacency(w.Adjacency), Urgency: state.Urgency(w.Urgency),
		Submitted: w.Submitted.time(), Deadline: w.Deadline.time(),
		Idempotent: w.Idempotent, Key: w.Key, Checkpointable: w.Checkpointable,
		DeclaredRunTime: w.DeclaredRunTime, Payload: w.Payload,
	}
}

func toWireProgress(p state.Progress) wireProgress {
	return wireProgress{Done: p.Done, Phase: wireJobPhase(p.Phase), Outcome: toWireOutcome(p.Outcome)}
}

func (w wireProgress) progress() state.Progress {
	return state.Progress{Done: w.Done, Phase: state.JobPhase(w.Phase), Outcome: w.Outcome.outcome()}
}

func toWireOutcome(o state.Outcome) wireOutcome {
	return wireOutcome{
		Job: o.Job, Attempt: o.Attempt, Ran: wireRan(o.Ran), Reason: o.Reason, Retry: o.Retry, Answer: o.Answer,
		Holder: o.Holder,
	}
}

func (w wireOutcome) outcome() state.Outcome {
	return state.Outcome{
		Job: w.Job, Attempt: w.Attempt, Ran: state.Ran(w.Ran), Reason: w.Reason, Retry: w.Retry, Answer: w.Answer,
		Holder: w.Holder,
	}
}

// convert maps the values to their converted form; an empty slice becomes nil.
func convert[From, To any](values []From, convertOne func(From) To) []To {
	if len(values) == 0 {
		return nil
	}
	converted := make([]To, len(values))
	for i, value := range values {
		converted[i] = convertOne(value)
	}
	return converted
}

func toWireAttempt(a state.JobAttempt) wireAttempt { return wireAttempt(a) }

func (w wireAttempt) attempt() state.JobAttempt { return state.JobAttempt(w) }

func toWirePlacement(p state.Placement) wirePlacement { return wirePlacement(p) }

func (w wirePlacement) placement() state.Placement { return state.Placement(w) }
