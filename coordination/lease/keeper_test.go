package lease_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/lease"
	standin "comfreystream/standin/worker"
	"comfreystream/state"
)

var (
	rackOne       = state.Rack{Name: "r1", AvailabilityZone: "z"}
	workerAddress = netip.MustParseAddrPort("127.0.0.1:9001")
	capacity      = state.Resources{Slots: 8, Accelerators: 8, Cores: 32, MemoryBytes: 1 << 30}
	firstAttempt  = state.JobAttempt{Job: "z.1", Attempt: 1}
)

// planner is a fake planner that records the reports and replies as configured.
type planner struct {
	mu     sync.Mutex
	whole  bool
	forget bool
	// loseReplies is the number of reports that are recorded and whose replies are lost.
	loseReplies int
	full        int
	reports     int
	tasks       map[state.JobAttempt]state.TaskPhase
	listed      bool
}

func (p *planner) report(_ context.Context, report state.RackReport) (reply state.ReportReply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports++
	if report.Full {
		p.full++
	}
	for _, w := range report.Workers {
		p.listed = w.Listed
		for _, t := range w.Tasks {
			attempt := state.JobAttempt{Job: t.Lease.Job, Attempt: t.Lease.Attempt}
			p.tasks[attempt] = t.Phase
		}
	}
	if p.loseReplies > 0 {
		p.loseReplies--
		return reply, errors.New("reply lost")
	}
	for attempt, phase := range p.tasks {
		if p.whole && phase == state.TaskRunning {
			reply.AllRunning = append(reply.AllRunning, attempt)
		}
		if p.forget && phase == state.TaskDone {
			reply.Forget = append(reply.Forget, attempt)
		}
	}
	return reply, nil
}

func (p *planner) phase(attempt state.JobAttempt) (state.TaskPhase, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	phase, found := p.tasks[attempt]
	return phase, found
}

func newKeeper(w *standin.Worker, p *planner, self string) *lease.Keeper {
	k := lease.New(netip.MustParseAddrPort(self))
	k.Report = p.report
	k.Workers = lease.WorkerCalls{
		Attach: func(context.Context, netip.AddrPort) (state.Token, error) { return w.Attach() },
		Hold: func(_ context.Context, _ netip.AddrPort, r state.HoldRequest) (state.Lease, error) {
			return w.Hold(r)
		},
		Start: func(_ context.Context, _ netip.AddrPort, token state.Token, a state.JobAttempt) error {
			return w.Start(token, a)
		},
		Stop: func(_ context.Context, _ netip.AddrPort, token state.Token, a state.JobAttempt) (bool, error) {
			return w.Stop(token, a)
		},
		Checkpoint: func(_ context.Context, _ netip.AddrPort, token state.Token, a state.JobAttempt) ([]byte, error) {
			return w.Checkpoint(token, a)
		},
		Renew: func(ctx context.Context, _ netip.AddrPort, r state.RenewRequest) (state.RenewReply, error) {
			if w.Faults().Silent {
				<-ctx.Done()
				return state.RenewReply{}, ctx.Err()
			}
			return w.Renew(ctx, r)
		},
	}
	k.SetWorkers([]state.Worker{w.Describe()})
	return k
}

func startJob(t *testing.T, k *lease.Keeper, run string) {
	t.Helper()
	job := &state.Job{ID: "z.1", Members: 2, Shape: state.Resources{Slots: 1}, Payload: []byte(`{"run":"` + run + `"}`)}
	placements := []state.Placement{{Worker: workerAddress, Rack: "r1", Members: 2}}
	leases, err := k.Hold(t.Context(), "r1", job, 1, placements, 8*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context(), "r1", leases); err != nil {
		t.Fatal(err)
	}
}

func TestTaskLifecycle(t *testing.T) {
	tests := []struct {
		name    string
		planner planner
		run     string
		// fault runs 5 s after the start of the job.
		fault   func(k *lease.Keeper, w *standin.Worker, p *planner)
		after   time.Duration
		want    state.TaskPhase
		dropped bool
	}{
		{"attempt that the planner does not confirm stops by expiry", planner{}, "1h", nil, 9 * time.Second, state.TaskStopped, false},
		{"confirmed attempt is renewed beyond its first lease", planner{whole: true}, "1h", nil, time.Minute, state.TaskRunning, false},
		{"end of a task is reported at once", planner{whole: true}, "2s", nil, 2*time.Second + 50*time.Millisecond, state.TaskDone, false},
		{"ended task is dropped once the planner has forgotten it", planner{whole: true, forget: true}, "1s", nil, 10 * time.Second, state.TaskDone, true},
		{"planner forgets later, task is dropped after the next report", planner{whole: true}, "1s", func(_ *lease.Keeper, _ *standin.Worker, p *planner) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.forget = true
		}, 7 * time.Second, state.TaskDone, true},
		{"full report after lost replies", planner{whole: true, loseReplies: 3}, "1h", nil, time.Minute, state.TaskRunning, false},
		{"tasks of a silent worker stop by expiry", planner{whole: true}, "1h", func(_ *lease.Keeper, w *standin.Worker, _ *planner) {
			w.SetFaults(standin.Faults{Silent: true})
		}, 30 * time.Second, state.TaskStopped, false},
		{"tasks stop by expiry when their home is gone", planner{whole: true}, "1h", func(k *lease.Keeper, _ *standin.Worker, _ *planner) {
			_ = k.Close()
		}, 30 * time.Second, state.TaskStopped, false},
	}
	for i := range tests {
		tt := &tests[i]
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := standin.New(state.Worker{Address: workerAddress, Rack: rackOne, Capacity: capacity})
				p := &tt.planner
				p.tasks = make(map[state.JobAttempt]state.TaskPhase)
				k := newKeeper(w, p, "127.0.0.1:1")
				<-time.After(time.Second)
				startJob(t, k, tt.run)
				if tt.fault != nil {
					<-time.After(5 * time.Second)
					tt.fault(k, w, p)
				}
				<-time.After(tt.after)
				if phase, found := w.Phase(firstAttempt); found == tt.dropped || found && phase != tt.want {
					t.Errorf("worker has phase %v (found %v), want %v", phase, found, tt.want)
				}
				_ = k.Close()
				_ = w.Close()
			})
		})
	}
}

// TestSecondHomeAttaches guards against two homes that manage one rack: a second
// home attaches to the worker while the first is still active. The worker must
// refuse the earlier token, and the second home must adopt the running task.
func TestSecondHomeAttaches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := standin.New(state.Worker{Address: workerAddress, Rack: rackOne, Capacity: capacity})
		first, second := &planner{tasks: map[state.JobAttempt]state.TaskPhase{}}, &planner{tasks: map[state.JobAttempt]state.TaskPhase{}, whole: true}
		old := newKeeper(w, first, "127.0.0.1:1")
		<-time.After(time.Second)
		startJob(t, old, "1h")
		stale, _ := w.Attach()
		current := newKeeper(w, second, "127.0.0.1:2")
		<-time.After(time.Second)
		_ = old.Close()
		<-time.After(time.Second)
		if err := w.Start(stale, firstAttempt); state.ReasonOf(err, "") != state.StaleToken {
			t.Errorf("start with a stale token returned %v", err)
		}
		if phase, found := second.phase(firstAttempt); !found || phase != state.TaskRunning {
			t.Errorf("new home reported phase %v (found %v) for the running task", phase, found)
		}
		<-time.After(time.Minute)
		if phase, _ := w.Phase(firstAttempt); phase != state.TaskRunning {
			t.Errorf("adopted task has phase %v, want running", phase)
		}
		_ = current.Close()
		_ = w.Close()
	})
}

// TestReportFrequency counts the reports on a rack with one running attempt in a minute.
func TestReportFrequency(t *testing.T) {
	tests := []struct {
		name       string
		whole      bool
		fullReport bool
		least      int
		most       int
		full       int
	}{
		{"attempt is not confirmed", false, false, 25, 40, 0},
		{"attempt is confirmed", true, false, 1, 3, 0},
		{"planner restarts", true, true, 2, 4, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := standin.New(state.Worker{Address: workerAddress, Rack: rackOne, Capacity: capacity})
				p := &planner{tasks: map[state.JobAttempt]state.TaskPhase{}, whole: true}
				k := newKeeper(w, p, "127.0.0.1:1")
				<-time.After(time.Second)
				startJob(t, k, "1h")
				<-time.After(10 * time.Second)
				p.mu.Lock()
				p.whole, p.reports, p.full = tt.whole, 0, 0
				p.mu.Unlock()
				if tt.fullReport {
					k.ReportInFull()
				}
				if !tt.whole {
					k.ReportInFull()
				}
				<-time.After(time.Minute)
				p.mu.Lock()
				if p.reports < tt.least || p.reports > tt.most || tt.whole && p.full != tt.full {
					t.Errorf("%d reports, %d of them full; want %d to %d, %d full", p.reports, p.full, tt.least, tt.most, tt.full)
				}
				p.mu.Unlock()
				_ = k.Close()
				_ = w.Close()
			})
		})
	}
}
