package gang

import (
	"comfreystream/state"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// The zone of the tests: racks a and b with two workers of two slots each.
var (
	a1      = netip.MustParseAddrPort("10.0.1.1:7070")
	a2      = netip.MustParseAddrPort("10.0.1.2:7070")
	b1      = netip.MustParseAddrPort("10.0.2.1:7070")
	b2      = netip.MustParseAddrPort("10.0.2.2:7070")
	across  = []state.Placement{{Worker: b1, Rack: "b", Members: 2}, {Worker: a1, Rack: "a", Members: 2}, {Worker: b2, Rack: "b", Members: 2}, {Worker: a2, Rack: "a", Members: 1}}
	gangJob = state.Job{ID: "z.1", Members: 7}
)

func newFakeZone(fault func(m message, count int) fault) *fakeZone {
	z := &fakeZone{racks: make(map[string][]*fakeWorker), fault: fault}
	for _, p := range across {
		w := &fakeWorker{
			address: p.Worker, free: 2,
			leases: make(map[attemptKey]*fakeLease), voided: make(map[attemptKey]bool), started: make(map[attemptKey]bool),
		}
		z.racks[p.Rack] = append(z.racks[p.Rack], w)
	}
	return z
}

// on hits the first times messages of a step to a worker with a fault.
func on(step string, worker netip.AddrPort, f fault, times int) func(message, int) fault {
	return func(m message, _ int) fault {
		if m.step != step || m.worker != worker || times == 0 {
			return none
		}
		times--
		return f
	}
}

// checkSettled waits until every lease that nobody renews has lapsed, and
// checks what must hold whatever failed.
func checkSettled(t *testing.T, z *fakeZone, job *state.Job, result Result) {
	t.Helper()
	k := attemptKey{job.ID, 1}
	z.renew(result)
	z.pending.Wait()
	<-time.After(holdTTL)
	running, started := 0, false
	for _, workers := range z.racks {
		for _, w := range workers {
			running += w.running(k, time.Now())
			started = started || w.started[k]
		}
	}
	if want := map[bool]int{true: job.Members}[result.Started]; running != want {
		t.Errorf("%d members run, want %d of %d", running, want, job.Members)
	}
	if result.Ran == state.NotRun && started {
		t.Error("the answer is not run, but a worker started a member")
	}
	if used := z.used(); !result.Started && used > 0 {
		t.Errorf("%d members' capacity is still held", used)
	}
}

// renew does the part of the racks' homes once a gang has started.
func (z *fakeZone) renew(result Result) {
	for _, l := range result.Leases {
		for _, workers := range z.racks {
			for _, w := range workers {
				if held := w.leases[attemptKey{l.Job, l.Attempt}]; held != nil {
					held.expires = held.expires.Add(time.Hour)
				}
			}
		}
	}
}

func TestRun(t *testing.T) {
	tests := []struct {
		name       string
		placements []state.Placement
		fault      func(message, int) fault
		want       Result
	}{
		{"no fault", across, nil, Result{Started: true, Ran: state.Unknown}},
		{"placements for fewer members", across[:3], nil, Result{Ran: state.NotRun, Reason: state.BadRequest}},
		{"more members than a worker holds", []state.Placement{{Worker: a1, Rack: "a", Members: 2}, {Worker: b1, Rack: "b", Members: 5}}, nil, Result{Ran: state.NotRun, Reason: state.LeaseRefused}},
		{"worker fails at hold", across, on("hold", b2, refuse, 1), Result{Ran: state.NotRun, Reason: state.WorkerFailed, Failed: []netip.AddrPort{b2}}},
		{"hold is lost", across, on("hold", a2, requestLost, 1), Result{Ran: state.NotRun, Reason: state.WorkerSilent, Failed: []netip.AddrPort{a2}}},
		{"hold's answer is lost", across, on("hold", b1, answerLost, 1), Result{Ran: state.NotRun, Reason: state.WorkerSilent, Failed: []netip.AddrPort{b1}}},
		{"hold arrives after the stop", across, on("hold", b1, late, 1), Result{Ran: state.NotRun, Reason: state.WorkerSilent, Failed: []netip.AddrPort{b1}}},
		{"worker fails at start", across, on("start", a2, refuse, 1), Result{Ran: state.Unknown, Reason: state.WorkerFailed, Failed: []netip.AddrPort{a2}}},
		{"start's answer is lost", across, on("start", b2, answerLost, 1), Result{Ran: state.Unknown, Reason: state.WorkerSilent, Failed: []netip.AddrPort{b2}}},
		{"start arrives after the stop", across, on("start", a1, late, 1), Result{Ran: state.Unknown, Reason: state.WorkerSilent, Failed: []netip.AddrPort{a1}}},
		{"every first start fails", across, func(m message, _ int) fault {
			return map[bool]fault{true: refuse}[m.step == "start"]
		}, Result{Ran: state.NotRun, Reason: state.WorkerFailed}},
		{"every first start fails and a stop's answer is lost", across, func() func(message, int) fault {
			lost := on("stop", a2, answerLost, 1)
			return func(m message, count int) fault {
				if m.step == "start" {
					return refuse
				}
				return lost(m, count)
			}
		}(), Result{Ran: state.NotRun, Reason: state.WorkerFailed}},
		{"start fails and a stop's answer is lost", across, func(m message, _ int) fault {
			return map[message]fault{{"start", a1, "z.1"}: refuse, {"stop", a1, "z.1"}: answerLost}[m]
		}, Result{Ran: state.Unknown, Reason: state.WorkerFailed, Failed: []netip.AddrPort{a1}}},
		{"start fails and no stop gets through", across, func(m message, _ int) fault {
			return map[message]fault{{"start", b1, "z.1"}: refuse, {"stop", a1, "z.1"}: requestLost}[m]
		}, Result{Ran: state.Unknown, Reason: state.WorkerFailed, Failed: []netip.AddrPort{b1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if tt.fault == nil {
					tt.fault = on("", a1, none, 0)
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
					t.Errorf("%d members' capacity is held after the answer", used)
				}
				checkSettled(t, z, &gangJob, got)
			})
		})
	}
}

// TestRunUnderEachFault hits each message in turn with each fault.
func TestRunUnderEachFault(t *testing.T) {
	const messages = 16
	for _, second := range []fault{none, refuse, requestLost, answerLost} {
		for _, f := range []fault{refuse, requestLost, answerLost, late, death} {
			for at := 1; at <= messages; at++ {
				t.Run(fmt.Sprintf("fault %d at message %d, then %d", f, at, second), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						z := newFakeZone(func(_ message, count int) fault {
							return map[int]fault{at: f, at + 2: second}[count]
						})
						result := z.starter().Run(t.Context(), &gangJob, 1, across)
						if z.dead {
							// Nobody hears the result of a dead starter; a second one cleans up.
							z.dead = false
							never, err := z.starter().Abort(t.Context(), gangJob.ID, 1, []string{"a", "b"})
							result = Result{Ran: map[bool]state.Ran{true: state.NotRun, false: state.Unknown}[never && err == nil]}
						}
						checkSettled(t, z, &gangJob, result)
					})
				})
			}
		}
	}
}

func TestContention(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration
	}{
		{"together", 0},
		{"second between the first's holds", 2 * time.Millisecond},
		{"second during the first's starts", 5 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newFakeZone(on("", a1, none, 0))
				jobs := []state.Job{{ID: "z.1", Members: 7}, {ID: "z.2", Members: 7}}
				results := make([]Result, len(jobs))
				var all sync.WaitGroup
				for i := range jobs {
					all.Go(func() {
						<-time.After(time.Duration(i) * tt.delay)
						results[i] = z.starter().Run(t.Context(), &jobs[i], 1, across)
					})
				}
				all.Wait()
				if results[0].Started == results[1].Started {
					t.Errorf("started %v and %v, want exactly one", results[0], results[1])
				}
				for i := range jobs {
					if !results[i].Started && results[i].Ran != state.NotRun {
						t.Errorf("the refused gang's answer is %v", results[i].Ran)
					}
				}
			})
		})
	}
}

func TestHeldGangIsNotStarted(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *Starter)
		want   state.Reason
	}{
		{"holds were slow", func(s *Starter) {
			hold := s.Hold
			s.Hold = func(ctx context.Context, rack string, r HoldRequest) ([]state.Lease, error) {
				<-time.After(map[string]time.Duration{"b": holdTTL - startTimeout}[rack])
				return hold(ctx, rack, r)
			}
		}, state.LeaseLapsed},
		{"leases are short", func(s *Starter) {
			hold := s.Hold
			s.Hold = func(ctx context.Context, rack string, r HoldRequest) ([]state.Lease, error) {
				r.TTL = startTimeout
				return hold(ctx, rack, r)
			}
		}, state.LeaseLapsed},
		{"job was cancelled", func(s *Starter) {
			s.Commit = func(state.JobID, state.Attempt) error {
				return &state.TransitionError{Phase: state.JobDone, Event: state.StartSent}
			}
		}, state.Cancelled},
		{"one member is missing", func(s *Starter) {
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
				z := newFakeZone(on("", a1, none, 0))
				s := z.starter()
				tt.change(s)
				got := s.Run(t.Context(), &gangJob, 1, across)
				if got.Started || got.Ran != state.NotRun || got.Reason != tt.want {
					t.Errorf("got %+v, want not run, %v", got, tt.want)
				}
				checkSettled(t, z, &gangJob, got)
			})
		})
	}
}
