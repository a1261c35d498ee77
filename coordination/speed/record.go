package speed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"comfreystream/state/workflow"
)

const (
	// recordWorkers is the most workers of a record.
	recordWorkers = 64
	// maxRecords bounds the numbers of records.
	maxRecords = 1 << 12
	// minSavedChange is the change of a factor's logarithm that makes a record due: a
	// tenth. minReportedChange is the one that Changes returns: a quarter.
	minSavedChange, minReportedChange = 0.0953, 0.2231
	// knownDeviation is up to which deviation a factor is worth saving.
	knownDeviation = 0.25
	// maxFactor and maxDeviation bound what a record may say.
	maxFactor, maxDeviation = 100.0, 2.0
	// restoredDeviation is added to the deviation of a stored factor, which is a little old.
	restoredDeviation = 0.1
	// noRecord is the record number of a worker that is in none.
	noRecord = -1
)

// Record is the stored state of some workers.
type Record struct {
	// Number identifies the record; a worker stays in the same one.
	Number  int
	Workers []WorkerSpeed
}

// WorkerSpeed is a worker with its estimate.
type WorkerSpeed struct {
	Worker workflow.WorkerID
	Estimate
}

// Change is a change of a worker's factor by more than a quarter.
type Change struct {
	Worker workflow.WorkerID
	// Before is the factor at the last report of a change, Now the estimate.
	Before float64
	Now    Estimate
}

// savedState is what the store has of a worker.
type savedState struct {
	// record is the number of the worker's record, or noRecord.
	record int
	// factor is the logarithm of the saved factor; 0 is what counts for a worker that is
	// not in the store.
	factor float64
}

// recordState is the number of workers in a record, and whether the store has it.
type recordState struct {
	workers int
	stored  bool
}

// Records returns the records that are due to be saved, at most limit, those with the
// greatest change first. A record is due if the factor of a worker has changed by more
// than a tenth since it was saved, and by more than its deviation. A record without
// workers is to be deleted.
func (m *Model) Records(limit int) []Record {
	changes := make([]float64, len(m.records))
	for i := range m.workers {
		w := &m.workers[i]
		estimate := m.estimate(w)
		if w.saved.record == noRecord {
			if estimate.Deviation > knownDeviation || !m.joinRecord(w) {
				continue
			}
			changes = append(changes, make([]float64, len(m.records)-len(changes))...)
		}
		change := math.Abs(math.Log(estimate.Factor) - w.saved.factor)
		if change > minSavedChange && change > estimate.Deviation {
			changes[w.saved.record] = max(changes[w.saved.record], change)
		}
	}
	var due []Record
	for number, state := range m.records {
		if changes[number] > 0 || state.workers == 0 && state.stored {
			due = append(due, Record{Number: number})
		}
	}
	slices.SortStableFunc(due, func(a, b Record) int { return cmp.Compare(changes[b.Number], changes[a.Number]) })
	due = due[:min(len(due), limit)]
	m.fill(due)
	return due
}

// fill adds the workers to the records.
func (m *Model) fill(records []Record) {
	positions := make(map[int]int, len(records))
	for i, r := range records {
		positions[r.Number] = i
	}
	for i := range m.workers {
		w := &m.workers[i]
		if position, wanted := positions[w.saved.record]; wanted {
			estimate := m.estimate(w)
			estimate.Factor = min(max(estimate.Factor, 1/maxFactor), maxFactor)
			records[position].Workers = append(records[position].Workers, WorkerSpeed{w.id, estimate})
		}
	}
}

// Saved notes that the record of an earlier call of Records is stored.
func (m *Model) Saved(r Record) {
	if r.Number < 0 || r.Number >= len(m.records) {
		return
	}
	m.records[r.Number].stored = len(r.Workers) > 0
	for _, s := range r.Workers {
		if i, known := m.byID[s.Worker]; known {
			m.workers[i].saved.factor = math.Log(s.Factor)
		}
	}
}

// Restore merges a stored record as a prior: what is observed counts as well. It takes
// nothing over from a record with impossible content.
func (m *Model) Restore(now time.Time, r Record) error {
	if err := r.validate(); err != nil {
		return err
	}
	at := m.since(now)
	m.growRecords(r.Number)
	m.records[r.Number].stored = true
	for _, s := range r.Workers {
		w := m.ensureWorker(s.Worker)
		if w.saved.record == noRecord {
			w.saved = savedState{r.Number, math.Log(s.Factor)}
			m.records[r.Number].workers++
		}
		if w.prior.precision > 0 {
			continue
		}
		mean, variance := math.Log(s.Factor)+m.centre, s.Deviation*s.Deviation+restoredDeviation*restoredDeviation
		if w.count > 0 {
			w.prior, w.priorAt = newBelief(mean, variance), at
			continue
		}
		m.setPrior(w, mean, variance, at)
		w.reported = math.Log(s.Factor)
	}
	return nil
}

// validate reports what cannot be in a record that Records has returned.
func (r Record) validate() error {
	if r.Number < 0 || r.Number >= maxRecords {
		return errors.Errorf("speed record %d: the number is not in 0 to %d", r.Number, maxRecords-1)
	}
	if len(r.Workers) > recordWorkers {
		return errors.Errorf("speed record %d: %d workers, more than %d", r.Number, len(r.Workers), recordWorkers)
	}
	seen := make(map[workflow.WorkerID]bool, len(r.Workers))
	for _, s := range r.Workers {
		if s.Worker == "" || seen[s.Worker] {
			return errors.Errorf("speed record %d: worker %q is empty or listed twice", r.Number, s.Worker)
		}
		seen[s.Worker] = true
		if !(s.Factor >= 1/maxFactor && s.Factor <= maxFactor) || !(s.Deviation > 0 && s.Deviation <= maxDeviation) {
			return errors.Errorf("speed record %d: worker %q has factor %g and deviation %g", r.Number, s.Worker, s.Factor, s.Deviation)
		}
	}
	return nil
}

// Changes returns the workers whose factor has changed by more than a quarter since it
// was last returned, and by more than twice its deviation; at most limit of them, the
// others in later calls.
func (m *Model) Changes(limit int) (changes []Change) {
	for i := range m.workers {
		if len(changes) == limit {
			break
		}
		w := &m.workers[i]
		factor := w.mean - m.centre
		change := math.Abs(factor - w.reported)
		if change <= minReportedChange || change <= 2*math.Sqrt(w.variance) {
			continue
		}
		changes = append(changes, Change{w.id, math.Exp(w.reported), m.estimate(w)})
		w.reported = factor
	}
	return changes
}

// joinRecord assigns the worker to the first record with room; it reports false if
// there is none.
func (m *Model) joinRecord(w *worker) bool {
	number := slices.IndexFunc(m.records, func(r recordState) bool { return r.workers < recordWorkers })
	if number < 0 {
		number = len(m.records)
	}
	if number >= maxRecords {
		return false
	}
	m.growRecords(number)
	m.records[number].workers++
	w.saved = savedState{record: number}
	return true
}

func (m *Model) growRecords(number int) {
	if missing := number + 1 - len(m.records); missing > 0 {
		m.records = append(m.records, make([]recordState, missing)...)
	}
}

func (m *Model) leaveRecord(w *worker) {
	if w.saved.record != noRecord {
		m.records[w.saved.record].workers--
	}
}
