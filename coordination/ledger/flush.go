package ledger

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreystream/state"
)

const (
	maxBatchItems = 256
	maxBatchBytes = 512 << 10
	// jobOverheadBytes is the estimated size of an encoded job without its payload
	// and checkpoints.
	jobOverheadBytes = 512
	concurrentWrites = 8
)

// flushLoop writes batches until no writes are pending.
func (l *Ledger) flushLoop() {
	for {
		l.waitForBatch()
		l.mu.Lock()
		saves, outcomes := l.pendingSaves, l.pendingOutcomes
		l.pendingSaves, l.pendingOutcomes = nil, nil
		if len(saves)+len(outcomes) == 0 {
			l.flushing = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		l.flush(saves, outcomes)
	}
}

// waitForBatch gives further writes the time to join the next batch.
func (l *Ledger) waitForBatch() {
	timer := time.NewTimer(batchInterval)
	defer timer.Stop()
	<-timer.C
}

func (l *Ledger) flush(saves []*pendingSave, outcomes []*pendingOutcome) {
	ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(concurrentWrites)
	for _, batch := range splitBatches(saves) {
		group.Go(func() error {
			l.writeBatch(ctx, batch)
			return nil
		})
	}
	for key, batch := range l.groupBySegment(ctx, outcomes) {
		group.Go(func() error {
			l.writeOutcomes(ctx, key, batch)
			return nil
		})
	}
	_ = group.Wait()
}

// splitBatches splits saves so that each batch fits into one value.
func splitBatches(saves []*pendingSave) (all [][]*pendingSave) {
	var bytes int
	for _, s := range saves {
		last := len(all) - 1
		size := estimateBytes(s.job)
		bytes += size
		if last < 0 || len(all[last]) == maxBatchItems || bytes > maxBatchBytes {
			all, bytes = append(all, nil), size
			last++
		}
		all[last] = append(all[last], s)
	}
	return all
}

func estimateBytes(job *state.Job) int {
	size := jobOverheadBytes + len(job.Payload)
	for _, checkpoint := range job.Checkpoints {
		size += len(checkpoint)
	}
	return size
}

// groupBySegment groups outcomes by the segment that holds their job. If no segment
// holds the job, nothing is left to write: the job was withdrawn, or its outcome
// has expired.
func (l *Ledger) groupBySegment(ctx context.Context, outcomes []*pendingOutcome) map[string][]*pendingOutcome {
	grouped := make(map[string][]*pendingOutcome)
	var unknown []*pendingOutcome
	for _, p := range outcomes {
		if key, found := l.segmentKey(p.job); found {
			grouped[key] = append(grouped[key], p)
			continue
		}
		unknown = append(unknown, p)
	}
	if len(unknown) == 0 {
		return grouped
	}
	_, _, err := l.Load(ctx)
	for _, p := range unknown {
		key, found := l.segmentKey(p.job)
		if err != nil || !found {
			p.done <- err
			continue
		}
		grouped[key] = append(grouped[key], p)
	}
	return grouped
}

func (l *Ledger) segmentKey(job state.JobID) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key, found := l.segmentKeys[job]
	return key, found
}
