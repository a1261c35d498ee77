package gang

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/state"
)

// The zone of the tests: racks a and b with two workers of two slots each.
var (
	a1            = netip.MustParseAddrPort("10.0.1.1:7070")
	a2            = netip.MustParseAddrPort("10.0.1.2:7070")
	b1            = netip.MustParseAddrPort("10.0.2.1:7070")
	b2            = netip.MustParseAddrPort("10.0.2.2:7070")
	allPlacements = []state.Placement{{Worker: b1, Rack: "b", Members: 2}, {Worker: a1, Rack: "a", Members: 2}, {Worker: b2, Rack: "b", Members: 2}, {Worker: a2, Rack: "a", Members: 1}}
	gangJob       = state.Job{ID: "z.1", Members: 7}
)

// injectOn injects a fault into the first messages of a step to a worker.
func injectOn(step string, worker netip.AddrPort, f fault, times int) func(message, int) fault {
	return func(m message, _ int) fault {
		if m.step != step || m.worker != worker || times == 0 {
			return noFault
		}
		times--
		return f
	}
}

func TestRun(t *testing.T) {
	tests := []struct {
		name       string
		placements []state.Placement
		fault      func(message, int) fault
		want       Result
	}{
		{"no fault", allPlacements, nil, Result{Started: true, Ran: state.OutcomeUnknown}},
		{"placements for fewer members", allPlacements[:3], nil, Result{Ran: state.NotRun, Reason: state.BadRequest}},
		{"more members than a worker holds", []state.Placement{{Worker: a1, Rack: "a", Members: 2}, {Worker: b1, Rack: "b", Members: 5}}, nil, Result{Ran: state.NotRun, Reason: state.LeaseRefused}},
		{"worker fails at hold", allPlacements, injectOn("hold", b2, refuse, 1), Result{Ran: state.NotRun, Reason: state.WorkerFailed, Failed: []netip.AddrPort{b2}}},
		{"hold is lost", allPlacements, injectOn("hold", a2, requestLost, 1), Result{Ran: state.NotRun, Reason: state.WorkerSilent, Failed: []netip.AddrPort{a2}}},
		{"hold's answer is lost", allPlacements, injectOn("hold", b1, answerLost, 1), Result{Ran: state.NotRun, Reason: state.WorkerSilent, Failed: []netip.AddrPort{b1}}},
		{"hold arrives after the stop", allPlacements, injectOn("hold", b1, deliveredLate, 1), Result{Ran: state.NotRun, Reason: state.WorkerSilent, Failed: []netip.AddrPort{b1}}},
		{"worker fails at start", allPlacements, injectOn("start", a2, refuse, 1), Result{Ran: state.OutcomeUnknown, Reason: state.WorkerFailed, Failed: []netip.AddrPort{a2}}},
		{"start's answer is lost", allPlacements, injectOn("start", b2, answerLost, 1), Result{Ran: state.OutcomeUnknown, Reason: state.WorkerSilent, Failed: []netip.AddrPort{b2}}},
		{"start arrives after the stop", allPlacements, injectOn("start", a1, deliveredLate, 1), Result{Ran: state.OutcomeUnknown, Reason: state.WorkerSilent, Failed: []netip.AddrPort{a1}}},
		{"every first start fails", allPlacements, func(m message, _ int) fault {
			return map[bool]fault{true: refuse}[m.step == "start"]
		}, Result{Ran: state.NotRun, Reason: state.WorkerFailed}},
		{"every first start fails and a stop's answer is lost", allPlacements, func() func(message, int) fault {
			lost := injectOn("stop", a2, answerLost, 1)
			return func(m message, count int) fault {
				if m.step == "start" {
					return refuse
				}
				return lost(m, count)
			}
		}(), Result{Ran: state.NotRun, Reason: state.WorkerFailed}},
		{"start fails and a stop's answer is lost", allPlacements, func(m message, _ int) fault {
			return map[message]fault{{"start", a1, "z.1"}: refuse, {"stop", a1, "z.1"}: answerLost}[m]
		}, Result{Ran: state.OutcomeUnknown, Reason: state.WorkerFailed, Failed: []netip.AddrPort{a1}}},
		{"start fails and no stop gets through", allPlacements, func(m message, _ int) fault {
			return map[message]fault{{"start", b1, "z.1"}: refuse, {"stop", a1, "z.1"}: requestLost}[m]
		}, Result{Ran: state.OutcomeUnknown, Reason: state.WorkerFailed, Failed: []netip.AddrPort{b1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if tt.fault == nil {
					tt.fault = injectOn("", a1, noFault, 0)
				}
				z := newFakeZone(tt.fault)
				got := z.starter().Run(t.Context(), &gangJob, 1, tt.placements)
				if got.Started != tt.want.Started || got.Ran != tt.want.Ran || got.Reason != tt.want.Reason {
					t.Errorf("got %+v, want %+v", got, tt.want)
				}
				if tt.want.Failed != nil && !slices.Equal(got.Failed, tt.want.Failed) {
					t.Errorf("blamed %v, want %v", got.Failed, tt.want.Failed)
				}
				if used := z.used(); got.Ran == state.NotRun && used > 0 {
					t.Errorf("capacity of %d members is held after the result", used)
				}
				checkSettled(t, z, &gangJob, got)
			})
		})
	}
}

// TestRunUnderEachFault injects each fault into each message in turn.
func TestRunUnderEachFault(t *testing.T) {
	const messages = 16
	for _, second := range []fault{noFault, refuse, requestLost, answerLost} {
		for _, f := range []fault{refuse, requestLost, answerLost, deliveredLate, starterDies} {
			for at := 1; at <= messages; at++ {
				t.Run(fmt.Sprintf("fault %d at message %d, then %d", f, at, second), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						z := newFakeZone(func(_ message, count int) fault {
							return map[int]fault{at: f, at + 2: second}[count]
						})
						result := z.starter().Run(t.Context(), &gangJob, 1, allPlacements)
						if z.dead {
							// Nobody hears the result of a dead starter.
							result = Result{Ran: state.OutcomeUnknown}
						}
						if z.dead && second != noFault {
							z.dead = false
							result.Ran = z.abortFromOther(t)
						}
						checkSettled(t, z, &gangJob, result)
					})
				})
			}
		}
	}
}

// TestPausedStarter has a second starter abort the gang while the first one is
// paused before one of its holds or starts: the gang must not run.
func TestPausedStarter(t *testing.T) {
	const holdsAndStarts = 8
	for at := 1; at <= holdsAndStarts; at++ {
		t.Run(fmt.Sprint("before message ", at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newFakeZone(func(_ message, count int) fault { return map[int]fault{at: starterPaused}[count] })
				aborted := make(chan state.Ran, 1)
				go func() {
					<-time.After(starterPause / 2)
					aborted <- z.abortFromOther(t)
				}()
				result := z.starter().Run(t.Context(), &gangJob, 1, allPlacements)
				if result.Started {
					t.Error("an aborted gang was started")
				}
				checkSettled(t, z, &gangJob, result)
				checkSettled(t, z, &gangJob, Result{Ran: <-aborted})
			})
		})
	}
}

func TestContention(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration
	}{
		{"both at once", 0},
		{"second between the first's holds", 2 * time.Millisecond},
		{"second during the first's starts", 5 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newFakeZone(injectOn("", a1, noFault, 0))
				jobs := []state.Job{{ID: "z.1", Members: 7}, {ID: "z.2", Members: 7}}
				results := make([]Result, len(jobs))
				var all sync.WaitGroup
				for i := range jobs {
					all.Go(func() {
						<-time.After(time.Duration(i) * tt.delay)
						results[i] = z.starter().Run(t.Context(), &jobs[i], 1, allPlacements)
					})
				}
				all.Wait()
				if results[0].Started == results[1].Started {
					t.Errorf("started %v and %v, want exactly one", results[0], results[1])
				}
				for i := range jobs {
					if !results[i].Started && results[i].Ran != state.NotRun {
						t.Errorf("the refused gang is reported as %v, want not run", results[i].Ran)
					}
				}
			})
		})
	}
}

func TestHeldGangIsNotStarted(t *testing.T) {
	const deadline = time.Minute
	slow := func(delay time.Duration) func(*Starter, func()) {
		return func(s *Starter, _ func()) {
			hold := s.Hold
			s.Hold = func(ctx context.Context, rack string, r HoldRequest) ([]state.Lease, error) {
				<-time.After(map[string]time.Duration{"b": delay}[rack])
				return hold(ctx, rack, r)
			}
		}
	}
	commit := func(err error) func(*Starter, func()) {
		return func(s *Starter, _ func()) {
			s.Commit = func(state.JobID, state.Attempt) error { return err }
		}
	}
	tests := []struct {
		name   string
		change func(s *Starter, cancel func())
		want   state.Reason
	}{
		{"holds were slow", slow(holdTTL - startTimeout), state.LeaseLapsed},
		{"holds took longer than the deadline", slow(deadline), state.DeadlinePassed},
		{"commit finds the job ended", commit(&state.TransitionError{Phase: state.JobDone, Event: state.StartSent}), state.Cancelled},
		{"commit fails without a reason", commit(state.NewStepError("commit", netip.AddrPort{}, "", nil)), state.Cancelled},
		{"commit refuses with a reason", commit(state.NewStepError("claim", netip.AddrPort{}, state.DuplicateKey, nil)), state.DuplicateKey},
		{"caller gave up", func(s *Starter, cancel func()) {
			s.Commit = func(state.JobID, state.Attempt) error {
				cancel()
				return nil
			}
		}, state.Cancelled},
		{"leases expire too early", func(s *Starter, _ func()) {
			hold := s.Hold
			s.Hold = func(ctx context.Context, rack string, r HoldRequest) ([]state.Lease, error) {
				r.TTL = startTimeout
				return hold(ctx, rack, r)
			}
		}, state.LeaseLapsed},
		{"a lease is missing", func(s *Starter, _ func()) {
			hold := s.Hold
			s.Hold = func(ctx context.Context, rack string, r HoldRequest) ([]state.Lease, error) {
				leases, err := hold(ctx, rack, r)
				return leases[1:], err
			}
		}, state.LeaseRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newFakeZone(injectOn("", a1, noFault, 0))
				s := z.starter()
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				tt.change(s, cancel)
				got := s.Run(ctx, &gangJob, 1, allPlacements)
				if got.Started || got.Ran != state.NotRun || got.Reason != tt.want {
					t.Errorf("got %+v, want not run, %v", got, tt.want)
				}
				checkSettled(t, z, &gangJob, got)
			})
		})
	}
}

func BenchmarkRun(b *testing.B) {
	const racks, perRack, members = 11, 6, 8
	var placements []state.Placement
	for i := range racks * perRack {
		worker := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7070)
		placements = append(placements, state.Placement{Worker: worker, Rack: fmt.Sprint("r", i%racks), Members: members})
	}
	s := &Starter{
		Now:   time.Now,
		Start: func(context.Context, string, []state.Lease) error { return nil },
		Hold: func(_ context.Context, _ string, r HoldRequest) (leases []state.Lease, err error) {
			for _, p := range r.Placements {
				leases = append(leases, state.Lease{Worker: p.Worker, Job: r.Job.ID, Attempt: r.Attempt, Members: p.Members, Expires: time.Now().Add(r.TTL)})
			}
			return leases, nil
		},
	}
	job := state.Job{ID: "z.1", Members: racks * perRack * members}
	b.ReportAllocs()
	for b.Loop() {
		if !s.Run(b.Context(), &job, 1, placements).Started {
			b.Fatal("not started")
		}
	}
}
