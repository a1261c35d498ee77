package gang

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// fakeWorker grants leases that expire, and records which attempts it started.
type fakeWorker struct {
	address  netip.AddrPort
	capacity int
	leases   map[state.JobAttempt]*fakeLease
	voided   map[state.JobAttempt]bool
	started  map[state.JobAttempt]bool
}

type fakeLease struct {
	members int
	expires time.Time
	running bool
}

func (w *fakeWorker) used(now time.Time) (members int) {
	for _, l := range w.leases {
		if now.Before(l.expires) {
			members += l.members
		}
	}
	return members
}

func (w *fakeWorker) running(k state.JobAttempt, now time.Time) int {
	l := w.leases[k]
	if l == nil || !l.running || !now.Before(l.expires) {
		return 0
	}
	return l.members
}

// message is one request to one worker.
type message struct {
	step   string
	worker netip.AddrPort
	job    state.JobID
}

const starterPause = 2 * time.Second

type fault int

const (
	noFault fault = iota
	refuse
	requestLost
	answerLost
	// deliveredLate loses the answer and delivers the request after the stop.
	deliveredLate
	// starterPaused delays the starter by starterPause before the message.
	starterPaused
	// starterDies loses this message and all later ones.
	starterDies
)

// fakeZone implements a Starter's calls with in-memory racks and workers.
type fakeZone struct {
	mu      sync.Mutex
	racks   map[string][]*fakeWorker
	fault   func(m message, count int) fault
	count   int
	dead    bool
	pending sync.WaitGroup
}

func newFakeZone(fault func(m message, count int) fault) *fakeZone {
	z := &fakeZone{racks: make(map[string][]*fakeWorker), fault: fault}
	for _, p := range allPlacements {
		w := &fakeWorker{
			address: p.Worker, capacity: 2,
			leases: make(map[state.JobAttempt]*fakeLease), voided: make(map[state.JobAttempt]bool), started: make(map[state.JobAttempt]bool),
		}
		z.racks[p.Rack] = append(z.racks[p.Rack], w)
	}
	return z
}

func (z *fakeZone) starter() *Starter {
	return &Starter{Now: time.Now, Hold: z.hold, Start: z.start, Stop: z.stop}
}

// deliver passes a message to a worker, with the fault that the test injects.
func (z *fakeZone) deliver(m message, act func() bool) error {
	<-time.After(time.Millisecond)
	z.mu.Lock()
	z.count++
	f := z.fault(m, z.count)
	z.mu.Unlock()
	if f == starterPaused {
		<-time.After(starterPause)
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.dead = z.dead || f == starterDies
	switch {
	case z.dead, f == requestLost:
		return state.NewAmbiguousStepError(m.step, m.worker, state.WorkerSilent, nil)
	case f == refuse:
		return state.NewStepError(m.step, m.worker, state.WorkerFailed, nil)
	case f == deliveredLate:
		z.pending.Go(func() {
			<-time.After(holdTTL / 2)
			z.mu.Lock()
			defer z.mu.Unlock()
			act()
		})
		return state.NewAmbiguousStepError(m.step, m.worker, state.WorkerSilent, nil)
	}
	if !act() {
		return state.NewStepError(m.step, m.worker, state.LeaseRefused, nil)
	}
	if f == answerLost {
		return state.NewAmbiguousStepError(m.step, m.worker, state.WorkerSilent, nil)
	}
	return nil
}

func (z *fakeZone) hold(_ context.Context, rack string, r HoldRequest) (leases []state.Lease, err error) {
	k := state.JobAttempt{Job: r.Job.ID, Attempt: r.Attempt}
	for _, p := range r.Placements {
		w := z.worker(rack, p.Worker)
		err := z.deliver(message{"hold", p.Worker, k.Job}, func() bool {
			if w.voided[k] || w.capacity-w.used(time.Now()) < p.Members {
				return false
			}
			w.leases[k] = &fakeLease{members: p.Members, expires: time.Now().Add(r.TTL)}
			return true
		})
		if err != nil {
			return nil, z.releaseHolds(rack, k, err)
		}
		leases = append(leases, state.Lease{Worker: p.Worker, Job: k.Job, Attempt: k.Attempt, Members: p.Members, Expires: time.Now().Add(r.TTL)})
	}
	return leases, nil
}

// releaseHolds removes the rack's leases after a refused hold, as a rack's home
// does.
func (z *fakeZone) releaseHolds(rack string, k state.JobAttempt, cause error) error {
	if state.IsAmbiguous(cause) {
		return cause
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, w := range z.racks[rack] {
		delete(w.leases, k)
	}
	return cause
}

func (z *fakeZone) start(_ context.Context, rack string, leases []state.Lease) error {
	for _, l := range leases {
		w := z.worker(rack, l.Worker)
		k := state.JobAttempt{Job: l.Job, Attempt: l.Attempt}
		err := z.deliver(message{"start", l.Worker, k.Job}, func() bool {
			held := w.leases[k]
			if held == nil || w.voided[k] || !time.Now().Before(held.expires) {
				return false
			}
			held.running = true
			w.started[k] = true
			return true
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (z *fakeZone) stop(_ context.Context, rack string, job state.JobID, attempt state.Attempt) (bool, error) {
	k := state.JobAttempt{Job: job, Attempt: attempt}
	neverStarted := true
	var lost error
	for _, w := range z.racks[rack] {
		err := z.deliver(message{"stop", w.address, job}, func() bool {
			delete(w.leases, k)
			w.voided[k] = true
			neverStarted = neverStarted && !w.started[k]
			return true
		})
		if err != nil {
			lost = errors.Wrap(err, rack)
		}
	}
	return neverStarted && lost == nil, lost
}

func (z *fakeZone) used() (members int) {
	for _, workers := range z.racks {
		for _, w := range workers {
			members += w.used(time.Now())
		}
	}
	return members
}

func (z *fakeZone) worker(rack string, address netip.AddrPort) *fakeWorker {
	for _, w := range z.racks[rack] {
		if w.address == address {
			return w
		}
	}
	return nil
}

// extendLeases renews the leases of a started gang, as the racks' homes do.
func (z *fakeZone) extendLeases(result Result) {
	for _, l := range result.Leases {
		for _, workers := range z.racks {
			for _, w := range workers {
				if held := w.leases[state.JobAttempt{Job: l.Job, Attempt: l.Attempt}]; held != nil {
					held.expires = held.expires.Add(time.Hour)
				}
			}
		}
	}
}

// abortFromOther has a second starter stop the gang, and returns what that
// starter knows of it.
func (z *fakeZone) abortFromOther(t *testing.T) state.Ran {
	neverStarted, err := z.starter().Abort(t.Context(), gangJob.ID, 1, []string{"a", "b"})
	if neverStarted && err == nil {
		return state.NotRun
	}
	return state.OutcomeUnknown
}

// checkSettled waits until leases that are not renewed have expired, then checks
// that all members run or none, that a job reported as not run was never
// started, and that no capacity stays held.
func checkSettled(t *testing.T, z *fakeZone, job *state.Job, result Result) {
	t.Helper()
	k := state.JobAttempt{Job: job.ID, Attempt: 1}
	z.extendLeases(result)
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
		t.Error("reported as not run, but a worker started a member")
	}
	if used := z.used(); !result.Started && used > 0 {
		t.Errorf("capacity of %d members is still held", used)
	}
}
