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

// Plan is the configuration of a run. The same plan always sends the same jobs at the
// same times.
type Plan struct {
	// Seed initialises the random choice of times, classes, owners and run times.
	Seed uint64
	// Name is part of each answer and of each key of a non-idempotent job, so
	// that two runs against the same entries do not share keys.
	Name string
	// Requests is the number of requests.
	Requests int
	// Rate is the mean number of requests due per second; the times between them are
	// exponentially distributed.
	Rate float64
	// RunFor limits the duration of the run; requests without an outcome by then count
	// as unfinished.
	RunFor time.Duration
	// Mix holds the relative number of requests of each class.
	Mix Mix
	// Organisations own the jobs; the owner of each job is chosen at random.
	Organisations []string
	// RunTime is the mean run time of a small job; a gang runs four times as long.
	RunTime time.Duration
	// LargeMembers is the number of members of a gang.
	LargeMembers int
	// LargeAccelerators is the number of accelerators of each member of a gang.
	LargeAccelerators int
	// WaveJobs is the number of jobs in a wave.
	WaveJobs int
	// InFlight limits the number of concurrent requests. The time that a request
	// waits for others counts as lateness and as part of its completion time.
	InFlight int
	// Retries limits how often a request is sent again if its job did not run.
	Retries int
	// SampleEvery is the interval between samples of the fragmentation.
	SampleEvery time.Duration
}

// Check returns an error for the first field of the plan that is out of range.
func (p *Plan) Check() error {
	bounds := []struct {
		holds   bool
		message string
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
		if !b.holds {
			return errors.New(b.message)
		}
	}
	return nil
}

// request is one request of a run, as generated from the seed.
type request struct {
	number       int
	class        Class
	due          time.Duration
	organisation string
	runTime      time.Duration
}

// requests generates the requests in the order in which they are due. The times
// between them are exponentially distributed, as for independent callers.
func (p *Plan) requests() []request {
	random := rand.New(rand.NewPCG(p.Seed, 0))
	list := make([]request, p.Requests)
	var due time.Duration
	for i := range list {
		due += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
		list[i] = request{
			number: i, due: due,
			class:        p.Mix.classAt(random.IntN(p.Mix.total())),
			organisation: p.Organisations[random.IntN(len(p.Organisations))],
			runTime:      time.Duration(min(random.ExpFloat64(), 4) * float64(p.RunTime)),
		}
	}
	return list
}
