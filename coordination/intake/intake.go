package intake

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/backlog"
	"comfreystream/coordination/jobstore"
	"comfreystream/coordination/policy"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// Intake handles callers' requests; every field must be set.
type Intake struct {
	Policy   *policy.Watcher
	JobStore *jobstore.Store
	Now      func() time.Time
	// Accepted and Cancelled are called with what the store holds, to notify the
	// planner sooner than its watch of the store does; they must not block.
	Accepted  func(job *workflow.Job)
	Cancelled func(id workflow.ID)
	Count     func(reason state.Reason)
	// Gate refuses jobs that would start too late to count for anything.
	Gate *backlog.Gate
	Log  zerolog.Logger
}

// Call holds what selects the queue and the organisation of a request.
type Call struct {
	Host string
	Path string
	// Key is the caller's API key.
	Key string
}

// Target is the result of resolving a call.
type Target struct {
	Queue        *workflow.Queue
	Organisation string
	// Rest is the path after the queue's prefix.
	Rest string
	// Version is the version of the configuration that the target comes from,
	// BodyBytes its limit for a request's body; 0 means no limit.
	Version   int64
	BodyBytes int
}

// Resolve finds the queue and the organisation of a call. It refuses a call only
// after reading the configuration again; its error is a *state.StepError.
func (i *Intake) Resolve(ctx context.Context, call Call) (Target, error) {
	if target, allowed := i.resolveKnown(ctx, call); allowed {
		return target, nil
	}
	p, err := i.Policy.Refresh(ctx)
	if err != nil {
		return Target{}, i.refuse("read the configuration", state.StoreUnavailable, err)
	}
	if p == nil {
		return Target{}, i.refuse("find the queue", state.NoManifest, nil)
	}
	target, reason := matchQueue(p, call)
	if reason != "" {
		i.Log.Info().Str("event", "callRefused").Str("reason", string(reason)).Str("host", call.Host).
			Str("path", call.Path).Int64("version", p.Version).Send()
		return Target{}, i.refuse("find the queue", reason, nil)
	}
	return target, nil
}

// resolveKnown returns the target of a call that the latest known configuration
// allows. Only such a call waits for a slow read that is under way: one that needs a
// read joins it, or it would begin another after this one, which nobody waits for.
func (i *Intake) resolveKnown(ctx context.Context, call Call) (Target, bool) {
	p := i.Policy.Current()
	if p == nil {
		return Target{}, false
	}
	if _, reason := matchQueue(p, call); reason != "" {
		return Target{}, false
	}
	target, reason := matchQueue(i.Policy.Latest(ctx), call)
	return target, reason == ""
}

// matchQueue returns the target of a call, or the reason for refusing it.
func matchQueue(p *workflow.Policy, call Call) (Target, state.Reason) {
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

// Submit stores a job for the target's queue. An ambiguous error means that the job
// may run nevertheless; the reason is cancelled if a cancellation of its ID came first.
func (i *Intake) Submit(ctx context.Context, target Target, job *workflow.Job) error {
	q := target.Queue
	job.Queue, job.Service, job.PolicyVersion = q.Name, q.Service, target.Version
	job.Organisation = target.Organisation
	job.Priority, job.MaxAttempts, job.Stretch = q.Priority, q.MaxAttempts, q.Stretch
	job.StartAllowance, job.Accepted = q.StartAllowance, i.Now()
	if slices.ContainsFunc(job.Steps, func(s workflow.Step) bool { return s.Scavenging }) {
		return i.refuseUnsupported(job)
	}
	if q.NeedsAdvice {
		return i.refuseAdvised(ctx, job)
	}
	if refusal := i.shed(ctx, job); refusal != nil {
		return i.refuse("submit a job", state.ExpectedWait, refusal)
	}
	stored, err := i.JobStore.Accept(ctx, job)
	i.logRequest("jobSubmitted", job.ID, err, func(line *zerolog.Event) {
		line.Str("queue", q.Name).Str("service", q.Service).Str("organisation", target.Organisation).Int64("version", target.Version)
		if err == nil && stored != job {
			line.Time("storedAt", stored.Accepted).Str("storedQueue", stored.Queue).Str("storedService", stored.Service)
		}
	})
	if err == nil {
		i.Accepted(stored)
	}
	return i.storeError("submit a job", err)
}

// refuseAdvised refuses a job whose queue needs advice by now. One that is stored was accepted
// by an earlier configuration, and stays so.
func (i *Intake) refuseAdvised(ctx context.Context, job *workflow.Job) error {
	stored, err := i.storeRefusal(ctx, job.ID)
	if stored || err != nil {
		return i.storeError("submit a job", err)
	}
	return i.refuseUnsupported(job)
}

// refuseUnsupported refuses a job of a kind that is not supported, which is not stored.
func (i *Intake) refuseUnsupported(job *workflow.Job) error {
	i.Log.Info().Str("event", "callRefused").Str("request", string(job.ID)).
		Str("reason", string(state.Unsupported)).Str("queue", job.Queue).Send()
	return i.refuse("submit a job", state.Unsupported, nil)
}

// shed returns why the job must not be accepted, or nil. A job that is stored already, or
// may be, is never refused: it runs, so that "not run" would not be true.
func (i *Intake) shed(ctx context.Context, job *workflow.Job) *backlog.Refusal {
	refusal := i.Gate.Check(ctx, job)
	if refusal == nil {
		return nil
	}
	if stored, err := i.storeRefusal(ctx, job.ID); stored || err != nil {
		return nil
	}
	i.Gate.LogRefusal(job, refusal)
	return refusal
}

// storeRefusal stores a refusal, so that no earlier submission of the job takes effect any
// more, and logs why it could not.
func (i *Intake) storeRefusal(ctx context.Context, id workflow.ID) (stored bool, err error) {
	stored, err = i.JobStore.Refuse(ctx, id)
	if stored || err != nil {
		i.Log.Info().Str("event", "refusalDropped").Str("request", string(id)).Bool("stored", stored).Err(err).Send()
	}
	return stored, err
}

// Cancel stores a cancellation of a job; the error's reason is unknownJob if there
// is no such job, and then none of this ID is accepted any more.
func (i *Intake) Cancel(ctx context.Context, id workflow.ID) error {
	known, err := i.JobStore.Cancel(ctx, id)
	i.logRequest("jobCancelled", id, err, func(line *zerolog.Event) { line.Bool("stored", known) })
	if err == nil && !known {
		return i.refuse("cancel a job", state.UnknownJob, nil)
	}
	if err == nil {
		i.Cancelled(id)
	}
	return i.storeError("cancel a job", err)
}

// Status returns the status of a job.
func (i *Intake) Status(ctx context.Context, id workflow.ID) (workflow.Status, error) {
	status, known, err := i.JobStore.Status(ctx, id)
	if err != nil {
		i.logRequest("statusUnread", id, err, nil)
		return "", i.storeError("read a job's state", err)
	}
	if !known {
		return "", i.refuse("read a job's state", state.UnknownJob, nil)
	}
	return status, nil
}

// Pending returns the number of jobs in the target's queue without a started task.
func (i *Intake) Pending(ctx context.Context, target Target) (int, error) {
	pending, err := i.JobStore.Pending(ctx)
	if state.ReasonOf(err, "") == state.NoPlanner {
		return 0, i.refuse("count waiting jobs", state.NoPlanner, err)
	}
	if err != nil {
		return 0, i.storeError("count waiting jobs", err)
	}
	return pending.Pending[target.Queue.Name], nil
}

// logRequest logs the outcome of a request about a job; addFields, if not nil, adds
// fields to the line.
func (i *Intake) logRequest(event string, id workflow.ID, err error, addFields func(line *zerolog.Event)) {
	line := i.Log.Info()
	if err != nil {
		line = i.Log.Warn().Bool("mayTakeEffect", state.IsAmbiguous(err)).Err(err)
	}
	line.Str("event", event).Str("request", string(id))
	if addFields != nil {
		addFields(line)
	}
	line.Send()
}

// decidedReasons are those of errors that say more than that the store could not be used.
var decidedReasons = []state.Reason{state.BodyTooLarge, state.BadRequest, state.Cancelled, state.ExpectedWait}

// storeError counts an error of the store and returns it with the step's name; it is
// ambiguous if err is.
func (i *Intake) storeError(step string, err error) error {
	if err == nil {
		return nil
	}
	if reason := state.ReasonOf(err, ""); !state.IsAmbiguous(err) && slices.Contains(decidedReasons, reason) {
		return i.refuse(step, reason, err)
	}
	i.Count(state.StoreUnavailable)
	if state.IsAmbiguous(err) {
		return state.NewAmbiguousStepError(step, netip.AddrPort{}, state.StoreUnavailable, err)
	}
	return state.NewStepError(step, netip.AddrPort{}, state.StoreUnavailable, err)
}

// refuse counts a refusal and returns its error.
func (i *Intake) refuse(step string, reason state.Reason, cause error) error {
	i.Count(reason)
	return state.NewStepError(step, netip.AddrPort{}, reason, cause)
}
