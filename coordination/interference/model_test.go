package interference_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"comfreystream/coordination/interference"
	"comfreystream/coordination/speed"
)

// TestFindsPair checks that a pair is found within the number of runs that the design
// note derives, and that no other pair is blamed for it. A planner that does not find it
// goes on to place the tasks beside each other.
func TestFindsPair(t *testing.T) {
	tests := []struct {
		name    string
		size    int
		times   float64
		seconds float64
		maxRuns int
	}{
		{"single tasks, 2 times", 1, 2, 8, 75},
		{"gangs, 2 times", 4, 2, 8, 15},
		{"short gangs, 2 times", 4, 2, 3, 25},
		{"single tasks, 1.4 times", 1, 1.4, 8, 85},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runs, late, blamed := []int{}, 0, 0
			for seed := range uint64(40) {
				s := newSimulation(seed)
				s.slowdown = hurts(test.times)
				for !s.found(victim, bully) && s.started < 4*test.maxRuns {
					if s.random.IntN(2) == 0 {
						s.start(kinds[s.random.IntN(len(kinds))], test.size, test.seconds)
					}
					s.step()
				}
				runs = append(runs, s.started)
				if s.started > test.maxRuns {
					late++
				}
				blamed += s.model.Significant()
			}
			slices.Sort(runs)
			t.Logf("runs of the kind until found: median %d, worst %d; %d of 40 over %d", runs[20], runs[39], late, test.maxRuns)
			if late > 2 || blamed > len(runs) {
				t.Errorf("%d of 40 took more than %d runs, and %d pairs were found", late, test.maxRuns, blamed)
			}
		})
	}
}

// TestFalseAlarms checks that kinds which do not slow each other down are not separated.
// Workers that are slow, unknown or that change their speed must not be taken for pairs.
func TestFalseAlarms(t *testing.T) {
	tests := []struct {
		name   string
		uneven float64
		size   int
		// maxAlarms is of 50 runs of 4 min with 16 pairs.
		maxAlarms int
		before    func(s *simulation, step int)
	}{
		{"single tasks", 0.05, 1, 0, nil},
		{"gangs", 0.05, 4, 0, nil},
		{"very uneven progress", 0.2, 4, 2, nil},
		{"slow workers, known", 0.05, 4, 0, func(s *simulation, step int) {
			for i := range s.factors {
				s.factors[i] = 0.7 + float64(i%3/2)
			}
		}},
		{"slow workers, unknown", 0.05, 4, 0, func(s *simulation, step int) {
			s.estimate = func(int) speed.Estimate { return speed.Estimate{Factor: 1, Deviation: 0.4} }
			for i := range s.factors {
				s.factors[i] = 0.7 + float64(i%3/2)
			}
		}},
		{"a worker that comes and goes", 0.05, 4, 0, func(s *simulation, step int) {
			s.estimate = func(int) speed.Estimate { return speed.Estimate{Factor: 1, Deviation: 0.05} }
			s.factors[0] = 1 + 2*float64(step/20%2)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			alarms := 0
			const seeds, steps = 50, 480
			for seed := range uint64(seeds) {
				s := newSimulation(seed)
				s.uneven = test.uneven
				for step := range steps {
					if test.before != nil {
						test.before(s, step)
					}
					if s.random.IntN(2) == 0 {
						s.start(kinds[s.random.IntN(len(kinds))], test.size, 8)
					}
					s.step()
					if s.model.Significant() > 0 {
						alarms++
						break
					}
				}
			}
			t.Logf("a pair of 16 was found within 4 min in %d of %d runs", alarms, seeds)
			if alarms > test.maxAlarms {
				t.Errorf("a pair was found in %d of %d runs without any", alarms, seeds)
			}
		})
	}
}

// TestSlowWorkersBesidePair checks that a pair is found on workers of different speeds,
// while it is also what makes them differ.
func TestSlowWorkersBesidePair(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed)
		s.slowdown = hurts(2)
		for i := range s.factors {
			s.factors[i] = 0.7 + float64(i%3/2)
		}
		for range 240 {
			if s.random.IntN(2) == 0 {
				s.start(kinds[s.random.IntN(len(kinds))], 4, 8)
			}
			s.step()
		}
		if e, _ := s.model.Estimate(s.now, interference.Pair{Kind: victim, Beside: bully}); math.Abs(math.Log(e.Slowdown/2)) > 0.2 || s.model.Significant() != 1 {
			t.Errorf("seed %d: estimated %+v, %d pairs significant", seed, e, s.model.Significant())
		}
	}
}

// TestForgets checks that a pair which no longer shows is forgotten, at once if the kinds
// run beside each other without harm and in minutes if they are kept apart.
func TestForgets(t *testing.T) {
	tests := []struct {
		name           string
		run            bool
		stays, forgets time.Duration
	}{
		{"harmless now", true, 0, 2 * time.Minute},
		{"kept apart", false, 4 * time.Minute, 15 * time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				s := newSimulation(seed)
				s.slowdown = hurts(2)
				start := func() {
					if s.random.IntN(2) == 0 {
						s.start(kinds[s.random.IntN(len(kinds))], 4, 8)
					}
				}
				for !s.found(victim, bully) {
					start()
					s.step()
				}
				s.slowdown = hurts(1)
				if !test.run {
					s.running = nil
				}
				found := s.now
				for s.found(victim, bully) {
					if test.run {
						start()
					}
					s.step()
				}
				if took := s.now.Sub(found); took < test.stays || took > test.forgets {
					t.Errorf("seed %d: forgotten after %v, want %v to %v", seed, took, test.stays, test.forgets)
				}
			}
		})
	}
}
