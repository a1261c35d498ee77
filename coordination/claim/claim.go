package claim

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

const (
	// Retention is the minimum time for which a key stays claimed; a request that
	// is repeated later counts as a new one.
	Retention = 48 * time.Hour
	// leaseReuse is how long new claims share one store lease.
	leaseReuse       = time.Hour
	maxWriteAttempts = 4
)

// State tells a job that takes a claim who holds it.
type State uint8

// The states of a claim, as seen by one job.
const (
	// Fresh means that this call took the claim for the job.
	Fresh State = iota
	// AlreadyTaken means that an earlier call took the claim for the same job, which may have
	// started and whose outcome is not recorded.
	AlreadyTaken
	// Ended means that the same job has ended.
	Ended
	// HeldByOther means that another job holds the key.
	HeldByOther
)

// Result is the result of Take.
type Result struct {
	State State
	// Outcome is set for Ended, and for HeldByOther if the holder has ended.
	Outcome state.Outcome
	// Holder is the job that holds the key; other jobs with the key refer to its answer.
	Holder state.JobID
}

// Claims takes and settles claims; it is safe for concurrent use.
type Claims struct {
	Now     func() time.Time
	Storage *storage.Storage
	Codec   Codec

	// unsettled holds the claims taken through this value and not settled yet.
	unsettled *state.Table[state.JobID, unsettledClaim]
	lease     *storage.SharedLease
}

// unsettledClaim is a claim that Take wrote, or may have written.
type unsettledClaim struct {
	takeID state.WriteID
	// entry is the claim's entry in the store; it is empty while inDoubt is set.
	entry state.Entry
	// inDoubt is set if the write may have taken effect, or may still do so.
	inDoubt bool
}

// New returns Claims that keeps its records in the store.
func New(store *storage.Storage, codec Codec) *Claims {
	return &Claims{
		Now:       time.Now,
		Storage:   store,
		Codec:     codec,
		unsettled: state.NewTable[state.JobID, unsettledClaim](),
		lease:     storage.NewSharedLease(store, Retention, leaseReuse),
	}
}

// Take claims the job's key before the job's first start. The job may start
// only if the result is Fresh. An error is a *state.StepError with reason
// claimUnavailable: the job has not run, and if the error is ambiguous,
// Settle releases the key.
func (c *Claims) Take(ctx context.Context, job *state.Job) (Result, error) {
	takeID := c.Storage.NewWriteID()
	result, err := c.take(ctx, job, takeID)
	if err == nil {
		return result, nil
	}
	if state.IsAmbiguous(err) {
		c.unsettled.Put(job.ID, unsettledClaim{takeID: takeID, inDoubt: true})
		return Result{}, state.NewAmbiguousStepError("claim "+job.Key, c.Storage.Peer, state.ClaimUnavailable, err)
	}
	return Result{}, state.NewStepError("claim "+job.Key, c.Storage.Peer, state.ClaimUnavailable, err)
}

func (c *Claims) take(ctx context.Context, job *state.Job, takeID state.WriteID) (Result, error) {
	lease, err := c.lease.Current(ctx, c.Now())
	if err != nil {
		return Result{}, unambiguous(err)
	}
	value, err := c.Codec.Encode(Record{Organisation: job.Organisation, Key: job.Key, Holder: job.ID, TakeID: takeID})
	if err != nil {
		return Result{}, state.NewStepError("encode claim", netip.AddrPort{}, state.BadRequest, err)
	}
	// Most keys are new, so the first write assumes that, which saves a read.
	current := state.Entry{Key: storeKey(job)}
	for range maxWriteAttempts {
		previous := current
		current, err = c.Storage.Put(ctx, storage.ForClaim, previous, value, lease)
		var conflict *state.WriteConflict
		switch {
		case errors.As(err, &conflict):
			current, err = c.Storage.ReadAtLeast(ctx, storage.ForClaim, previous.Key, conflict.Current)
			err = unambiguous(err)
		case err != nil:
			c.lease.DropIfLapsed(err, lease)
		case bytes.Equal(current.Value, value):
			c.unsettled.Put(job.ID, unsettledClaim{takeID: takeID, entry: current})
			return Result{State: Fresh, Holder: job.ID}, nil
		}
		if err != nil {
			return Result{}, err
		}
		record, err := c.decode(job, current)
		if err != nil || record.Holder != "" {
			return resultFor(job, record), err
		}
	}
	return Result{}, state.NewStepError("claim "+job.Key, c.Storage.Peer, state.ClaimUnavailable, errors.New("too many conflicts with writes of other entries"))
}

// resultFor returns the result of Take for a record that has a holder.
func resultFor(job *state.Job, record Record) Result {
	result := Result{Holder: record.Holder, Outcome: record.Outcome}
	switch {
	case record.Holder != job.ID:
		result.State = HeldByOther
	case record.Ended:
		result.State = Ended
	default:
		result.State = AlreadyTaken
	}
	return result
}

// decode returns the record of an entry; it is empty for a key without a value.
func (c *Claims) decode(job *state.Job, entry state.Entry) (Record, error) {
	if entry.Version == 0 {
		return Record{}, nil
	}
	record, err := c.Codec.Decode(entry.Value)
	if err != nil {
		return Record{}, state.NewStepError("decode "+entry.Key, c.Storage.Peer, state.ClaimUnavailable, err)
	}
	if record.Organisation != job.Organisation || record.Key != job.Key {
		return Record{}, state.NewStepError("decode "+entry.Key, c.Storage.Peer, state.ClaimUnavailable, errors.Errorf("the record belongs to key %q", record.Key))
	}
	return record, nil
}

// unambiguous wraps the error of a call that wrote no claim: however that call
// ended, the claim was not taken.
func unambiguous(err error) error {
	if err == nil {
		return nil
	}
	return state.NewStepError("read claim", netip.AddrPort{}, state.ClaimUnavailable, err)
}
