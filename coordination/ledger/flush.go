package ledger

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreystream/state"
)

const (
	maxBatchItems    = 256
	maxBatchBytes    = 512 << 10
	jobOverheadBytes = 512
	concurrentWrites = 8
)

// flushAll writes batches until nothing waits.
func (l *Ledger) flushAll() {
	for {
		l.gather()
		l.mu.Lock()
		saves, finishes := l.saves, l.finishes
		l.saves, l.finishes = nil, nil
		if len(saves)+len(finishes) == 0 {
			l.flushing = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		l.flush(saves, finishes)
	}
}

// gather waits for more to join the next batch.
func (l *Ledger) gather() {
	timer := time.NewTimer(batchInterval)
	defer timer.Stop()
	<-timer.C
}

func (l *Ledger) flush(saves []*save, finishes []*finish) {
	ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(concurrentWrites)
	for _, batch := range batches(saves) {
		group.Go(func() error {
			l.writeBatch(ctx, batch)
			return nil
		})
	}
	for key, batch := range l.bySegment(ctx, finishes) {
		group.Go(func() error {
			l.writeOutcomes(ctx, key, batch)
			return nil
		})
	}
	_ = group.Wait()
}

// batches splits saves so that each fits into one value.
func batches(saves []*save) (all [][]*save) {
	var bytes int
	for _, s := range saves {
		last := len(all) - 1
		size := sizeOf(s.job)
		bytes += size
		if last < 0 || len(all[last]) == maxBatchItems || bytes > maxBatchBytes {
			all, bytes = append(all, nil), size
			last++
		}
		all[last] = append(all[last], s)
	}
	return all
}

func sizeOf(job *state.Job) int {
	size := jobOverheadBytes + len(job.Payload)
	for _, checkpoint := range job.Checkpoints {
		size += len(checkpoint)
	}
	return size
}

// bySegment groups finishes by the segment that holds their job. One whose job
// is nowhere is done: the job was withdrawn, or its outcome has expired.
func (l *Ledger) bySegment(ctx context.Context, finishes []*finish) map[string][]*finish {
	grouped := make(map[string][]*finish)
	var unknown []*finish
	for _, f := range finishes {
		if key, found := l.segmentOf(f.job); found {
			grouped[key] = append(grouped[key], f)
			continue
		}
		unknown = append(unknown, f)
	}
	if len(unknown) == 0 {
		return grouped
	}
	_, _, err := l.Load(ctx)
	for _, f := range unknown {
		key, found := l.segmentOf(f.job)
		if err != nil || !found {
			f.done <- err
			continue
		}
		grouped[key] = append(grouped[key], f)
	}
	return grouped
}

func (l *Ledger) segmentOf(job state.JobID) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key, found := l.where[job]
	return key, found
}
