package claim

import (
	"comfreystream/coordination/storage"
	"comfreystream/state"
	"context"
	"net/netip"
)

// maxOutcomeBytes is the largest answer that a record keeps, in the store's
// 1 MiB with what surrounds it.
const maxOutcomeBytes = 1<<20 - 8<<10

// Settle records the outcome of a job that took its claim; an outcome that did
// not run gives the key free. It may be called again after an error, and by
// another planner than the one that took the claim. A key that another job
// holds is left alone. An answer that is too large for the store is left out.
func (c *Claims) Settle(ctx context.Context, job *state.Job, outcome state.Outcome) error {
	known, _ := c.held.Get(job.ID)
	known.Key = storeKey(job)
	lease, err := c.lease.Current(ctx, c.Now())
	if err != nil {
		return err
	}
	_, err = c.Storage.Update(ctx, storage.ForClaim, known, lease, func(current state.Entry) ([]byte, bool, error) {
		return c.settled(job, outcome, current)
	})
	if err != nil {
		c.lease.Check(err, lease)
		return err
	}
	c.held.Delete(job.ID)
	c.doubt.Delete(job.ID)
	return nil
}

func (c *Claims) settled(job *state.Job, outcome state.Outcome, current state.Entry) ([]byte, bool, error) {
	record, err := c.decode(job, current)
	if err != nil {
		return nil, false, err
	}
	// A claim whose write is in doubt may still arrive: writing the key makes it conflict.
	_, inDoubt := c.doubt.Get(job.ID)
	switch {
	case record.Holder != "" && record.Holder != job.ID:
		return nil, false, nil
	case outcome.Ran != state.NotRun:
		return c.encode(ended(job, outcome))
	case record.Holder == job.ID || inDoubt:
		return c.encode(Record{Organisation: job.Organisation, Key: job.Key})
	default:
		return nil, false, nil
	}
}

func (c *Claims) encode(record Record) ([]byte, bool, error) {
	value, err := c.Codec.Encode(record)
	if err != nil {
		return nil, false, state.NewStepError("encode claim", netip.AddrPort{}, state.BadRequest, err)
	}
	return value, true, nil
}

func ended(job *state.Job, outcome state.Outcome) Record {
	if len(outcome.Answer) > maxOutcomeBytes {
		outcome.Answer = nil
	}
	return Record{Organisation: job.Organisation, Key: job.Key, Holder: job.ID, Ended: true, Outcome: outcome}
}
