package caller

import (
	"context"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"comfreystream/state"
)

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
	// Submit has the job run and returns its outcome; if the context ends
	// first, because the caller has left, the progress says that it goes on. The
	// job's identity is empty, or names only the zone as in "zone.".
	Submit func(ctx context.Context, job state.Job) state.Progress
	// Accept takes the job on for good and returns its identity at once.
	Accept func(ctx context.Context, job state.Job) (state.JobID, error)
	// Await returns how far the job is; it waits up to the duration for its end.
	Await  func(ctx context.Context, job state.JobID, wait time.Duration) (state.Progress, error)
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
