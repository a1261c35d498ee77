package speed_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"comfreystream/coordination/speed"
	"comfreystream/state/workflow"
)

// learnt returns a simulation of a fast and a slow cluster that the model knows.
func learnt(workers int) *simulation {
	s := newSimulation(1, clusters(workers, 0.7, 1.7))
	for range 4 {
		s.start(work{seconds: 6, equal: true}, s.choose(workers))
		s.run(5*time.Second, nil)
	}
	return s
}

// save returns all due records and marks them as saved.
func (s *simulation) save() []speed.Record {
	records := s.model.Records(math.MaxInt)
	for _, r := range records {
		s.model.Saved(r)
	}
	return records
}

// TestRecords checks that a new planner knows from the records what the earlier one
// knew, and that nothing is written while nothing changes.
func TestRecords(t *testing.T) {
	s := learnt(150)
	records := s.save()
	if len(records) != 3 {
		t.Fatalf("%d records of 150 workers, want 3", len(records))
	}
	s.start(work{seconds: 6, equal: true}, s.choose(150))
	s.run(5*time.Second, nil)
	if due := s.model.Records(10); len(due) != 0 {
		t.Errorf("%d records are due without a change", len(due))
	}
	next := newSimulation(2, s.factors)
	for _, r := range records {
		if err := next.model.Restore(next.now, r); err != nil {
			t.Fatal(err)
		}
	}
	next.model.Fit(next.now)
	for i := range s.factors {
		before, after := s.model.Estimate(workerID(i)), next.model.Estimate(workerID(i))
		if math.Abs(math.Log(before.Factor/after.Factor)) > 0.1 || after.Deviation > 0.2 {
			t.Errorf("worker %d had %+v and has %+v", i, before, after)
		}
	}
	if due := next.model.Records(10); len(due) != 0 {
		t.Errorf("%d records are due after they were restored", len(due))
	}
	next.factors[7] *= 4
	for range 2 {
		next.start(work{seconds: 6, equal: true}, next.choose(150))
		next.run(3*time.Second, nil)
	}
	if due := next.model.Records(1); len(due) != 1 || due[0].Number != recordOf(records, workerID(7)) {
		t.Errorf("due %+v after a change of a worker of record %d", due, recordOf(records, workerID(7)))
	}
	next.model.Retain(func(workflow.WorkerID) bool { return false })
	for _, r := range next.save() {
		if len(r.Workers) != 0 {
			t.Errorf("record %d names %d workers that are not registered", r.Number, len(r.Workers))
		}
	}
	if due := next.model.Records(10); len(due) != 0 {
		t.Errorf("%d records are due after all were deleted", len(due))
	}
}

func recordOf(records []speed.Record, id workflow.WorkerID) int {
	for _, r := range records {
		for _, w := range r.Workers {
			if w.Worker == id {
				return r.Number
			}
		}
	}
	return -1
}

// TestRestoreUnusual checks that records with impossible content are refused as a whole.
func TestRestoreUnusual(t *testing.T) {
	good := speed.WorkerSpeed{Worker: "a", Estimate: speed.Estimate{Factor: 2, Deviation: 0.1}}
	with := func(factor, deviation float64) []speed.WorkerSpeed {
		return []speed.WorkerSpeed{good, {Worker: "b", Estimate: speed.Estimate{Factor: factor, Deviation: deviation}}}
	}
	many := make([]speed.WorkerSpeed, 65)
	for i := range many {
		many[i] = speed.WorkerSpeed{Worker: workflow.WorkerID(strconv.Itoa(i)), Estimate: good.Estimate}
	}
	tests := []struct {
		name   string
		record speed.Record
		valid  bool
	}{
		{"usual", speed.Record{Workers: with(0.5, 0.2)}, true},
		{"empty", speed.Record{}, true},
		{"negative number", speed.Record{Number: -1, Workers: with(1, 0.1)}, false},
		{"huge number", speed.Record{Number: 1 << 40, Workers: with(1, 0.1)}, false},
		{"too many workers", speed.Record{Workers: many}, false},
		{"factor 0", speed.Record{Workers: with(0, 0.1)}, false},
		{"factor not a number", speed.Record{Workers: with(math.NaN(), 0.1)}, false},
		{"infinite factor", speed.Record{Workers: with(math.Inf(1), 0.1)}, false},
		{"deviation 0", speed.Record{Workers: with(1, 0)}, false},
		{"deviation not a number", speed.Record{Workers: with(1, math.NaN())}, false},
		{"no worker", speed.Record{Workers: []speed.WorkerSpeed{good, {Estimate: good.Estimate}}}, false},
		{"a worker twice", speed.Record{Workers: []speed.WorkerSpeed{good, good}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := speed.New()
			if err := m.Restore(time.Unix(1000, 0), test.record); (err == nil) != test.valid {
				t.Fatalf("error %v, want a valid record: %v", err, test.valid)
			}
			m.Fit(time.Unix(1000, 0))
			if known := m.Estimate("a").Factor != 1; known != (test.valid && len(test.record.Workers) > 0) {
				t.Errorf("worker a has %+v", m.Estimate("a"))
			}
		})
	}
}

// TestChanges checks that a change is returned once, however long it lasts, and at most
// limit at a time, or logs would grow with the workers.
func TestChanges(t *testing.T) {
	s := learnt(30)
	first, rest := s.model.Changes(4), s.model.Changes(100)
	if len(first) != 4 || len(rest) != 6 || len(s.model.Changes(100)) != 0 {
		t.Fatalf("%d, then %d changes, want 4, then 6 of the 10 slow workers, then none", len(first), len(rest))
	}
	for _, c := range first {
		if c.Before != 1 || c.Now.Factor < 2 {
			t.Errorf("%+v, want a change from 1 to 2.4", c)
		}
	}
}
