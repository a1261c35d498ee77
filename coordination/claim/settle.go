package claim

import (
	"context"
	"net/netip"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

// maxOutcomeBytes is the largest answer that a record keeps, in the store's
// 1 MiB with what surrounds it.
const maxOutcomeBytes = 1<<20 - 8<<10

// Settle records the outcome of a job that took its claim. An outcome that did
// not run gives the key free, if the claim was taken through these Claims:
// otherwise another planner may have started the job, and the record stays. It
// may be called again after an error. A key that another job holds is left
// alone, and so is the record of a job that ran when the outcome is not known.
// An answer that is too large for the store is left out.
func (c *Claims) Settle(ctx context.Context, job *state.Job, outcome state.Outcome) error {
	lease, err := c.lease.Current(ctx, c.Now())
	if err != nil {
		return err
	}
	mine, _ := c.taken.Get(job.ID)
	known := mine.entry
	known.Key = storeKey(job)
	_, err = c.Storage.Update(ctx, storage.ForClaim, known, lease, func(current state.Entry) ([]byte, bool, error) {
		record, err := c.decode(job, current)
		if err != nil {
			return nil, false, err
		}
		next, write := settled(record, job, outcome, mine)
		if !write {
			return nil, false, nil
		}
		return c.encode(next)
	})
	if err != nil {
		c.lease.Check(err, lease)
		return err
	}
	c.taken.Delete(job.ID)
	return nil
}

// settled returns the record that follows an outcome, and whether it is to be written.
func settled(record Record, job *state.Job, outcome state.Outcome, mine taken) (Record, bool) {
	free := Record{Organisation: job.Organisation, Key: job.Key}
	switch {
	case record.Holder != "" && record.Holder != job.ID:
		return record, false
	case outcome.Ran == state.NotRun && record.Holder == "":
		// A claim that may still arrive conflicts once the key is written.
		return free, mine.inDoubt
	case outcome.Ran == state.NotRun:
		return free, record.Taken == mine.id
	case outcome.Ran == state.Unknown && record.Ended && record.Outcome.Ran == state.RanWhole:
		return record, false
	default:
		return ended(job, outcome, record.Taken), true
	}
}

func (c *Claims) encode(record Record) ([]byte, bool, error) {
	value, err := c.Codec.Encode(record)
	if err != nil {
		return nil, false, state.NewStepError("encode claim", netip.AddrPort{}, state.BadRequest, err)
	}
	return value, true, nil
}

func ended(job *state.Job, outcome state.Outcome, id state.WriteID) Record {
	if len(outcome.Answer) > maxOutcomeBytes {
		outcome.Answer = nil
	}
	return Record{Organisation: job.Organisation, Key: job.Key, Holder: job.ID, Taken: id, Ended: true, Outcome: outcome}
}
