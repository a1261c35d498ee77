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

// rig is two planners of a zone over one store.
type rig struct {
	t     testing.TB
	store *standin.Store
	a, b  *ledger.Ledger
}

func newRig(t testing.TB) *rig {
	s := standin.New()
	calls := store.WithWriteIDs(s.Raw())
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
	return state.Outcome{Job: job(i).ID, Attempt: 1, Ran: state.RanWhole, Answer: answer}
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
		r.t.Errorf("%v; want %s, ambiguous %v", err, reason, ambiguous)
	}
}

func (r *rig) finish(l *ledger.Ledger, i int, answer []byte) {
	r.t.Helper()
	if err := l.Finish(context.Background(), job(i), outcome(i, answer)); err != nil {
		r.t.Error(err)
	}
}

// holds fails unless a planner that comes new finds these jobs and outcomes.
func (r *rig) holds(jobs, ended []int) {
	r.t.Helper()
	fresh := ledger.New(storage.New(store.WithWriteIDs(r.store.Raw()), 0), record.SegmentCodec(), "z")
	saved, outcomes, err := fresh.Load(context.Background())
	if err != nil {
		r.t.Error(err)
		return
	}
	var gotJobs, gotEnded, wantJobs, wantEnded []state.JobID
	for i := range saved {
		gotJobs = append(gotJobs, saved[i].ID)
		if string(saved[i].Payload) != "payload" {
			r.t.Errorf("job %s came back with payload %q", saved[i].ID, saved[i].Payload)
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
		{"a saved job outlives its planner", func(r *rig) {
			r.save(r.a, 1)
			r.holds([]int{1}, nil)
			<-time.After(30 * 24 * time.Hour)
			r.holds([]int{1}, nil)
		}},
		{"the answer of the save is lost", func(r *rig) {
			r.store.Inject(standin.FirstWrite(lost, standin.Faults{}))
			r.save(r.a, 1)
			r.holds([]int{1}, nil)
		}},
		{"the answer is lost and the store goes down: in doubt, then undone", func(r *rig) {
			r.store.Inject(standin.FirstWrite(lost, down))
			r.refused(ctx, job(1), state.NotDurable, true)
			r.heal()
			r.holds(nil, nil)
		}},
		{"the save arrives after it was undone: it does not count", func(r *rig) {
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
		{"down for long: the breaker makes it plain", func(r *rig) {
			r.store.Inject(standin.Always(down))
			r.refused(ctx, job(1), state.NotDurable, true)
			r.refused(ctx, job(2), state.NotDurable, false)
			r.heal()
			r.holds(nil, nil)
		}},
		{"the caller gives up before the write", func(r *rig) {
			soon, cancel := context.WithTimeout(ctx, time.Millisecond)
			defer cancel()
			r.refused(soon, job(1), state.NotDurable, false)
			r.heal()
			r.holds(nil, nil)
		}},
		{"the caller gives up during the write", func(r *rig) {
			r.store.Inject(standin.FirstWrite(standin.Faults{Slow: 500 * time.Millisecond}, standin.Faults{}))
			soon, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			r.refused(soon, job(1), state.NotDurable, true)
			r.heal()
			r.holds(nil, nil)
		}},
		{"a save behind one that hangs comes back in time", func(r *rig) {
			r.store.Inject(standin.Always(standin.Faults{Slow: time.Minute}))
			var all sync.WaitGroup
			for i := range 4 {
				all.Go(func() {
					<-time.After(time.Duration(i) * 200 * time.Millisecond)
					began := time.Now()
					if err := r.a.Save(ctx, job(i)); state.ReasonOf(err, "") != state.NotDurable {
						r.t.Error(err)
					}
					// A front waits 4 s for the planner's answer.
					if took := time.Since(began); took >= 4*time.Second {
						r.t.Errorf("took %v", took)
					}
				})
			}
			all.Wait()
			r.heal()
			<-time.After(time.Minute)
			r.holds(nil, nil)
		}},
		{"a job over the store's limit", func(r *rig) {
			large := job(1)
			large.Payload = make([]byte, 2<<20)
			r.refused(ctx, large, state.BodyTooLarge, false)
			r.holds(nil, nil)
		}},
		{"an outcome takes the job's place, and goes after the retention", func(r *rig) {
			r.save(r.a, 1)
			r.finish(r.a, 1, []byte("short"))
			r.holds(nil, []int{1})
			<-time.After(2 * ledger.OutcomeRetention)
			r.holds(nil, nil)
			// The ledger's mark is all that stays.
			if left, _, err := r.store.Watch(ctx, "", 0, 0); err != nil || len(left) != 1 || left[0].Key != "ledger/z" {
				r.t.Errorf("the store still has %v, %v", left, err)
			}
		}},
		{"the answer of the finish is lost", func(r *rig) {
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
		{"a large answer comes back whole", func(r *rig) {
			r.save(r.a, 1)
			answer := bytes.Repeat([]byte("x"), 900<<10)
			r.finish(r.a, 1, answer)
			if _, ended, err := r.b.Load(ctx); err != nil || len(ended) != 1 || !bytes.Equal(ended[0].Answer, answer) {
				r.t.Errorf("%d outcomes, %v", len(ended), err)
			}
		}},
		{"an answer over the store's limit is left out", func(r *rig) {
			r.save(r.a, 1)
			r.finish(r.a, 1, make([]byte, 2<<20))
			r.holds(nil, []int{1})
		}},
		{"old data is told from new, also by a planner that is new", func(r *rig) {
			r.store.Freeze()
			r.save(r.a, 1)
			r.store.Inject(standin.Always(standin.Faults{OldData: true}))
			for _, planner := range []*ledger.Ledger{r.a, r.b} {
				if jobs, _, err := planner.Load(ctx); err == nil {
					r.t.Errorf("loaded %v", jobs)
				}
			}
			r.store.Inject(nil)
			r.holds([]int{1}, nil)
		}},
		{"a burst takes few writes", func(r *rig) {
			r.saveAll(1000)
			// 1000 jobs in batches of 256 at most, with one more for the first that came.
			if calls := r.store.Calls(standin.CompareAndSwap); calls > 5 {
				r.t.Errorf("%d writes", calls)
			}
		}},
		{"closed", func(r *rig) {
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

// saveAll saves that many jobs at once.
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
			writes := float64(r.store.Calls(standin.CompareAndSwap))
			b.ReportMetric(writes/float64(b.N*atOnce), "writes/job")
		})
	}
}
