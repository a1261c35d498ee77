package claim_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"comfreystream/coordination/claim"
	"comfreystream/coordination/storage"
	"comfreystream/protocol/record"
	"comfreystream/protocol/store"
	standin "comfreystream/standin/store"
	"comfreystream/state"
)

// input is a call of Take, or of Settle with a refusal if release is set.
type input struct {
	job     state.JobID
	release bool
}

// output is the result of a call; unknown is set if the call returned an error.
type output struct {
	unknown bool
	state   claim.State
	holder  state.JobID
}

// claimModel models one key, held by one job or by none.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state.JobID("")} },
	Step: func(before, in, out any) []any {
		holder, i, o := before.(state.JobID), in.(input), out.(output)
		if i.release {
			return stepRelease(holder, i, o)
		}
		return stepTake(holder, i, o)
	},
}

func stepRelease(holder state.JobID, i input, o output) []any {
	after := holder
	if holder == i.job {
		after = ""
	}
	if o.unknown && after != holder {
		return []any{holder, after}
	}
	return []any{after}
}

func stepTake(holder state.JobID, i input, o output) []any {
	switch {
	case o.unknown && holder == "":
		return []any{holder, i.job}
	case o.unknown:
		return []any{holder}
	case o.state == claim.Fresh && holder == "":
		return []any{i.job}
	case o.state == claim.HeldByOther && holder == o.holder && holder != i.job,
		o.state == claim.AlreadyTaken && holder == i.job:
		return []any{holder}
	default:
		return nil
	}
}

// recorder collects the history of calls. It orders them by a counter, since the
// test's clock does not advance while goroutines run.
type recorder struct {
	clock atomic.Int64
	mu    sync.Mutex
	all   []porcupine.Operation
}

func (r *recorder) run(client int, in input, call func() output) {
	begin := r.clock.Add(1)
	out := call()
	end := r.clock.Add(1)
	if out.unknown {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, porcupine.Operation{ClientId: client, Input: in, Call: begin, Output: out, Return: end})
}

func TestClaimsAreLinearizable(t *testing.T) {
	const clients, callsEach = 4, 8
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := standin.New()
				defer platform.Close()
				platform.SnapshotStaleData()
				platform.Inject(standin.RandomFaults(seed))
				var history recorder
				var all sync.WaitGroup
				for client := range clients {
					random := rand.New(rand.NewPCG(seed, uint64(client)+2))
					s := storage.New(store.WithWriteIDs(platform.Operations()), 0)
					s.Random = random.Float64
					planner := claim.New(s, record.ClaimCodec())
					all.Go(func() {
						for i := range callsEach {
							<-time.After(time.Duration(random.IntN(400)) * time.Millisecond)
							takeAndRelease(&history, client, planner, job(state.JobID(fmt.Sprintf("z.%d-%d", client, i/2))))
						}
					})
				}
				all.Wait()
				if !porcupine.CheckOperations(claimModel.ToModel(), history.all) {
					t.Errorf("not linearizable: %+v", history.all)
				}
			})
		})
	}
}

func takeAndRelease(history *recorder, client int, planner *claim.Claims, job *state.Job) {
	ctx := context.Background()
	var out output
	history.run(client, input{job: job.ID}, func() output {
		result, err := planner.Take(ctx, job)
		out = output{unknown: err != nil, state: result.State, holder: result.Holder}
		return out
	})
	if out.unknown || out.state == claim.HeldByOther {
		return
	}
	history.run(client, input{job: job.ID, release: true}, func() output {
		return output{unknown: planner.Settle(ctx, job, state.Refusal(job.ID, state.Cancelled)) != nil}
	})
}
