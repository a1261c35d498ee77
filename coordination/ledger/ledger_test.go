package ledger_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/ledger"
	"comfreystream/coordination/storage"
	"comfreystream/protocol/record"
	"comfreystream/protocol/store"
	standin "comfreystream/standin/store"
	"comfreystream/state"
)

// rig holds the ledgers of two planners, a and b, of one zone that share a store.
type rig struct {
	t     testing.TB
	store *standin.Store
	a, b  *ledger.Ledger
}

func newRig(t testing.TB) *rig {
	s := standin.New()
	calls := store.WithWriteIDs(s.Operations())
	r := &rig{t: t, store: s}
	r.a = ledger.New(storage.New(calls, 0), record.SegmentCodec(), "z")
	r.b = ledger.New(storage.New(calls, 0), record.SegmentCodec(), "z")
	t.Cleanup(func() {
		for _, l := range []*ledger.Ledger{r.a, r.b} {
			if err := l.Close(); err != nil {
				t.Error(err)
			}
		}
		s.Close()
	})
	return r
}

func job(i int) *state.Job {
	return &state.Job{ID: state.JobID(fmt.Sprintf("z.%d", i)), Organisation: "org", Members: 1, Payload: []byte("payload")}
}

func outcome(i int, answer []byte) state.Outcome {
	return state.Outcome{Job: job(i).ID, Attempt: 1, Ran: state.RanToCompletion, Answer: answer}
}

func (r *rig) save(l *ledger.Ledger, i int) {
	r.t.Helper()
	if err := l.Save(context.Background(), job(i)); err != nil {
		r.t.Error(err)
	}
}

func (r *rig) refused(ctx context.Context, j *state.Job, reason state.Reason, ambiguous bool) {
	r.t.Helper()
	if err := r.a.Save(ctx, j); state.ReasonOf(err, "") != reason || state.IsAmbiguous(err) != ambiguous {
		r.t.Errorf("Save returned %v; want reason %s, ambiguous %v", err, reason, ambiguous)
	}
}

func (r *rig) finish(l *ledger.Ledger, i int, answer []byte) {
	r.t.Helper()
	if err := l.Finish(context.Background(), job(i), outcome(i, answer)); err != nil {
		r.t.Error(err)
	}
}

// holds checks that a new planner loads exactly these jobs and outcomes.
func (r *rig) holds(jobs, ended []int) {
	r.t.Helper()
	fresh := ledger.New(storage.New(store.WithWriteIDs(r.store.Operations()), 0), record.SegmentCodec(), "z")
	saved, outcomes, err := fresh.Load(context.Background())
	if err != nil {
		r.t.Error(err)
		return
	}
	var gotJobs, gotEnded, wantJobs, wantEnded []state.JobID
	for i := range saved {
		gotJobs = append(gotJobs, saved[i].ID)
		if string(saved[i].Payload) != "payload" {
			r.t.Errorf("job %s has payload %q", saved[i].ID, saved[i].Payload)
		}
	}
	for _, o := range outcomes {
		gotEnded = append(gotEnded, o.Job)
	}
	for _, i := range jobs {
		wantJobs = append(wantJobs, job(i).ID)
	}
	for _, i := range ended {
		wantEnded = append(wantEnded, job(i).ID)
	}
	slices.Sort(gotJobs)
	slices.Sort(gotEnded)
	if !slices.Equal(gotJobs, wantJobs) || !slices.Equal(gotEnded, wantEnded) {
		r.t.Errorf("the store holds %v and outcomes of %v, want %v and %v", gotJobs, gotEnded, wantJobs, wantEnded)
	}
}

// heal ends the faults and waits for the retries to finish.
func (r *rig) heal() {
	r.store.Inject(nil)
	<-time.After(10 * time.Second)
	synctest.Wait()
}

func TestLedgerUnderFaults(t *testing.T) {
	ctx := context.Background()
	lost, down := standin.Faults{LoseAnswer: true}, standin.Faults{Down: true}
	tests := []struct {
		name string
		run  func(r *rig)
	}{
		{"a saved job survives its planner", func(r *rig) {
			r.save(r.a, 1)
			r.holds([]int{1}, nil)
			<-time.After(30 * 24 * time.Hour)
			r.holds([]int{1}, nil)
		}},
		{"the response to the save is lost", func(r *rig) {
			r.store.Inject(standin.FirstWrite(lost, standin.Faults{}))
			r.save(r.a, 1)
			r.holds([]int{1}, nil)
		}},
		{"the response is lost and the store goes down: ambiguous, then withdrawn", func(r *rig) {
			r.store.Inject(standin.FirstWrite(lost, down))
			r.refused(ctx, job(1), state.NotDurable, true)
			r.heal()
			r.holds(nil, nil)
		}},
		{"the save arrives after it was withdrawn: it has no effect", func(r *rig) {
			r.store.Inject(standin.FirstWrite(standin.Faults{Slow: time.Minute}, down))
			r.refused(ctx, job(1), state.NotDurable, true)
			r.heal()
			<-time.After(time.Minute)
			r.holds(nil, nil)
		}},
		{"the store refuses", func(r *rig) {
			r.store.Inject(standin.Always(standin.Faults{Refuse: true}))
			r.refused(ctx, job(1), state.NotDurable, false)
			r.store.Inject(nil)
			r.holds(nil, nil)
		}},
		{"the store stays down: errors are unambiguous once the breaker is open", func(r *rig) {
			r.store.Inject(standin.Always(down))
			r.refused(ctx, job(1), state.NotDurable, true)
			r.refused(ctx, job(2), state.NotDurable, false)
			r.heal()
			r.holds(nil, nil)
		}},
		{"the caller stops waiting before the write", func(r *rig) {
			soon, cancel := context.WithTimeout(ctx, time.Millisecond)
			defer cancel()
			r.refused(soon, job(1), state.NotDurable, false)
			r.heal()
			r.holds(nil, nil)
		}},
		{"the caller stops waiting during the write", func(r *rig) {
			r.store.Inject(standin.FirstWrite(standin.Faults{Slow: 500 * time.Millisecond}, standin.Faults{}))
			soon, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			r.refused(soon, job(1), state.NotDurable, true)
			r.heal()
			r.holds(nil, nil)
		}},
		{"a save behind one that hangs returns in time", func(r *rig) {
			r.store.Inject(standin.Always(standin.Faults{Slow: time.Minute}))
			var all sync.WaitGroup
			for i := range 4 {
				all.Go(func() {
					<-time.After(time.Duration(i) * 200 * time.Millisecond)
					began := time.Now()
					if err := r.a.Save(ctx, job(i)); state.ReasonOf(err, "") != state.NotDurable {
						r.t.Error(err)
					}
					// An entry waits 4 s for the planner's answer.
					if took := time.Since(began); took >= 4*time.Second {
						r.t.Errorf("Save took %v", took)
					}
				})
			}
			all.Wait()
			r.heal()
			<-time.After(time.Minute)
			r.holds(nil, nil)
		}},
		{"a job above the store's limit", func(r *rig) {
			large := job(1)
			large.Payload = make([]byte, 2<<20)
			r.refused(ctx, large, state.BodyTooLarge, false)
			r.holds(nil, nil)
		}},
		{"an outcome replaces the job and expires after the retention", func(r *rig) {
			r.save(r.a, 1)
			r.finish(r.a, 1, []byte("short"))
			r.holds(nil, []int{1})
			<-time.After(2 * ledger.OutcomeRetention)
			r.holds(nil, nil)
			// Only the zone's mark stays.
			if left, _, err := r.store.Watch(ctx, "", 0, 0); err != nil || len(left) != 1 || left[0].Key != "ledger/z" {
				r.t.Errorf("the store still holds %v, %v", left, err)
			}
		}},
		{"the response to the finish is lost", func(r *rig) {
			r.save(r.a, 1)
			r.store.Inject(standin.FirstWrite(lost, standin.Faults{}))
			r.finish(r.a, 1, nil)
			r.holds(nil, []int{1})
		}},
		{"another planner finishes", func(r *rig) {
			r.save(r.a, 1)
			r.save(r.a, 2)
			r.finish(r.b, 2, nil)
			r.holds([]int{1}, []int{2})
		}},
		{"two planners finish jobs of one batch", func(r *rig) {
			r.saveAll(2)
			r.finish(r.b, 0, nil)
			r.finish(r.a, 1, nil)
			r.holds(nil, []int{0, 1})
		}},
		{"a large answer is loaded unchanged", func(r *rig) {
			r.save(r.a, 1)
			answer := bytes.Repeat([]byte("x"), 900<<10)
			r.finish(r.a, 1, answer)
			if _, ended, err := r.b.Load(ctx); err != nil || len(ended) != 1 || !bytes.Equal(ended[0].Answer, answer) {
				r.t.Errorf("loaded %d outcomes, %v; want one with the whole answer", len(ended), err)
			}
		}},
		{"an answer above the store's limit is omitted", func(r *rig) {
			r.save(r.a, 1)
			r.finish(r.a, 1, make([]byte, 2<<20))
			r.holds(nil, []int{1})
		}},
		{"stale data is detected, also by a new planner", func(r *rig) {
			r.store.SnapshotStaleData()
			r.save(r.a, 1)
			r.store.Inject(standin.Always(standin.Faults{StaleReads: true}))
			for _, planner := range []*ledger.Ledger{r.a, r.b} {
				if jobs, _, err := planner.Load(ctx); err == nil {
					r.t.Errorf("loaded %v from stale data", jobs)
				}
			}
			r.store.Inject(nil)
			r.holds([]int{1}, nil)
		}},
		{"a burst of saves needs few writes", func(r *rig) {
			r.saveAll(1000)
			// 1000 jobs make 4 batches of at most 256; the first saves may have one of their own.
			if calls := r.store.CountCalls(standin.CompareAndSwap); calls > 5 {
				r.t.Errorf("%d writes, want at most 5", calls)
			}
		}},
		{"the ledger is closed", func(r *rig) {
			if err := r.a.Close(); err != nil {
				r.t.Error(err)
			}
			r.refused(ctx, job(1), state.Draining, false)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.run(newRig(t)) })
		})
	}
}

// saveAll saves the given number of jobs concurrently.
func (r *rig) saveAll(jobs int) {
	var all sync.WaitGroup
	for i := range jobs {
		all.Go(func() { r.save(r.a, i) })
	}
	all.Wait()
}

func BenchmarkSaveAndFinish(b *testing.B) {
	for _, atOnce := range []int{1, 100} {
		b.Run(fmt.Sprintf("atOnce=%d", atOnce), func(b *testing.B) {
			r := newRig(b)
			for b.Loop() {
				r.saveAll(atOnce)
				var all sync.WaitGroup
				for i := range atOnce {
					all.Go(func() { r.finish(r.a, i, nil) })
				}
				all.Wait()
			}
			writes := float64(r.store.CountCalls(standin.CompareAndSwap))
			b.ReportMetric(writes/float64(b.N*atOnce), "writes/job")
		})
	}
}
