package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"
)

// stableWindow, cancelLimit and visibleLimit are bounds of the deployment.
const (
	stableWindow = 3 * time.Second
	cancelLimit  = 3 * time.Second
	visibleLimit = 3 * time.Second
	// pendingAge is how old jobs are that a number of waiting jobs must include.
	pendingAge = visibleLimit + 2*time.Second
	// lastingLimit is how long after its last run a task that lasts may be without one: 6 s,
	// and the 3 s that the rule names. calmBefore is the calm that it wants before these 3 s.
	lastingLimit = 9 * time.Second
	calmBefore   = 4 * time.Second
)

func init() {
	cases["cancel"] = cancelCase
	cases["moved-queue"] = movedQueueCase
	cases["foreign-entry"] = foreignEntryCase
	cases["guarantee"] = guaranteeCase
	cases["kind"] = kindCase
	cases["pending-restart"] = pendingRestartCase
	cases["pending-late"] = pendingLateCase
	cases["lasting-restart"] = lastingRestartCase
	cases["lasting-new"] = lastingNewCase
}

var node = amount{CPU: 32000, Memory: 131072, GPU: 8}

// deployment starts n workers on racks of four and three entries.
func (w *world) deployment(n int) {
	for i := range n {
		w.addWorker("svc", node, true, "a", fmt.Sprintf("r%d", i/4+1))
	}
	w.config(1, true)
	w.startEntries(3)
	w.ready()
	time.Sleep(2 * time.Second)
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// cancelCase: clients hand jobs in, leave 900 ms later and cancel at another entry. With
// trouble, the store loses the answers of the writes for every third job and does them late.
func cancelCase(w *world, trouble bool) {
	w.deployment(8)
	const count, lateBy = 24, 5500 * time.Millisecond
	var jobs []*job
	doomed := map[string]bool{}
	for i := range count {
		j := newJob(8*time.Second, stepSpec{amount: amount{CPU: 1000, Memory: 1000, GPU: 1}, Count: 1, Estimate: 8000})
		jobs = append(jobs, j)
		doomed[j.id] = i%3 == 0
	}
	w.store.mu.Lock()
	before, open := w.store.txns, true
	if trouble {
		w.store.lose = func(_ string, t *txn) (bool, time.Duration) {
			for id := range doomed {
				if open && doomed[id] && t.writes("", id+"/job") {
					return true, lateBy
				}
			}
			return false, 0
		}
	}
	w.store.mu.Unlock()
	began := time.Now()
	done := make(chan struct{})
	for i, j := range jobs {
		go func() {
			defer func() { done <- struct{}{} }()
			sleepUntil(began.Add(time.Duration(i) * 80 * time.Millisecond))
			path := "/q2/" + j.id
			sent := time.Now()
			w.submit(w.entries[i%3], "/q2/", j, 900*time.Millisecond)
			sleepUntil(sent.Add(900 * time.Millisecond))
			for range 4 {
				status, _, _ := w.call(w.entries[(i+1)%3], "DELETE", path, nil, 3*time.Second, 3*time.Second)
				if status/100 == 2 || status == 410 {
					w.mu.Lock()
					j.cancelAcked = time.Now()
					w.mu.Unlock()
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	for range jobs {
		<-done
	}
	w.store.mu.Lock()
	open = false
	txns, lost, lastLost := w.store.txns-before, w.store.lost, w.store.lastLost
	w.store.mu.Unlock()
	w.log("store: the answers of %d of %d writes were lost, a share of %.2f, over %.1f s", lost, txns, float64(lost)/float64(max(txns, 1)), time.Since(began).Seconds())
	if float64(lost) > 0.35*float64(txns) {
		w.fatal("the dose is above the limit")
	}
	time.Sleep(12 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	acked := 0
	for _, j := range jobs {
		if !j.cancelAcked.IsZero() {
			acked++
		}
		for _, r := range w.runs {
			id, _, _, _ := parseTask(r.task)
			if id != j.id || j.cancelAcked.IsZero() || !r.started.After(j.cancelAcked.Add(cancelLimit)) {
				continue
			}
			if !lastLost.IsZero() && r.started.Before(lastLost.Add(stableWindow)) {
				continue // its sender may not have been in touch
			}
			w.broken("UNASKED: %s was started at %.3f, %.3f s after its job's cancelling was acknowledged at %.3f", r.task, w.at(r.started), r.started.Sub(j.cancelAcked).Seconds(), w.at(j.cancelAcked))
		}
	}
	w.log("the cancelling of %d of %d jobs was acknowledged", acked, len(jobs))
	if acked < len(jobs)/2 {
		w.mu.Unlock()
		w.fatal("too few cancels were acknowledged")
	}
}

// checkPending asks the entries for the number of waiting jobs of a queue until a time, and
// compares it with the accepted jobs that have not begun.
func (w *world) checkPending(queue string, jobs []*job, entries func() []*entry, until time.Time) {
	asked := 0
	for time.Now().Before(until) {
		for _, e := range entries() {
			sent := time.Now()
			status, body, _ := w.call(e, "GET", queue, nil, time.Second, time.Second)
			var answer struct {
				Pending *int `json:"pending"`
			}
			if status != 200 || json.Unmarshal([]byte(body), &answer) != nil || answer.Pending == nil {
				continue
			}
			asked++
			w.mu.Lock()
			waiting := 0
			for _, j := range jobs {
				if !j.accepted.IsZero() && j.begun.IsZero() && sent.Sub(j.accepted) > pendingAge {
					waiting++
				}
			}
			w.mu.Unlock()
			if 2**answer.Pending < waiting {
				w.broken("MIXED: %s gives %d as pending at %.3f, while %d jobs that were accepted over %v before have not begun", e.name, *answer.Pending, w.at(sent), waiting, pendingAge)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.log("%d answers to requests for the number of waiting jobs", asked)
	if asked == 0 {
		w.fatal("no entry gave a number of waiting jobs")
	}
}

// pendingRestartCase: the only worker with a label is lost for good just before jobs come
// that need it. With trouble, the entry that acts is then stopped and started.
func pendingRestartCase(w *world, trouble bool) {
	w.deployment(7)
	special := w.addWorker("svc", node, true, "b", "r2")
	time.Sleep(3 * time.Second)
	w.mu.Lock()
	special.crash()
	w.mu.Unlock()
	w.log("platform: worker %s is lost for good", special.id)
	var jobs []*job
	for i := range 6 {
		j := newJob(4*time.Second, stepSpec{amount: amount{CPU: 1000, Memory: 1000, GPU: 1}, Count: 1, Estimate: 4000, Requires: "b"})
		jobs = append(jobs, j)
		w.submit(w.entries[i%3], "/q2/", j, 3*time.Second)
	}
	time.Sleep(3 * time.Second)
	stopped := w.leader()
	if trouble {
		w.log("platform: SIGTERM to %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
	}
	time.Sleep(4 * time.Second)
	calm := func() (list []*entry) {
		for _, e := range w.entries {
			e.mu.Lock()
			if e != stopped || !trouble {
				list = append(list, e)
			}
			e.mu.Unlock()
		}
		return list
	}
	w.checkPending("/q2/", jobs, calm, time.Now().Add(8*time.Second))
}

// pendingLateCase: jobs come that can never be done. With trouble, the answer of one write
// of the store is lost, and it is done late.
func pendingLateCase(w *world, trouble bool) {
	w.deployment(8)
	const lateBy = 5 * time.Second
	var jobs []*job
	lostOne := false
	w.store.mu.Lock()
	before := w.store.txns
	if trouble {
		w.store.lose = func(_ string, t *txn) (bool, time.Duration) {
			if lostOne || !t.writes("pending", "") {
				return false, 0
			}
			lostOne = true
			return true, lateBy
		}
	}
	w.store.mu.Unlock()
	for range 10 {
		j := newJob(4*time.Second, stepSpec{amount: amount{CPU: 1000, Memory: 1000, GPU: 1}, Count: 1, Estimate: 4000, Requires: "none"})
		jobs = append(jobs, j)
		w.submitUntil("/q2/", j)
		time.Sleep(300 * time.Millisecond)
	}
	accepted := time.Now()
	w.store.mu.Lock()
	w.log("store: the answers of %d of %d writes were lost", w.store.lost, w.store.txns-before)
	w.store.mu.Unlock()
	time.Sleep(pendingAge + time.Second)
	w.checkPending("/q2/", jobs, func() []*entry { return w.entries }, accepted.Add(16*time.Second))
}

// lasting submits a job of tasks that last, one on each worker, and waits until all are at
// work; limit bounds the wait after that.
func (w *world) lasting(count int) *job {
	j := newJob(0, stepSpec{amount: amount{CPU: 2000, Memory: 4000, GPU: 2}, Count: count, Estimate: 60000, Persistent: true, MaxPerServer: 2})
	w.submitUntil("/q2/", j)
	for range 200 {
		w.mu.Lock()
		running := 0
		for _, r := range w.runs {
			if r.ended.IsZero() && !r.working.IsZero() {
				running++
			}
		}
		w.mu.Unlock()
		if running == count {
			return j
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.fatal("the tasks that last did not start")
	return nil
}

// checkLasting looks for times without a run of a task that lasts. disrupted holds the times
// at which something was disrupted.
func (w *world) checkLasting(until time.Time, disrupted ...time.Time) {
	sleepUntil(until)
	w.mu.Lock()
	defer w.mu.Unlock()
	byTask := map[string][]*run{}
	for _, r := range w.runs {
		byTask[r.task] = append(byTask[r.task], r)
	}
	for task, runs := range byTask {
		for i, r := range runs {
			if r.ended.IsZero() {
				continue
			}
			next := until
			if i+1 < len(runs) {
				next = runs[i+1].started
			}
			w.log("%s: run %d ended (%s) at %.3f; the next one began %.3f s later", task, r.number, r.how, w.at(r.ended), next.Sub(r.ended).Seconds())
			// From 6 s after the last run on, 3 s without a run, after 4 s of calm.
			from := r.ended.Add(lastingLimit - 3*time.Second)
			for _, d := range disrupted {
				if from.Before(d.Add(calmBefore)) {
					from = d.Add(calmBefore)
				}
			}
			if next.Sub(from) >= 3*time.Second {
				w.broken("LOST: %s had no run from %.3f to %.3f, %.3f s after its last one; the last disruptions were at %v", task, w.at(r.ended), w.at(next), next.Sub(r.ended).Seconds(), w.times(disrupted))
			}
		}
	}
}

func (w *world) times(list []time.Time) (seconds []float64) {
	for _, t := range list {
		seconds = append(seconds, float64(int(w.at(t)*1000))/1000)
	}
	return seconds
}

// lastingRestartCase: a worker with tasks that last is lost for good, and 2 s later the
// process of the entry that acts is killed.
func lastingRestartCase(w *world, trouble bool) {
	w.deployment(8)
	w.lasting(8)
	time.Sleep(6 * time.Second)
	if !trouble {
		w.checkLasting(time.Now().Add(24 * time.Second))
		return
	}
	w.mu.Lock()
	victim := w.runs[0].worker
	victim.crash()
	w.mu.Unlock()
	lostAt := time.Now()
	w.log("platform: worker %s is lost for good", victim.id)
	time.Sleep(2 * time.Second)
	killed := w.leader()
	w.log("platform: SIGKILL to the process of %s", killed.name)
	killed.signal(syscall.SIGKILL)
	time.Sleep(1500 * time.Millisecond)
	killed.mu.Lock()
	restarted := killed.disrupted
	killed.mu.Unlock()
	w.checkLasting(lostAt.Add(24*time.Second), lostAt, restarted)
}

// lastingNewCase: a worker is lost for good shortly after its first tasks that last have
// started.
func lastingNewCase(w *world, trouble bool) {
	w.deployment(8)
	w.lasting(8)
	time.Sleep(250 * time.Millisecond)
	if !trouble {
		w.checkLasting(time.Now().Add(20 * time.Second))
		return
	}
	w.mu.Lock()
	victim := w.runs[0].worker
	victim.crash()
	w.mu.Unlock()
	lostAt := time.Now()
	w.log("platform: worker %s is lost for good", victim.id)
	w.checkLasting(lostAt.Add(20*time.Second), lostAt)
}

// checkTwice looks for runs of a task that break the rule TWICE. A run that its worker's
// crash ended counts until then.
func (w *world) checkTwice() {
	w.mu.Lock()
	defer w.mu.Unlock()
	byTask := map[string][]*run{}
	for _, r := range w.runs {
		byTask[r.task] = append(byTask[r.task], r)
	}
	for task, runs := range byTask {
		for i, r := range runs {
			for _, other := range runs[:i] {
				at := fmt.Sprintf("%s: run %d on %s (%s) from %.3f to %.3f (%s); run %d on %s (%s) began at %.3f", task, other.number, other.worker.id, other.worker.service,
					w.at(other.started), w.at(other.ended), other.how, r.number, r.worker.id, r.worker.service, w.at(r.started))
				switch {
				case other.ended.IsZero() || other.ended.After(r.started):
					w.broken("TWICE: two runs at the same time: %s", at)
				case other.how == "done" && !other.noted.IsZero():
					w.broken("TWICE: a start after a run that was done, and taken note of at %.3f: %s", w.at(other.noted), at)
				}
			}
		}
	}
}

// movedQueueCase: jobs are accepted, and the requests that handed them in arrive once more
// seconds later at another entry. With trouble, a new version of the configuration has sent
// their queue to another service meanwhile.
func movedQueueCase(w *world, trouble bool) {
	for i := range 8 {
		w.addWorker("svc2", node, true, "a", fmt.Sprintf("r%d", i/4+3))
	}
	w.deployment(8)
	var jobs []*job
	for i := range 4 {
		runs := 8 * time.Second
		if i >= 2 {
			runs = 2 * time.Second // they have ended when the requests arrive once more
		}
		j := newJob(runs, stepSpec{amount: amount{CPU: 1000, Memory: 1000, GPU: 1}, Count: 3, Estimate: runs.Milliseconds()})
		jobs = append(jobs, j)
		w.submit(w.entries[i%3], "/q2/", j, 3*time.Second)
	}
	time.Sleep(time.Second)
	if trouble {
		w.config(2, true, "queue2")
		w.log("operator: version 2 sends queue2 to svc2")
	}
	time.Sleep(3 * time.Second)
	for i, j := range jobs {
		if !j.accepted.IsZero() {
			w.call(w.entries[(i+1)%3], "POST", "/q2/"+j.id, j.spec, 3*time.Second, 3*time.Second)
		}
	}
	time.Sleep(16 * time.Second)
	for i, j := range jobs {
		w.call(w.entries[i%3], "GET", "/q2/"+j.id, nil, 3*time.Second, 3*time.Second)
	}
	w.checkTwice()
}

// foreignEntryCase: another writer writes an entry of a service that isn't named in the
// configuration under the key of a worker, which writes its own again with its next beat.
func foreignEntryCase(w *world, trouble bool) {
	special := w.addWorker("svc", node, true, "b", "r3")
	w.deployment(8)
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(75 * time.Millisecond):
			}
			runs := time.Duration(300+i*37%500) * time.Millisecond
			j := newJob(runs, stepSpec{amount: amount{CPU: 1000, Memory: 1000, GPU: 1}, Count: 1, Estimate: runs.Milliseconds(), Requires: "b"})
			go w.submit(w.entries[i%3], "/q2/", j, 3*time.Second)
		}
	}()
	time.Sleep(4 * time.Second)
	if trouble {
		w.mu.Lock()
		wk := special
		entry := wk.entry()
		entry["service"] = "other"
		w.store.put("servers/"+wk.id, entry)
		w.mu.Unlock()
		w.log("store: another writer has written servers/%s with service other", wk.id)
	}
	time.Sleep(50 * time.Second)
	close(stop)
	time.Sleep(5 * time.Second)
	w.checkTwice()
}

// guaranteeCase: jobs of a tenant within its guarantee come while the workers have room.
// With trouble, large jobs of tasks that last have come before, of another tenant and of
// lower priority, and use all that was idle.
func guaranteeCase(w *world, trouble bool) {
	const reclaimLimit = 3400 * time.Millisecond
	w.deployment(8)
	if trouble {
		for range 4 {
			j := newJob(0, stepSpec{amount: amount{CPU: 4000, Memory: 8000, GPU: 4}, Count: 4, Estimate: 60000, Persistent: true})
			j.key = "key-2"
			w.submitUntil("/q2/", j)
		}
	}
	time.Sleep(8 * time.Second)
	var jobs []*job
	for range 3 {
		j := newJob(4*time.Second, stepSpec{amount: amount{CPU: 4000, Memory: 8000, GPU: 4}, Count: 2, Estimate: 4000})
		jobs = append(jobs, j)
		w.submitUntil("/q1/", j)
		time.Sleep(12 * time.Second)
	}
	time.Sleep(8 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range jobs {
		begun, last := map[string]bool{}, time.Time{}
		for _, r := range w.runs {
			if id, _, _, _ := parseTask(r.task); id == j.id && !begun[r.task] {
				begun[r.task], last = true, r.started
			}
		}
		w.log("job %s, accepted at %.3f, has begun %d of 2 tasks, the last at %.3f", j.id, w.at(j.accepted), len(begun), w.at(last))
		if len(begun) < 2 || last.Sub(j.accepted) > reclaimLimit {
			w.broken("RECLAIM: job %s of priority 0 needs 8 accelerators of the 16 guaranteed to its tenant; of its 2 tasks %d have begun in %.1f s", j.id, len(begun), time.Since(j.accepted).Seconds())
		}
	}
}

// kindCase: jobs come that need a label which two of eight workers have. With trouble, these
// crash in turn, and are back under their id and address 0.3 s later as the other kind.
func kindCase(w *world, trouble bool) {
	w.deployment(6)
	specials := []*worker{w.addWorker("svc", node, true, "b", "r2"), w.addWorker("svc", node, true, "b", "r2")}
	time.Sleep(3 * time.Second)
	for round := range 8 {
		wk := specials[round%2]
		if trouble {
			w.mu.Lock()
			wk.crash()
			w.mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			w.mu.Lock()
			if wk.labels[0] == "b" {
				wk.labels = []string{"a", "r2"}
			} else {
				wk.labels = []string{"b", "r2"}
			}
			wk.begin()
			w.log("platform: worker %s is back as kind %s", wk.id, wk.labels[0])
			w.mu.Unlock()
		}
		for i := range 4 {
			j := newJob(500*time.Millisecond, stepSpec{amount: amount{CPU: 1000, Memory: 1000, GPU: 4}, Count: 1, Estimate: 500, Requires: "b"})
			w.submit(w.entries[i%3], "/q2/", j, 3*time.Second)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.kind != "b" {
			w.broken("ROUTE: %s, which requires b, was started at %.3f on %s, which was of kind %s", r.task, w.at(r.started), r.worker.id, r.kind)
		}
	}
}
