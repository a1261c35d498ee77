package workload

import (
	"bytes"
	"fmt"
	"time"

	"comfreystream/state"
)

const (
	// largeRunFactor is the ratio of the run time of a gang to that of a small job.
	largeRunFactor = 4
	// waveRunTime is far above cancelDelay, so that no job of a wave completes before
	// it is cancelled.
	waveRunTime = time.Minute
	// tooManyAccelerators exceeds the capacity of any worker.
	tooManyAccelerators = 1 << 12
)

// job returns the job that the request submits.
func (p *Plan) job(r request) *state.Job {
	j := &state.Job{
		Organisation: r.organisation, Kind: r.class.String(), Members: 1,
		Shape:   state.Resources{Slots: 1, Accelerators: 1},
		Urgency: state.Normal, Idempotent: true, Checkpointable: true,
	}
	runTime := r.runTime
	switch r.class {
	case Large:
		j.Members, j.Shape.Accelerators = p.LargeMembers, p.LargeAccelerators
		j.Adjacency = state.AdjacentRacks
		runTime *= largeRunFactor
	case Urgent:
		j.Urgency = state.Urgent
	case NeverRuns:
		j.Shape.Accelerators = tooManyAccelerators
	case NonIdempotent:
		j.Idempotent, j.Checkpointable, j.Key = false, false, p.expectedAnswer(r)
	case CancelWave:
		runTime = waveRunTime
	}
	j.DeclaredRunTime = runTime
	j.Payload = fmt.Appendf(nil, `{"run":%q,"answer":%q}`, runTime, p.expectedAnswer(r))
	return j
}

// expectedAnswer returns the answer that each worker of the request's gang must
// return. It is not a prefix of any other request's answer.
func (p *Plan) expectedAnswer(r request) string {
	return fmt.Sprintf("%s/%d/%d;", p.Name, p.Seed, r.number)
}

// isOwnAnswer reports whether the answer belongs to the request and is complete: one
// copy of the expected answer from each worker of the gang, which has at least one
// worker and at most one per member.
func (p *Plan) isOwnAnswer(r request, job *state.Job, answer []byte) bool {
	own := []byte(p.expectedAnswer(r))
	copies := bytes.Count(answer, own)
	return copies >= 1 && copies <= job.Members && copies*len(own) == len(answer)
}
