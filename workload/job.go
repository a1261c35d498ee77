package workload

import (
	"bytes"
	"fmt"
	"time"

	"comfreystream/state"
)

const (
	// largeRunFactor is how much longer a gang runs than a small job.
	largeRunFactor = 4
	// waveRunTime is far above the time until the wave is cancelled.
	waveRunTime = time.Minute
	// tooManyAccelerators is more than any worker has.
	tooManyAccelerators = 1 << 12
)

// job returns what the request submits.
func (p *Plan) job(r request) *state.Job {
	j := &state.Job{
		Organisation: r.owner, Kind: r.class.String(), Members: 1,
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
		j.Idempotent, j.Checkpointable, j.Key = false, false, p.answer(r)
	case CancelWave:
		runTime = waveRunTime
	}
	j.DeclaredRunTime = runTime
	j.Payload = fmt.Appendf(nil, `{"run":%q,"answer":%q}`, runTime, p.answer(r))
	return j
}

// answer returns what each worker of the request's gang must bring back; no
// other request's answer begins with it.
func (p *Plan) answer(r request) string {
	return fmt.Sprintf("%s/%d/%d;", p.Name, p.Seed, r.number)
}

// owns reports whether the answer is the request's own and whole: one copy
// from each worker of the gang, so at least one and at most one a member.
func (p *Plan) owns(r request, job *state.Job, answer []byte) bool {
	own := []byte(p.answer(r))
	copies := bytes.Count(answer, own)
	return copies >= 1 && copies <= job.Members && copies*len(own) == len(answer)
}
