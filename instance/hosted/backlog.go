package hosted

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/backlog"
	"comfreystream/coordination/pause"
	"comfreystream/state/workflow"
)

const (
	// pendingInterval is the time between checks whether the figures of the waiting jobs
	// have changed and must be stored.
	pendingInterval = time.Second
	// maxWaitLines bounds the log lines on waits each loadInterval.
	maxWaitLines = 4
)

// savePending stores the figures of the waiting jobs whenever they have changed, and each
// pendingInterval while jobs are to be refused by them.
func (t *term) savePending() {
	i := t.instance
	record := i.plannerJobStore.NewPendingRecord(t.condition)
	var sustained backlog.Sustained
	defer t.observeWaits(nil)
	for t.ctx.Err() == nil {
		now := time.Now()
		figures := backlog.Figures{Pending: t.scheduler.Pending(), Waits: sustained.Filter(now, t.scheduler.Waits()), At: now}
		t.observeWaits(figures.Waits)
		t.waits.Store(&figures.Waits)
		if i.candidate.Valid(t.condition.Revision) {
			if err := record.Update(t.ctx, i.candidate.Lease(), figures); err != nil && t.ctx.Err() == nil {
				i.log.Warn().Str("event", "pendingNotRecorded").Err(err).Send()
			}
		}
		pause.For(t.ctx, pendingInterval)
	}
}

// refuses reports whether the newest figures refuse jobs.
func (t *term) refuses() bool {
	waits := t.waits.Load()
	return waits != nil && len(*waits) > 0
}

// observeWaits updates the gauges of the waits; a wait that has ended is set to 0.
func (t *term) observeWaits(waits []backlog.Wait) {
	longest := make(map[waitKey]time.Duration)
	for key := range t.observed {
		longest[key] = 0
	}
	for i := range waits {
		key := waitKey{waits[i].Service, waits[i].Priority}
		longest[key] = max(longest[key], waits[i].Late)
	}
	t.observed = longest
	for key, wait := range longest {
		t.instance.metrics.SetExpectedWait(key.service, strconv.Itoa(key.priority), wait)
	}
}

// waitKey names a gauge of waits.
type waitKey struct {
	service  string
	priority int
}

// logWaits logs the longest waits by which jobs are refused.
func (t *term) logWaits() {
	waits := t.waits.Load()
	if waits == nil {
		return
	}
	for _, w := range (*waits)[:min(len(*waits), maxWaitLines)] {
		t.instance.log.Info().Str("event", "expectedWait").Str("service", w.Service).Int("priority", w.Priority).
			Int("acceleratorsPerTask", w.Member).Int("accelerators", w.Total).Dur("objective", w.Objective).
			Dur("inTime", w.InTime).Dur("late", w.Late).Int("classes", len(*waits)).Send()
	}
}

// notifyRefused tells the planner of a refusal and returns how long ago the job was first
// refused.
func (i *Instance) notifyRefused(ctx context.Context, id workflow.ID) (time.Duration, error) {
	identity, self := i.candidate.Planner()
	if self {
		return i.handleRefused(id)
	}
	planner, err := plannerAddress(identity)
	if err != nil {
		return 0, err
	}
	return i.plannerClient.NotifyRefused(ctx, planner, id)
}

// handleRefused handles the notification of a refusal.
func (i *Instance) handleRefused(id workflow.ID) (time.Duration, error) {
	t := i.term.Load()
	if t == nil {
		return 0, errors.New("this entry is not the planner")
	}
	return t.returns.Refused(id, time.Now()), nil
}
