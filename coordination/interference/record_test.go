package interference_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"comfreystream/coordination/interference"
)

// foundPair returns a model that has found the pair of victim and bully.
func foundPair() *simulation {
	s := newSimulation(1)
	s.slowdown = hurts(2)
	for !s.found(victim, bully) {
		s.start(kinds[s.random.IntN(len(kinds))], 4, 8)
		s.step()
	}
	return s
}

// TestRecords checks that a pair reaches a new planner, that a record is due only when it
// has changed, and that one whose pairs are forgotten is deleted.
func TestRecords(t *testing.T) {
	s := foundPair()
	due := s.model.Records(s.now, 10)
	if len(due) != 1 || len(due[0].Rows) != 1 {
		t.Fatalf("due %+v, want one record with one pair", due)
	}
	s.model.Saved(due[0])
	if again := s.model.Records(s.now, 10); len(again) != 0 {
		t.Errorf("due after it was saved: %+v", again)
	}
	next := interference.New()
	if err := next.Restore(s.now, due[0]); err != nil {
		t.Fatal(err)
	}
	next.Refresh(s.now)
	if got := next.Slowdown(victim, []interference.Kind{other, bully}); math.Abs(got-math.Log(2)) > 0.3 || next.Significant() != 1 {
		t.Errorf("restored a slowdown of %.2f and %d pairs", got, next.Significant())
	}
	later := s.now.Add(time.Hour)
	next.Refresh(later)
	if gone := next.Records(later, 10); len(gone) != 1 || len(gone[0].Rows) != 0 || next.Significant() != 0 {
		t.Errorf("due after an hour: %+v, want the record without pairs", gone)
	}
}

// TestRestore checks that nothing is taken over from records with impossible content.
func TestRestore(t *testing.T) {
	found := foundPair()
	good := found.model.Records(found.now, 1)[0]
	row := good.Rows[0]
	with := func(slowdown, deviation float64) interference.PairEstimate {
		return interference.PairEstimate{Pair: row.Pair, Estimate: interference.Estimate{Slowdown: slowdown, Deviation: deviation}}
	}
	tests := []struct {
		name   string
		number int
		rows   []interference.PairEstimate
		valid  bool
	}{
		{"good", good.Number, good.Rows, true},
		{"another record's pair", (good.Number + 1) % 16, good.Rows, false},
		{"negative number", -1, good.Rows, false},
		{"large number", 1 << 20, nil, false},
		{"listed twice", good.Number, []interference.PairEstimate{row, row}, false},
		{"faster", good.Number, []interference.PairEstimate{with(0.5, 0.1)}, false},
		{"not a number", good.Number, []interference.PairEstimate{with(math.NaN(), 0.1)}, false},
		{"without deviation", good.Number, []interference.PairEstimate{with(2, 0)}, false},
		{"too large", good.Number, []interference.PairEstimate{with(1e9, 0.1)}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := interference.New()
			err := m.Restore(time.Unix(2000, 0), interference.Record{Number: test.number, Rows: test.rows})
			m.Refresh(time.Unix(2000, 0))
			if (err == nil) != test.valid || (m.Significant() > 0) != test.valid {
				t.Errorf("error %v, %d pairs", err, m.Significant())
			}
		})
	}
}

// TestBound checks that many kinds do not displace a pair that matters, nor take more
// memory than that of 256 pairs.
func TestBound(t *testing.T) {
	s := foundPair()
	for i := range 5000 {
		var track interference.Track
		kind := interference.Kind{Image: fmt.Sprintf("kind %d", i)}
		for percent := 0; percent <= 40; percent += 10 {
			beside := []interference.Kind{}
			if percent >= 20 {
				beside = append(beside, other)
			}
			s.model.Observe(s.now, &track, interference.Report{
				Worker: workerID(i % 16), Kind: kind, Beside: beside, Fraction: float64(percent) / 100, Clock: time.Duration(percent) * time.Second,
			})
		}
		s.model.Refresh(s.now)
	}
	if !s.found(victim, bully) || s.model.Pairs() > 256 {
		t.Errorf("the pair is significant: %v; %d pairs are kept", s.found(victim, bully), s.model.Pairs())
	}
}
