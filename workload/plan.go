package workload

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	maxRequests = 1_000_000
	maxRunFor   = 24 * time.Hour
)

// Plan says what is sent, and when; the same plan sends the same jobs at the
// same times.
type Plan struct {
	Seed uint64
	// Name is part of each answer and of each key of a non-idempotent job, so
	// that two runs against the same entries do not share keys.
	Name string
	// Requests is how many there are.
	Requests int
	// Rate is the mean number of requests due in a second; they are due at random.
	Rate float64
	// RunFor bounds the run; what is not answered by then counts as unfinished.
	RunFor time.Duration
	Mix    Mix
	// Organisations own the jobs, in turn at random.
	Organisations []string
	// RunTime is the mean run time of a small job; a gang's is four times as long.
	RunTime           time.Duration
	LargeMembers      int
	LargeAccelerators int
	WaveJobs          int
	// InFlight bounds the requests that are out at once; one that waits for its
	// turn is late, and its time counts.
	InFlight int
	// Retries bounds how often a request that did not run is sent again.
	Retries int
	// SampleEvery is the time between two samples of the fragmentation.
	SampleEvery time.Duration
}

// Check returns an error that names the first bound that the plan breaks.
func (p *Plan) Check() error {
	bounds := []struct {
		kept   bool
		remedy string
	}{
		{p.Requests > 0 && p.Requests <= maxRequests, "send from 1 to 1000000 requests"},
		{p.Rate > 0, "send more than 0 requests a second"},
		{p.RunFor > 0 && p.RunFor <= maxRunFor, "run for at most 24h"},
		{len(p.Organisations) > 0, "name at least one organisation"},
		{p.RunTime > 0, "give jobs a run time above 0s"},
		{p.LargeMembers > 0 && p.LargeAccelerators > 0 && p.WaveJobs > 0, "give gangs and waves at least one member"},
		{p.InFlight > 0, "allow at least one request in flight"},
		{p.Retries >= 0, "retry 0 times or more"},
		{p.SampleEvery > 0, "take samples further apart than 0s"},
	}
	for _, b := range bounds {
		if !b.kept {
			return errors.New(b.remedy)
		}
	}
	return nil
}

// request is one entry of the seeded list.
type request struct {
	number  int
	class   Class
	due     time.Duration
	owner   string
	runTime time.Duration
}

// requests returns the list in the order in which they are due; the times
// between them are exponential, as of callers who do not know of each other.
func (p *Plan) requests() []request {
	random := rand.New(rand.NewPCG(p.Seed, 0))
	list := make([]request, p.Requests)
	var due time.Duration
	for i := range list {
		due += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
		list[i] = request{
			number: i, due: due,
			class:   p.Mix.pick(random.IntN(p.Mix.total())),
			owner:   p.Organisations[random.IntN(len(p.Organisations))],
			runTime: time.Duration(min(random.ExpFloat64(), 4) * float64(p.RunTime)),
		}
	}
	return list
}
