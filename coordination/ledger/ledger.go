package ledger

import (
	"context"
	"sync"
	"time"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

const (
	// OutcomeRetention is the minimum time for which an outcome stays in the store.
	OutcomeRetention = time.Hour
	// leaseReuse is how long new outcomes share one store lease.
	leaseReuse = 30 * time.Minute
	// batchInterval is how long a write waits for others to join its batch.
	batchInterval = 10 * time.Millisecond
	writeTimeout  = 2 * time.Second
	// saveTimeout bounds Save, including the wait for a write in progress, so that
	// the result reaches the entry before that stops waiting.
	saveTimeout = 2500 * time.Millisecond
)

// Ledger saves the jobs of one zone in batches; it is safe for concurrent use.
type Ledger struct {
	Now     func() time.Time
	Storage *storage.Storage
	Codec   Codec

	zone string

	mu              sync.Mutex
	pendingSaves    []*pendingSave
	pendingOutcomes []*pendingOutcome
	// flushing is set while a goroutine writes batches.
	flushing bool
	// segments holds the known segments by store key, segmentKeys the key of each
	// job's segment.
	segments    map[string]state.Entry
	segmentKeys map[state.JobID]string
	// latestVersion is the highest version seen in the store.
	latestVersion state.Version
	closed        bool
	lease         *storage.SharedLease

	// ctx is cancelled by Close to stop the withdrawals.
	ctx         context.Context
	cancel      context.CancelFunc
	flushes     sync.WaitGroup
	withdrawals sync.WaitGroup
}

// pendingSave is a job that is not written yet; done receives the result once.
type pendingSave struct {
	job  *state.Job
	done chan error
	// abandoned is set, under the ledger's lock, once the caller has stopped waiting.
	abandoned bool
}

// pendingOutcome is an outcome that is not written yet; done receives the result once.
type pendingOutcome struct {
	job     state.JobID
	outcome state.Outcome
	done    chan error
}

// New returns the ledger of an availability zone.
func New(store *storage.Storage, codec Codec, availabilityZone string) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Ledger{
		Now:         time.Now,
		Storage:     store,
		Codec:       codec,
		zone:        availabilityZone,
		segments:    make(map[string]state.Entry),
		segmentKeys: make(map[state.JobID]string),
		lease:       storage.NewSharedLease(store, OutcomeRetention, leaseReuse),
		ctx:         ctx,
		cancel:      cancel,
	}
}

// Close refuses further calls and waits for the writes in progress. It stops
// unfinished withdrawals, whose jobs stay in the store.
func (l *Ledger) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.flushes.Wait()
	l.cancel()
	l.withdrawals.Wait()
	return nil
}

// Save writes the job to the store; once it returns nil, the job survives the loss of
// every entry. It takes at most 2.5 s. An error is a *state.StepError, usually with
// reason notDurable: the job is not saved, or if the error is ambiguous it may be,
// and the ledger keeps trying to withdraw it.
func (l *Ledger) Save(ctx context.Context, job *state.Job) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	s := &pendingSave{job: job, done: make(chan error, 1)}
	if err := l.enqueue(func() { l.pendingSaves = append(l.pendingSaves, s) }); err != nil {
		return err
	}
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		return l.abandon(s, ctx.Err())
	}
}

// Finish replaces the saved job by its outcome, and may be repeated after an error.
// It omits an answer that is too large for the store.
func (l *Ledger) Finish(ctx context.Context, job *state.Job, outcome state.Outcome) error {
	p := &pendingOutcome{job: job.ID, outcome: outcome, done: make(chan error, 1)}
	if err := l.enqueue(func() { l.pendingOutcomes = append(l.pendingOutcomes, p) }); err != nil {
		return err
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return state.NewAmbiguousStepError("finish "+string(job.ID), l.Storage.Peer, state.NotDurable, ctx.Err())
	}
}

// enqueue calls add under the lock and starts flushLoop unless it is running.
func (l *Ledger) enqueue(add func()) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return state.NewStepError("write ledger", l.Storage.Peer, state.Draining, nil)
	}
	add()
	if !l.flushing {
		l.flushing = true
		l.flushes.Go(l.flushLoop)
	}
	return nil
}

// abandon gives up a save. A save that is still pending is removed; one that is
// being written is withdrawn afterwards.
func (l *Ledger) abandon(s *pendingSave, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case err := <-s.done:
		return err
	default:
	}
	s.abandoned = true
	for i, waiting := range l.pendingSaves {
		if waiting == s {
			l.pendingSaves = append(l.pendingSaves[:i], l.pendingSaves[i+1:]...)
			return l.notDurableError(s.job.ID, cause, false)
		}
	}
	return l.notDurableError(s.job.ID, cause, true)
}

func (l *Ledger) notDurableError(job state.JobID, cause error, ambiguous bool) error {
	step := "save " + string(job)
	if reason := state.ReasonOf(cause, ""); reason == state.BodyTooLarge {
		return state.NewStepError(step, l.Storage.Peer, reason, cause)
	}
	if ambiguous {
		return state.NewAmbiguousStepError(step, l.Storage.Peer, state.NotDurable, cause)
	}
	return state.NewStepError(step, l.Storage.Peer, state.NotDurable, cause)
}
