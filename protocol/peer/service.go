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

// HoldRequest asks the home of a rack for the leases of one attempt; either all
// placements are leased or none.
type HoldRequest struct {
	Rack       string
	Job        state.Job
	Attempt    state.Attempt
	Placements []state.Placement
	// TTL is how long the leases last without renewal.
	TTL time.Duration
}

// StopRequest asks the home of a rack to stop one attempt and to make sure that it
// cannot start later.
type StopRequest struct {
	Rack    string
	Attempt state.JobAttempt
	// Workers lists the workers to stop the attempt on; empty means all workers of
	// the rack.
	Workers []netip.AddrPort
}

// Service holds the handlers that an entry serves to its peers; every field
// must be set. A handler's error should be a *state.StepError; any other error
// reaches the peer as an ambiguous one.
type Service struct {
	// Submit queues the job at the zone's planner while the entry that received it
	// waits for the outcome; resubmitted is set if a planner may already have
	// received the job.
	Submit func(ctx context.Context, job state.Job, resubmitted bool) error
	// Accept saves the job at the zone's planner and runs it; no entry waits for its outcome.
	Accept func(ctx context.Context, job state.Job) error
	// Await returns the job's progress; it waits up to wait for the job to end.
	Await  func(ctx context.Context, job state.JobID, wait time.Duration) (state.Progress, error)
	Cancel func(ctx context.Context, job state.JobID) error
	Hold   func(ctx context.Context, hold HoldRequest) ([]state.Lease, error)
	Start  func(ctx context.Context, rack string, leases []state.Lease) error
	// Stop sets neverStarted only if no member was ever started.
	Stop       func(ctx context.Context, stop StopRequest) (neverStarted bool, err error)
	Checkpoint func(ctx context.Context, rack string, attempt state.JobAttempt) ([][]byte, error)
	// Announce makes this entry send full reports on its racks to the zone's planner.
	Announce func(ctx context.Context) error
	// Report processes a rack's report at the zone's planner.
	Report func(ctx context.Context, report state.RackReport) (state.ReportReply, error)
	// PushManifest applies an update and returns the version in force afterwards.
	PushManifest func(ctx context.Context, update rollout.Update) (rollout.ManifestID, error)
	// FetchManifest returns the update from the peer's version to the one in force.
	FetchManifest func(ctx context.Context, version rollout.ManifestID) (rollout.Update, error)
}

// PathPrefix is the start of the path of every call between entries.
const PathPrefix = "/peer/"

// Handler returns the HTTP handler for all paths that begin with PathPrefix.
func (s *Service) Handler() fasthttp.RequestHandler {
	mux := http.NewServeMux()
	s.handleJobs(mux)
	s.handleRacks(mux)
	s.handleManifest(mux)
	return boundDecompression(transport.AdaptHandler(mux))
}

type emptyMessage struct{}
