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
	// Retention is how long a key stays taken at least; a request that comes
	// again later counts as a new one.
	Retention     = 48 * time.Hour
	leaseInterval = time.Hour
	maxRaces      = 4
)

// State is what a claim's record says to the job that asks for it.
type State uint8

// The states of a claim towards one job.
const (
	// Fresh means that the job took the claim just now.
	Fresh State = iota
	// Own means that the same job took it before, may have started, and its
	// outcome is not recorded.
	Own
	// Ended means that the same job has ended.
	Ended
	// Taken means that another job holds the key.
	Taken
)

// Result is the answer to Take.
type Result struct {
	State State
	// Outcome is set for Ended, and for Taken if the holder has ended.
	Outcome state.Outcome
	// Holder is the job that holds the key; it is asked for the answer.
	Holder state.JobID
}

// Claims takes and settles claims; it is safe for several goroutines.
type Claims struct {
	Now     func() time.Time
	Storage *storage.Storage
	Codec   Codec

	// taken holds the claims that were taken here and are not settled.
	taken *state.Table[state.JobID, taken]
	lease *storage.SharedLease
}

// taken is a claim that this process wrote.
type taken struct {
	id state.WriteID
	// entry is the claim's entry, as far as it is known.
	entry state.Entry
	// inDoubt is set while the write may still arrive.
	inDoubt bool
}

// New returns Claims over the store.
func New(store *storage.Storage, codec Codec) *Claims {
	return &Claims{
		Now:     time.Now,
		Storage: store,
		Codec:   codec,
		taken:   state.NewTable[state.JobID, taken](),
		lease:   storage.NewSharedLease(store, Retention, leaseInterval),
	}
}

// Take claims the job's key before the job's first start. The job may start
// only if the result is Fresh. An error is a *state.StepError with reason
// claimUnavailable; the job has not run then, and if the error is ambiguous
// Settle gives the key free.
func (c *Claims) Take(ctx context.Context, job *state.Job) (Result, error) {
	id := c.Storage.NewWriteID()
	result, err := c.take(ctx, job, id)
	if err == nil {
		return result, nil
	}
	if state.IsAmbiguous(err) {
		c.taken.Put(job.ID, taken{id: id, inDoubt: true})
		return Result{}, state.AmbiguousStep("claim "+job.Key, c.Storage.Peer, state.ClaimUnavailable, err)
	}
	return Result{}, state.NewStepError("claim "+job.Key, c.Storage.Peer, state.ClaimUnavailable, err)
}

func (c *Claims) take(ctx context.Context, job *state.Job, id state.WriteID) (Result, error) {
	lease, err := c.lease.Current(ctx, c.Now())
	if err != nil {
		return Result{}, notWritten(err)
	}
	value, err := c.Codec.Encode(Record{Organisation: job.Organisation, Key: job.Key, Holder: job.ID, Taken: id})
	if err != nil {
		return Result{}, state.NewStepError("encode claim", netip.AddrPort{}, state.BadRequest, err)
	}
	// A key is nearly always new, so the first write assumes it, without a read.
	current := state.Entry{Key: storeKey(job)}
	for range maxRaces {
		previous := current
		current, err = c.Storage.Put(ctx, storage.ForClaim, previous, value, lease)
		var conflict *state.WriteConflict
		switch {
		case errors.As(err, &conflict):
			current, err = c.Storage.ReadFrom(ctx, storage.ForClaim, previous.Key, conflict.Current)
			err = notWritten(err)
		case err != nil:
			c.lease.Check(err, lease)
		case bytes.Equal(current.Value, value):
			c.taken.Put(job.ID, taken{id: id, entry: current})
			return Result{State: Fresh, Holder: job.ID}, nil
		}
		if err != nil {
			return Result{}, err
		}
		record, err := c.decode(job, current)
		if err != nil || record.Holder != "" {
			return towards(job, record), err
		}
	}
	return Result{}, state.NewStepError("claim "+job.Key, c.Storage.Peer, state.ClaimUnavailable, errors.New("too many entries race for the key"))
}

// towards says what a record that is there means for the job.
func towards(job *state.Job, record Record) Result {
	result := Result{Holder: record.Holder, Outcome: record.Outcome}
	switch {
	case record.Holder != job.ID:
		result.State = Taken
	case record.Ended:
		result.State = Ended
	default:
		result.State = Own
	}
	return result
}

// decode returns the record of an entry; a key without a value is free.
func (c *Claims) decode(job *state.Job, entry state.Entry) (Record, error) {
	if entry.Version == 0 {
		return Record{}, nil
	}
	record, err := c.Codec.Decode(entry.Value)
	if err != nil {
		return Record{}, state.NewStepError("decode "+entry.Key, c.Storage.Peer, state.ClaimUnavailable, err)
	}
	if record.Organisation != job.Organisation || record.Key != job.Key {
		return Record{}, state.NewStepError("decode "+entry.Key, c.Storage.Peer, state.ClaimUnavailable, errors.Errorf("it is the claim of %q", record.Key))
	}
	return record, nil
}

// notWritten turns the ambiguity of a read into a plain failure.
func notWritten(err error) error {
	if err == nil {
		return nil
	}
	return state.NewStepError("read claim", netip.AddrPort{}, state.ClaimUnavailable, err)
}
