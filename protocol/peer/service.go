package peer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"comfreystream/coordination/rollout"
	"comfreystream/state"
	"comfreystream/transport"
)

// Hold asks the home of a rack for leases for one attempt, all or none.
type Hold struct {
	Rack       string
	Job        state.Job
	Attempt    state.Attempt
	Placements []state.Placement
	// TTL is how long the leases last unless they are renewed.
	TTL time.Duration
}

// Stop asks the home of a rack to void one attempt.
type Stop struct {
	Rack    string
	Attempt state.JobAttempt
	// Workers limits the stop to these; none means every worker of the rack.
	Workers []netip.AddrPort
}

// Service is what an entry does for its peers; every field must be set.
// Errors are *state.StepError; others count as ambiguous.
type Service struct {
	// Submit takes the job in as the zone's planner while its front waits;
	// again is set if another planner may have taken it in before.
	Submit func(ctx context.Context, job state.Job, again bool) error
	// Accept takes the job on for good as the zone's planner.
	Accept func(ctx context.Context, job state.Job) error
	// Await returns how far the job is; it waits up to the duration for its end.
	Await  func(ctx context.Context, job state.JobID, wait time.Duration) (state.Progress, error)
	Cancel func(ctx context.Context, job state.JobID) error
	Hold   func(ctx context.Context, hold Hold) ([]state.Lease, error)
	Start  func(ctx context.Context, rack string, leases []state.Lease) error
	// Stop reports neverStarted only if no member was ever started.
	Stop       func(ctx context.Context, stop Stop) (neverStarted bool, err error)
	Checkpoint func(ctx context.Context, rack string, attempt state.JobAttempt) ([][]byte, error)
	// Announce has the racks reported in full to the zone's planner.
	Announce func(ctx context.Context) error
	// Report takes what the home of a rack tells the zone's planner.
	Report func(ctx context.Context, report state.RackReport) (state.ReportReply, error)
	// PushManifest takes in an update and returns what is in force after it.
	PushManifest func(ctx context.Context, update rollout.Update) (rollout.Have, error)
	// FetchManifest returns the update from what the peer has to what is in force.
	FetchManifest func(ctx context.Context, have rollout.Have) (rollout.Update, error)
}

// PathPrefix begins the path of every call between entries.
const PathPrefix = "/peer/"

// Handler returns the handler for all paths that begin with PathPrefix.
func (s *Service) Handler() fasthttp.RequestHandler {
	mux := http.NewServeMux()
	s.handleJobs(mux)
	s.handleRacks(mux)
	s.handleManifest(mux)
	return transport.Adapt(mux)
}

type none struct{}
