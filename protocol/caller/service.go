package caller

import (
	"context"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"comfreystream/state"
)

// ManifestChange is an operator's request to replace the manifest.
type ManifestChange struct {
	// File is the manifest file as the operator sent it.
	File []byte
	// Conditional makes the change fail unless it replaces the generation
	// Expected. Otherwise the generation in the file is the expected one.
	Conditional bool
	Expected    state.Generation
}

// AppliedManifest reports on which entries an accepted manifest is in force.
type AppliedManifest struct {
	// Generation is the accepted generation or, if another one was accepted
	// before it, that one.
	Generation state.Generation
	// InForce lists the entries on which the manifest is in force.
	InForce []netip.AddrPort
	// Unreachable lists the entries that did not report it in force in time.
	Unreachable []netip.AddrPort
}

// Service holds the operations that an entry offers to callers and operators;
// every field must be set. Operations fail with a *state.StepError; any other
// error is reported as "outcome unknown".
type Service struct {
	// Submit runs the job and returns its outcome. If the context ends first,
	// because the caller has disconnected, the returned progress is not done and
	// the job continues. The job's ID is empty, or "zone." if the caller chose
	// an availability zone.
	Submit func(ctx context.Context, job state.Job) state.Progress
	// Accept records the job durably and returns its ID without waiting for the
	// job to run.
	Accept func(ctx context.Context, job state.Job) (state.JobID, error)
	// Await waits up to the duration for the job to end and returns its progress.
	Await  func(ctx context.Context, job state.JobID, wait time.Duration) (state.Progress, error)
	Cancel func(ctx context.Context, job state.JobID) error
	Apply  func(ctx context.Context, change ManifestChange) (AppliedManifest, error)
	// Manifest returns the generation and the file of the manifest in force.
	Manifest func(ctx context.Context) (state.Generation, []byte, error)
	Members  func() []state.Member
	// Overview returns the status overview for operators as JSON.
	Overview func(ctx context.Context) ([]byte, error)
	// Drain starts draining the entry and returns immediately.
	Drain func() error
	// Ready returns nil while the entry accepts new jobs.
	Ready   func() error
	Metrics fasthttp.RequestHandler
	Now     func() time.Time
	// Count is called with the reason of each error response that Handler sends.
	Count func(reason state.Reason)
}
