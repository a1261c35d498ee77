package intake

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/archive"
	"comfreystream/coordination/policy"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// Intake answers callers; every field must be set.
type Intake struct {
	Policy  *policy.Book
	Archive *archive.Archive
	Now     func() time.Time
	// Accepted and Cancelled hear what is on record, so that the planner need
	// not wait for the store to tell it; they must not block.
	Accepted  func(job *workflow.Job)
	Cancelled func(id workflow.ID)
	Count     func(reason state.Reason)
	Log       zerolog.Logger
}

// Call says where a request was sent and with which key.
type Call struct {
	Host string
	Path string
	Key  string
}

// Target is the queue that a call is for, and the rest of its path.
type Target struct {
	Queue        *workflow.Queue
	Organisation string
	// Rest is the path behind the queue's prefix.
	Rest string
	// Version is that of the configuration which decided, BodyBytes its bound
	// for a request's body; 0 is none.
	Version   int64
	BodyBytes int
}

// Resolve finds the queue and the organisation of a call. It refuses only on
// a configuration that was just read; its error is a *state.StepError.
func (i *Intake) Resolve(ctx context.Context, call Call) (Target, error) {
	p := i.Policy.Current()
	if p != nil {
		if target, reason := match(p, call); reason == "" {
			return target, nil
		}
	}
	p, err := i.Policy.Confirm(ctx)
	if err != nil {
		return Target{}, i.refuse("confirm the configuration", state.StoreUnavailable, err)
	}
	if p == nil {
		return Target{}, i.refuse("find the queue", state.NoManifest, nil)
	}
	target, reason := match(p, call)
	if reason != "" {
		i.Log.Info().Str("event", "callRefused").Str("reason", string(reason)).Str("host", call.Host).
			Str("path", call.Path).Int64("version", p.Version).Send()
		return Target{}, i.refuse("find the queue", reason, nil)
	}
	return target, nil
}

func match(p *workflow.Policy, call Call) (Target, state.Reason) {
	queue, found := p.Match(call.Host, call.Path)
	if !found {
		return Target{}, state.UnknownQueue
	}
	target := Target{Queue: queue, Rest: call.Path[len(queue.Prefix):], Version: p.Version, BodyBytes: p.BodyBytes}
	organisation, known := p.Keys[call.Key]
	if !known && !queue.Anonymous {
		return Target{}, state.UnknownOrganisation
	}
	target.Organisation = organisation
	return target, ""
}

// Submit puts a job on record. An ambiguous error means that it may run.
func (i *Intake) Submit(ctx context.Context, target Target, job *workflow.Job) error {
	q := target.Queue
	job.Queue, job.Service, job.Organisation = q.Name, q.Service, target.Organisation
	job.Priority, job.MaxAttempts, job.Stretch = q.Priority, q.MaxAttempts, q.Stretch
	job.StartAllowance, job.Accepted = q.StartAllowance, i.Now()
	if q.Advised || slices.ContainsFunc(job.Steps, func(s workflow.Step) bool { return s.Scavenging }) {
		i.Log.Info().Str("event", "callRefused").Str("request", string(job.ID)).
			Str("reason", string(state.Unsupported)).Str("queue", q.Name).Send()
		return i.refuse("submit a job", state.Unsupported, nil)
	}
	err := i.Archive.Accept(ctx, job)
	i.logCall("jobSubmitted", job.ID, err, func(line *zerolog.Event) {
		line.Str("queue", q.Name).Str("organisation", target.Organisation).Int64("version", target.Version)
	})
	if err == nil {
		i.Accepted(job)
	}
	return i.typed("submit a job", err)
}

// Cancel puts a cancellation on record; the error's reason is unknownJob if
// there is no such job.
func (i *Intake) Cancel(ctx context.Context, id workflow.ID) error {
	known, err := i.Archive.Cancel(ctx, id)
	i.logCall("jobCancelled", id, err, nil)
	if err == nil && !known {
		return i.refuse("cancel a job", state.UnknownJob, nil)
	}
	if err == nil {
		i.Cancelled(id)
	}
	return i.typed("cancel a job", err)
}

// Status returns how far a job is.
func (i *Intake) Status(ctx context.Context, id workflow.ID) (workflow.Status, error) {
	status, known, err := i.Archive.Status(ctx, id)
	if err != nil {
		i.logCall("statusUnread", id, err, nil)
		return "", i.typed("read a job's state", err)
	}
	if !known {
		return "", i.refuse("read a job's state", state.UnknownJob, nil)
	}
	return status, nil
}

// Pending returns how many jobs of the queue have no started task.
func (i *Intake) Pending(ctx context.Context, target Target) (int, error) {
	pending, err := i.Archive.Pending(ctx)
	if err != nil {
		return 0, i.typed("count waiting jobs", err)
	}
	return pending[target.Queue.Name], nil
}

// logCall writes one line for a call that touched a job; inputs adds what
// decided it, if that is not nil.
func (i *Intake) logCall(event string, id workflow.ID, err error, inputs func(line *zerolog.Event)) {
	line := i.Log.Info()
	if err != nil {
		line = i.Log.Warn().Bool("mayTakeEffect", state.IsAmbiguous(err)).Err(err)
	}
	line.Str("event", event).Str("request", string(id))
	if inputs != nil {
		inputs(line)
	}
	line.Send()
}

// typed keeps what an error of the store says about a lost answer.
func (i *Intake) typed(step string, err error) error {
	if err == nil {
		return nil
	}
	i.Count(state.StoreUnavailable)
	if state.IsAmbiguous(err) {
		return state.AmbiguousStep(step, netip.AddrPort{}, state.StoreUnavailable, err)
	}
	return state.NewStepError(step, netip.AddrPort{}, state.StoreUnavailable, err)
}

func (i *Intake) refuse(step string, reason state.Reason, cause error) error {
	i.Count(reason)
	return state.NewStepError(step, netip.AddrPort{}, reason, cause)
}
