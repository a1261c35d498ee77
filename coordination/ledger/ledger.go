package ledger

import (
	"context"
	"sync"
	"time"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

const (
	// OutcomeRetention is how long an outcome stays in the store at least.
	OutcomeRetention = time.Hour
	leaseInterval    = 30 * time.Minute
	// batchInterval is how long a write waits for others to join it.
	batchInterval = 10 * time.Millisecond
	writeTimeout  = 2 * time.Second
	// saveTimeout bounds Save, also behind a write that is under way, so that the
	// answer reaches an entry that waits for it.
	saveTimeout = 2500 * time.Millisecond
)

// Ledger saves the jobs of one zone in batches; it is safe for several goroutines.
type Ledger struct {
	Now     func() time.Time
	Storage *storage.Storage
	Codec   Codec

	zone string

	mu       sync.Mutex
	saves    []*save
	finishes []*finish
	// flushing is set while a goroutine writes batches.
	flushing bool
	// segments holds the entries in the store by key, where the key of a job's.
	segments map[string]state.Entry
	where    map[state.JobID]string
	// latest is the highest version that the store has shown.
	latest state.Version
	closed bool
	lease  *storage.SharedLease

	// ctx ends the withdrawals.
	ctx         context.Context
	cancel      context.CancelFunc
	flushes     sync.WaitGroup
	withdrawals sync.WaitGroup
}

// save is a job that waits to be written; done gets the result once.
type save struct {
	job  *state.Job
	done chan error
	// abandoned is set, under the ledger's lock, if the caller has given up.
	abandoned bool
}

// finish is an outcome that waits to be written.
type finish struct {
	job     state.JobID
	outcome state.Outcome
	done    chan error
}

// New returns the ledger of a zone.
func New(store *storage.Storage, codec Codec, availabilityZone string) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Ledger{
		Now:      time.Now,
		Storage:  store,
		Codec:    codec,
		zone:     availabilityZone,
		segments: make(map[string]state.Entry),
		where:    make(map[state.JobID]string),
		lease:    storage.NewSharedLease(store, OutcomeRetention, leaseInterval),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Close refuses further calls and waits for the writes under way; what is
// still to be undone is left in the store.
func (l *Ledger) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.flushes.Wait()
	l.cancel()
	l.withdrawals.Wait()
	return nil
}

// Save keeps the job; once it returns nil the job outlives every entry. It
// takes 2.5 s at most. An
// error is a *state.StepError with reason notDurable: the job is not kept, or
// if the error is ambiguous it may be, and the ledger goes on trying to undo it.
func (l *Ledger) Save(ctx context.Context, job *state.Job) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	s := &save{job: job, done: make(chan error, 1)}
	if err := l.enqueue(func() { l.saves = append(l.saves, s) }); err != nil {
		return err
	}
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		return l.abandon(s, ctx.Err())
	}
}

// Finish keeps the outcome in place of the job. It may be called again after an
// error. An answer that is too large for the store is left out.
func (l *Ledger) Finish(ctx context.Context, job *state.Job, outcome state.Outcome) error {
	f := &finish{job: job.ID, outcome: outcome, done: make(chan error, 1)}
	if err := l.enqueue(func() { l.finishes = append(l.finishes, f) }); err != nil {
		return err
	}
	select {
	case err := <-f.done:
		return err
	case <-ctx.Done():
		return state.AmbiguousStep("finish "+string(job.ID), l.Storage.Peer, state.NotDurable, ctx.Err())
	}
}

func (l *Ledger) enqueue(add func()) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return state.NewStepError("write ledger", l.Storage.Peer, state.Draining, nil)
	}
	add()
	if !l.flushing {
		l.flushing = true
		l.flushes.Go(l.flushAll)
	}
	return nil
}

// abandon gives up a save: one that still waits is not written.
func (l *Ledger) abandon(s *save, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case err := <-s.done:
		return err
	default:
	}
	s.abandoned = true
	for i, waiting := range l.saves {
		if waiting == s {
			l.saves = append(l.saves[:i], l.saves[i+1:]...)
			return l.notDurable(s.job.ID, cause, false)
		}
	}
	return l.notDurable(s.job.ID, cause, true)
}

func (l *Ledger) notDurable(job state.JobID, cause error, ambiguous bool) error {
	step := "save " + string(job)
	if reason := state.ReasonOf(cause, ""); reason == state.BodyTooLarge {
		return state.NewStepError(step, l.Storage.Peer, reason, cause)
	}
	if ambiguous {
		return state.AmbiguousStep(step, l.Storage.Peer, state.NotDurable, cause)
	}
	return state.NewStepError(step, l.Storage.Peer, state.NotDurable, cause)
}
