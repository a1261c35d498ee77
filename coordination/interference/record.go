package interference

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/modelstore"
)

const (
	// records is the number of records of a service, recordPairs the most pairs of one.
	records, recordPairs = 16, 32
	// minSavedChange is the change of a slowdown's logarithm or deviation that makes a
	// record due.
	minSavedChange, minSavedDeviation = 0.0953, 0.05
	// maxSlowdown and maxDeviation bound what a record may say.
	maxSlowdown, maxDeviation = 100.0, 2.0
	// restoredDeviation is added to the deviation of a stored slowdown.
	restoredDeviation = 0.02
)

// Record is the stored state of some pairs of a service.
type Record = modelstore.Record[PairEstimate]

// PairEstimate is a pair with its estimate.
type PairEstimate struct {
	Pair
	Estimate
}

// recordOf returns the number of the pair's record.
func (p Pair) recordOf() int {
	h := fnv.New32a()
	for _, k := range []Kind{p.Kind, p.Beside} {
		for _, text := range []string{k.Image, k.Queue, strconv.Itoa(k.Cores), strconv.Itoa(k.MemoryMiB), strconv.Itoa(k.Accelerators)} {
			_, _ = h.Write([]byte(text + "\n")) // a hash never fails
		}
	}
	return int(h.Sum32() % records)
}

// Records returns the records that are due to be saved, at most limit: those with a pair
// that has become significant or no longer is, or that has changed by more than a tenth.
// A record without pairs is to be deleted.
func (m *Model) Records(now time.Time, limit int) (due []Record) {
	var all [records]Record
	for of, p := range m.pairs {
		if p.significant {
			r := &all[of.recordOf()]
			r.Rows = append(r.Rows, PairEstimate{of, p.estimate(now)})
		}
	}
	for i := range all {
		r := &all[i]
		r.Number = i
		slices.SortFunc(r.Rows, func(a, b PairEstimate) int {
			return cmp.Or(cmp.Compare(b.Slowdown, a.Slowdown), a.Kind.Compare(b.Kind), a.Beside.Compare(b.Beside))
		})
		r.Rows = r.Rows[:min(len(r.Rows), recordPairs)]
		for j := range r.Rows {
			r.Rows[j].Slowdown = min(r.Rows[j].Slowdown, maxSlowdown)
		}
		if len(due) < limit && differs(r, m.stored[i]) {
			due = append(due, *r)
		}
	}
	return due
}

func differs(r *Record, stored map[Pair]Estimate) bool {
	return len(r.Rows) != len(stored) || slices.ContainsFunc(r.Rows, func(p PairEstimate) bool {
		s, known := stored[p.Pair]
		change := math.Abs(math.Log(p.Slowdown) - math.Log(s.Slowdown))
		return !known || change > minSavedChange || math.Abs(p.Deviation-s.Deviation) > minSavedDeviation
	})
}

// Saved notes that the record of an earlier call of Records is stored.
func (m *Model) Saved(r Record) {
	if r.Number < 0 || r.Number >= records {
		return
	}
	stored := make(map[Pair]Estimate, len(r.Rows))
	for _, p := range r.Rows {
		stored[p.Pair] = p.Estimate
	}
	m.stored[r.Number] = stored
}

// Restore merges a stored record: pairs that have an estimate keep it. It takes nothing
// over from a record with impossible content.
func (m *Model) Restore(now time.Time, r Record) error {
	if err := Validate(r); err != nil {
		return err
	}
	m.Saved(r)
	for _, s := range r.Rows {
		p := m.pairs[s.Pair]
		if p == nil && len(m.pairs) >= maxPairs && !m.evict(math.Log(s.Slowdown)) || p != nil && p.deviation > 0 {
			continue
		}
		if p == nil {
			p = &pair{}
			m.pairs[s.Pair] = p
		}
		p.mean, p.deviation, p.at = math.Log(s.Slowdown), s.Deviation+restoredDeviation, now
		p.significant = p.mean >= lostSlowdown && p.mean >= lostDeviations*p.deviation
	}
	return nil
}

// Validate reports what cannot be in a record that Records has returned.
func Validate(r Record) error {
	if r.Number < 0 || r.Number >= records {
		return errors.Errorf("interference record %d: the number is not in 0 to %d", r.Number, records-1)
	}
	if len(r.Rows) > recordPairs {
		return errors.Errorf("interference record %d: %d pairs, more than %d", r.Number, len(r.Rows), recordPairs)
	}
	seen := make(map[Pair]bool, len(r.Rows))
	for _, p := range r.Rows {
		if seen[p.Pair] || p.recordOf() != r.Number {
			return errors.Errorf("interference record %d: pair %+v is listed twice or belongs elsewhere", r.Number, p.Pair)
		}
		seen[p.Pair] = true
		if !(p.Slowdown >= 1 && p.Slowdown <= maxSlowdown) || !(p.Deviation > 0 && p.Deviation <= maxDeviation) {
			return errors.Errorf("interference record %d: slowdown %g with deviation %g", r.Number, p.Slowdown, p.Deviation)
		}
	}
	return nil
}
