package scheduling

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/speed"
	"comfreystream/state/workflow"
)

// TestSpeedRecords checks that speeds are restored into the pool of their service, that
// changes of each service become due once, and that log lines on them are bounded.
func TestSpeedRecords(t *testing.T) {
	var lines bytes.Buffer
	counted := 0
	s := &Scheduler{Now: time.Now, WallClock: time.Now, Count: func(string) { counted++ }, Log: zerolog.New(&lines)}
	s.Open()
	defer func() { _ = s.Close() }()
	for _, service := range []string{"a", "b"} {
		r := speed.StoredRecord{Service: service, Record: speed.Record{Number: 5, Workers: []speed.WorkerSpeed{
			{Worker: "slow", Estimate: speed.Estimate{Factor: 3, Deviation: 0.1}},
		}}}
		if err := s.RestoreSpeeds(r); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.RestoreSpeeds(speed.StoredRecord{Service: "a", Record: speed.Record{Number: -1}}); err == nil {
		t.Error("an impossible record was taken over")
	}
	if due := s.DueSpeeds(10); len(due) != 0 {
		t.Errorf("due after the start of a term: %+v", due)
	}
	for _, service := range []string{"a", "b"} {
		observeGangs(s.pool(service))
	}
	if due := s.DueSpeeds(1); len(due) != 1 || due[0].Service == "" {
		t.Errorf("due %+v, want one record", due)
	}
	for range 4 {
		for _, r := range s.DueSpeeds(1) {
			s.SpeedsSaved(r)
		}
	}
	if due := s.DueSpeeds(10); len(due) != 0 {
		t.Errorf("due after all were saved: %+v", due)
	}
	p := s.pool("a")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logSpeedChanges(p.models[p.service])
	if got := bytes.Count(lines.Bytes(), []byte(`"event":"workerSpeed"`)); got != maxSpeedChanges || counted != got {
		t.Errorf("%d lines and %d counted of more changes, want %d:\n%s", got, counted, maxSpeedChanges, lines.Bytes())
	}
}

// observeGangs reports gangs over 40 workers, of which every fourth is slow.
func observeGangs(p *pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for percent := 10; percent <= 30; percent += 10 {
		now = now.Add(500 * time.Millisecond)
		for i := range 40 {
			pace := 5 * time.Second
			if i%4 == 0 {
				pace *= 3
			}
			p.models[p.service].speeds.Observe(now, speed.Observation{
				Worker: workflow.WorkerID(fmt.Sprintf("i-%d", i)), Task: workflow.Task{Job: "j", Index: i}, Attempt: 1,
				Cohort: speed.Cohort{Job: "j", Queue: "q"}, Equal: true,
				Fraction: float64(percent) / 100, Elapsed: pace * time.Duration(percent) / 100, Declared: 5 * time.Second,
			})
		}
		p.models[p.service].speeds.Fit(now)
	}
}
