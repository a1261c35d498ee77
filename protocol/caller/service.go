package caller

import (
	"comfreystream/state"
	"context"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"
)

// Submission is a caller's request to run a job; the job has no identity yet.
type Submission struct {
	Job state.Job
	// AvailabilityZone is where the job must run; empty leaves it to the entry.
	AvailabilityZone string
}

// Change is an operator's request to replace the manifest.
type Change struct {
	// File is the manifest as the operator sent it.
	File []byte
	// Conditional is set when the change must replace the generation Expected.
	Conditional bool
	Expected    state.Generation
}

// Applied tells how far an accepted manifest has come.
type Applied struct {
	// Generation is the accepted one or, with an error, the one that won.
	Generation state.Generation
	// InForce lists the entries that have it in force.
	InForce []netip.AddrPort
	// Unreachable lists the entries that could not be asked.
	Unreachable []netip.AddrPort
}

// Service is what an entry does for callers and operators; every field must
// be set. Errors are *state.StepError; others count as ambiguous.
type Service struct {
	// Submit runs the job and returns its final outcome; the context ends
	// when the caller leaves.
	Submit func(ctx context.Context, submission Submission) (state.Outcome, error)
	// Accept takes the job on and returns its identity at once.
	Accept func(ctx context.Context, submission Submission) (state.JobID, error)
	// Progress returns how far the job is; it waits up to the duration for a change.
	Progress func(ctx context.Context, job state.JobID, wait time.Duration) (state.Progress, error)
	// Answer returns the outcome of a job that is done, else its progress.
	Answer func(ctx context.Context, job state.JobID) (state.Progress, error)
	Cancel func(ctx context.Context, job state.JobID) error
	Apply  func(ctx context.Context, change Change) (Applied, error)
	// Manifest returns the manifest in force and its file.
	Manifest func(ctx context.Context) (state.Generation, []byte, error)
	Members  func() []state.Member
	// Overview returns the operators' overview as JSON.
	Overview func(ctx context.Context) ([]byte, error)
	// Drain begins to drain the entry and returns at once.
	Drain func() error
	// Ready returns nil while the entry takes new work.
	Ready   func() error
	Metrics fasthttp.RequestHandler
	Now     func() time.Time
	// Count hears the reason of every error that is sent to a caller.
	Count func(reason state.Reason)
}
