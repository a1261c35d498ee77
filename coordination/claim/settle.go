package claim

import (
	"context"
	"net/netip"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

// maxAnswerBytes is the largest answer that a record holds; the rest of the record
// fits into the remaining 8 KiB of the store's limit of 1 MiB.
const maxAnswerBytes = 1<<20 - 8<<10

// Settle records the outcome of a job that took its claim, and may be repeated
// after an error. If the job did not run, Settle releases the key, but only if
// the claim was taken through these Claims: otherwise another planner may have
// started the job, so the record stays. Settle leaves a key that another job
// holds unchanged, and does not replace a recorded run by an unknown outcome.
// It omits an answer that is too large for the store.
func (c *Claims) Settle(ctx context.Context, job *state.Job, outcome state.Outcome) error {
	lease, err := c.lease.Current(ctx, c.Now())
	if err != nil {
		return err
	}
	own, _ := c.unsettled.Get(job.ID)
	known := own.entry
	known.Key = storeKey(job)
	_, err = c.Storage.Update(ctx, storage.ForClaim, known, lease, func(current state.Entry) ([]byte, bool, error) {
		record, err := c.decode(job, current)
		if err != nil {
			return nil, false, err
		}
		next, write := nextRecord(record, job, outcome, own)
		if !write {
			return nil, false, nil
		}
		return c.encode(next)
	})
	if err != nil {
		c.lease.DropIfLapsed(err, lease)
		return err
	}
	c.unsettled.Delete(job.ID)
	return nil
}

// nextRecord returns the record after the job's outcome, and whether to write it.
func nextRecord(record Record, job *state.Job, outcome state.Outcome, own unsettledClaim) (Record, bool) {
	released := Record{Organisation: job.Organisation, Key: job.Key}
	switch {
	case record.Holder != "" && record.Holder != job.ID:
		return record, false
	case outcome.Ran == state.NotRun && record.Holder == "":
		// Writing the key makes a claim that is still in flight conflict.
		return released, own.inDoubt
	case outcome.Ran == state.NotRun:
		return released, record.TakeID == own.takeID
	case outcome.Ran == state.OutcomeUnknown && record.Ended && record.Outcome.Ran == state.RanToCompletion:
		return record, false
	default:
		return endedRecord(job, outcome, record.TakeID), true
	}
}

func (c *Claims) encode(record Record) ([]byte, bool, error) {
	value, err := c.Codec.Encode(record)
	if err != nil {
		return nil, false, state.NewStepError("encode claim", netip.AddrPort{}, state.BadRequest, err)
	}
	return value, true, nil
}

func endedRecord(job *state.Job, outcome state.Outcome, takeID state.WriteID) Record {
	if len(outcome.Answer) > maxAnswerBytes {
		outcome.Answer = nil
	}
	return Record{Organisation: job.Organisation, Key: job.Key, Holder: job.ID, TakeID: takeID, Ended: true, Outcome: outcome}
}
