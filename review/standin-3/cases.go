package main

import (
	"fmt"
	"time"
)

const (
	stableWindow = 3 * time.Second
	reclaimLimit = 3400 * time.Millisecond
	service      = "planograma"
)

// base starts a deployment of one service with 48 workers.
func (d *deployment) base(guaranteed guarantees) error {
	d.configure(7, service, service, service, guaranteed, service)
	return d.startNodes()
}

// playMoved: jobs wait for a full service when the operator sends their queue to another one.
func playMoved(d *deployment, trouble bool) (bool, error) {
	const alpha, beta, jobs = "alpha", "beta", 4
	if err := d.addWorkers(alpha, "a", 0, 6); err != nil {
		return false, err
	}
	if err := d.addWorkers(beta, "a", 0, 42); err != nil {
		return false, err
	}
	d.configure(7, beta, alpha, alpha, guarantees{}, alpha, beta)
	if err := d.startNodes(); err != nil {
		return false, err
	}
	a, _, _ := d.callers()
	n := d.other()
	const full = "5c0e7a21d94b3600"
	if _, ok := d.submit(a, n, late, full, jobBody{lasting, []step{{Count: 6, CPU: 4000, Memory: 4096, GPU: 8, Estimate: 1000, Lasts: true}}}); !ok {
		return false, fmt.Errorf("the first job was not accepted")
	}
	if !until(15*time.Second, func() bool { return d.fleet.atWork(full) == 6 }) {
		return false, fmt.Errorf("the first job did not start")
	}
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("aa0e7a21d94b36%02x", i)
		if _, ok := d.submit(a, n, normal, id, jobBody{"2s", []step{{Count: 1, CPU: 4000, Memory: 4096, GPU: 8, Estimate: 2000}}}); !ok {
			return false, fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		d.configure(12, beta, beta, alpha, guarantees{}, alpha, beta)
	}
	time.Sleep(stableWindow)
	if trouble { // the queue works at its new service
		const probe = "bb0e7a21d94b3600"
		if _, ok := d.submit(a, n, normal, probe, jobBody{"2s", []step{{Count: 1, CPU: 4000, Memory: 4096, GPU: 8, Estimate: 2000}}}); !ok {
			return false, fmt.Errorf("the last job was not accepted")
		}
		time.Sleep(3 * time.Second)
		if state := a.state(n, normal+probe); state != "completed" {
			return false, fmt.Errorf("the last job is %s", state)
		}
	}
	time.Sleep(14 * time.Second) // finish_s
	target := alpha
	if trouble {
		target = beta
	}
	began := make(map[string]bool)
	idle := d.fleet.rooms(target, capacity{4000, 4096, 8})
	for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		idle = min(idle, d.fleet.rooms(target, capacity{4000, 4096, 8}))
		for _, id := range ids {
			began[id] = began[id] || len(d.fleet.taskRuns(id)) > 0
		}
	}
	waiting := 0
	for _, id := range ids {
		if a.state(n, normal+id); !began[id] {
			waiting++
		}
	}
	d.record.line("check: %d accepted jobs have nothing running for 3.5 s, 14 s after the last submission; their queue's service %s has %d idle workers", waiting, target, idle)
	return waiting > 0 && idle >= 2*waiting, nil
}

// playRack: a task that lasts has its data on a rack that is full of others that last. The rest
// of the workers are idle, but no more than 37.5 % of all.
func playRack(d *deployment, trouble bool) (bool, error) {
	const workers, rack, waits = 48, "r0-0", 25 * time.Second
	if err := d.addWorkers(service, "a", 0, workers); err != nil {
		return false, err
	}
	if err := d.base(guarantees{}); err != nil {
		return false, err
	}
	a, b, _ := d.callers()
	n := d.other()
	others := 16
	if trouble {
		others = 24
	}
	const near, far, id = "5c0e7a21d94b3600", "5c0e7a21d94b3601", "aa0e7a21d94b3600"
	lasts := func(count int, rack string) jobBody {
		return jobBody{lasting, []step{{Count: count, CPU: 4000, Memory: 4096, GPU: 8, Estimate: 1000, Lasts: true, DataRack: rack}}}
	}
	for _, job := range []struct {
		id    string
		count int
		rack  string
	}{{near, 6, rack}, {far, others, ""}} {
		if _, ok := d.submit(b, n, normal, job.id, lasts(job.count, job.rack)); !ok {
			return false, fmt.Errorf("job %s was not accepted", job.id)
		}
		if !until(15*time.Second, func() bool { return d.fleet.atWork(job.id) == job.count }) {
			return false, fmt.Errorf("job %s did not start", job.id)
		}
	}
	time.Sleep(stableWindow)
	accepted, ok := d.submit(a, n, normal, id, lasts(1, rack))
	if !ok {
		return false, fmt.Errorf("the last job was not accepted")
	}
	idle, isBroken := workers, false
	for time.Since(accepted) < waits {
		time.Sleep(500 * time.Millisecond)
		idle = min(idle, d.fleet.rooms(service, capacity{4000, 4096, 8}))
		waited := time.Since(accepted)
		if len(d.fleet.taskRuns(id)) == 0 && idle >= 2 && waited > 10*time.Second {
			isBroken = true
			d.record.line("check: the task has not run %.1f s after its job was accepted, with %d idle workers of %d all the while", waited.Seconds(), idle, workers)
		}
	}
	a.state(n, normal+id)
	return isBroken, nil
}

// playMovedOnce: a guaranteed task is moved to another worker for a guaranteed job of another
// tenant. Later that tenant asks for what it is guaranteed on the worker where the task is now.
func playMovedOnce(d *deployment, trouble bool) (bool, error) {
	const workers, guaranteed = 3, 8
	kinds := []string{"a", "b", "c"}
	for n, kind := range kinds {
		if err := d.addWorkers(service, kind, n, 1); err != nil {
			return false, err
		}
	}
	if err := d.base(guarantees{guaranteed, 0, guaranteed}); err != nil {
		return false, err
	}
	a, b, c := d.callers()
	n := d.other()
	const filler, small, first, second = "5c0e7a21d94b3600", "5c0e7a21d94b3601", "aa0e7a21d94b3600", "aa0e7a21d94b3601"
	small1 := step{CPU: 1000, Memory: 1024, GPU: 1, Estimate: 1000}
	fill, keep := small1, small1
	fill.Count, fill.Spread, keep.Count = 7*workers, 7, workers
	for _, job := range []struct {
		by         *caller
		prefix, id string
		step       step
	}{{b, normal, filler, fill}, {a, urgent, small, keep}} {
		if _, ok := d.submit(job.by, n, job.prefix, job.id, jobBody{"110s", []step{job.step}}); !ok {
			return false, fmt.Errorf("job %s was not accepted", job.id)
		}
		if !until(20*time.Second, func() bool { return d.fleet.atWork(job.id) == job.step.Count }) {
			return false, fmt.Errorf("job %s did not start", job.id)
		}
	}
	time.Sleep(stableWindow)
	whole := func(kind string) step {
		return step{Count: 1, CPU: 8000, Memory: 8192, GPU: 8, Estimate: 2500, Requires: kind}
	}
	wanted := kinds[0]
	if trouble {
		if _, ok := d.submit(c, n, urgent, first, jobBody{"2500ms", []step{whole(wanted)}}); !ok {
			return false, fmt.Errorf("the first urgent job was not accepted")
		}
		if !until(15*time.Second, func() bool { return c.state(n, urgent+first) == "completed" }) {
			return false, fmt.Errorf("the first urgent job did not run")
		}
		time.Sleep(stableWindow)
		for _, r := range d.fleet.taskRuns(small) {
			if r.run > 1 && r.ended.IsZero() {
				wanted = r.worker.labels[0]
			}
		}
		if wanted == kinds[0] {
			return false, fmt.Errorf("no task was moved")
		}
	}
	accepted, ok := d.submit(c, n, urgent, second, jobBody{"2500ms", []step{whole(wanted)}})
	if !ok {
		return false, fmt.Errorf("the second urgent job was not accepted")
	}
	time.Sleep(time.Until(accepted.Add(reclaimLimit)))
	begun := len(d.fleet.taskRuns(second))
	d.record.line("check: %d of 1 tasks have begun 3.4 s after the acknowledgement; the job needs 8 of %d guaranteed, %d of the other %d guaranteed are in use", begun, guaranteed, d.fleet.atWork(small), guaranteed)
	time.Sleep(15 * time.Second)
	d.record.line("check: %d of 1 tasks have begun 18.4 s after it", len(d.fleet.taskRuns(second)))
	c.state(n, urgent+second)
	return begun < 1, nil
}

// playFailures: two tasks of another tenant fail once by their own fault on the only worker of
// a kind. Then a tenant asks for what it is guaranteed there, where other work runs.
func playFailures(d *deployment, trouble bool) (bool, error) {
	const workers, guaranteed = 48, 72
	if err := d.addWorkers(service, "a", 0, workers-1); err != nil {
		return false, err
	}
	if err := d.addWorkers(service, "b", workers-1, 1); err != nil {
		return false, err
	}
	if err := d.base(guarantees{guaranteed}); err != nil {
		return false, err
	}
	a, b, _ := d.callers()
	n := d.other()
	const filler, id = "5c0e7a21d94b3600", "aa0e7a21d94b3600"
	if _, ok := d.submit(b, n, normal, filler, jobBody{"100s", []step{{Count: workers, CPU: 4000, Memory: 4096, GPU: 7, Estimate: 1000}}}); !ok {
		return false, fmt.Errorf("the first job was not accepted")
	}
	if !until(15*time.Second, func() bool { return d.fleet.atWork(filler) == workers }) {
		return false, fmt.Errorf("the first job did not start")
	}
	time.Sleep(time.Second)
	spec := "200ms"
	if trouble {
		spec = failsFirst + spec
	}
	small := []string{"bb0e7a21d94b3600", "bb0e7a21d94b3601"}
	for _, job := range small {
		if _, ok := d.submit(b, n, late, job, jobBody{spec, []step{{Count: 1, CPU: 1000, Memory: 1024, GPU: 1, Estimate: 200, Requires: "b"}}}); !ok {
			return false, fmt.Errorf("job %s was not accepted", job)
		}
	}
	for _, job := range small {
		ended := func() bool { runs := d.fleet.taskRuns(job); return len(runs) > 0 && !runs[0].ended.IsZero() }
		if !until(10*time.Second, ended) {
			return false, fmt.Errorf("job %s did not run", job)
		}
	}
	accepted, ok := d.submit(a, n, urgent, id, jobBody{"3s", []step{{Count: 1, CPU: 4000, Memory: 4096, GPU: 8, Estimate: 3000, Requires: "b"}}})
	if !ok {
		return false, fmt.Errorf("the urgent job was not accepted")
	}
	time.Sleep(time.Until(accepted.Add(reclaimLimit)))
	begun := len(d.fleet.taskRuns(id))
	d.record.line("check: %d of 1 tasks of the urgent job have begun 3.4 s after its acknowledgement; it needs 8 of %d guaranteed", begun, guaranteed)
	until(10*time.Second, func() bool { return len(d.fleet.taskRuns(id)) > 0 })
	d.record.line("check: %d of 1 tasks have begun %.1f s after it", len(d.fleet.taskRuns(id)), time.Since(accepted).Seconds())
	return begun < 1, nil
}
