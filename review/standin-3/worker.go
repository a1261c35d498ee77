package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	holdLimit   = 10 * time.Second
	stopTime    = 200 * time.Millisecond
	startupTime = 300 * time.Millisecond
	maxListed   = 500
	maxHoldWait = 2 * time.Second
	leaseCheck  = 20 * time.Millisecond
	// lasting is the spec of a task that runs until it is stopped. Any other spec is its
	// run time, such as "2500ms"; with failsFirst before it, the first run fails then.
	lasting, failsFirst = "lasting", "fails first "
)

// capacity is what a worker has, and what a task uses.
type capacity struct {
	CPU    int `json:"cpu"`
	Memory int `json:"mem_mb"`
	GPU    int `json:"gpu"`
}

func (c capacity) plus(o capacity) capacity {
	return capacity{c.CPU + o.CPU, c.Memory + o.Memory, c.GPU + o.GPU}
}

func (c capacity) fitsIn(o capacity) bool {
	return c.CPU <= o.CPU && c.Memory <= o.Memory && c.GPU <= o.GPU
}

// taskRun is one run of a task on a worker.
type taskRun struct {
	task    string
	run     int
	worker  *worker
	needs   capacity
	started time.Time
	lasts   bool
	takes   time.Duration
	// stopping is set once a stop was asked for; ended is zero while it runs.
	stopping bool
	ended    time.Time
	how      string
	number   int64
}

// worker is one life of a worker.
type worker struct {
	id, service, zone string
	labels            []string
	room              capacity
	fleet             *fleet
	address           string
	born              time.Time

	mu      sync.Mutex
	fence   int64
	lease   time.Time
	running map[string]*taskRun
	// highest holds the highest run that was stopped or has ended, by task.
	highest map[string]int
	ended   []*taskRun
	numbers int64
	changed chan struct{}
}

// fleet is the workers of the deployment.
type fleet struct {
	store  *store
	record *record
	// needs returns what a task uses, by the job's ID and step.
	needs func(task string) capacity

	mu      sync.Mutex
	workers []*worker
	runs    []*taskRun
}

// add starts a worker; it serves until the context ends or it crashes.
func (f *fleet) add(ctx context.Context, w *worker) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.fleet, w.address, w.born = f, listener.Addr().String(), time.Now()
	w.running, w.highest, w.changed = make(map[string]*taskRun), make(map[string]int), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.serveHold)
	serve(ctx, listener, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if target := r.Header.Get("Comfreystream-Target-Instance"); target != "" && target != w.id {
			answer(rw, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		mux.ServeHTTP(rw, r)
	}))
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	go w.beat(ctx)
	go w.watchLease(ctx)
	return nil
}

// beat keeps the worker's entry in the store.
func (w *worker) beat(ctx context.Context) {
	key := "servers/" + w.id
	for seq := 1; ; seq++ {
		w.fleet.store.put(key, map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": w.room, "labels": w.labels, "clock_ms": w.clock(), "seq": seq, "born": w.born.UnixMilli(),
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// watchLease kills everything when the lease has run out.
func (w *worker) watchLease(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(leaseCheck):
		}
		w.mu.Lock()
		if time.Now().After(w.lease) {
			for _, r := range w.running {
				w.end(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// extend renews the lease up to a time of the worker's clock. The caller holds the lock.
func (w *worker) extend(deadline int64) {
	until := w.born.Add(time.Duration(min(deadline, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond)
	if latest := time.Now().Add(holdLimit); until.After(latest) {
		until = latest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

// end ends a run that is running. The caller holds the lock.
func (w *worker) end(r *taskRun, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.numbers++
	r.ended, r.how, r.number = time.Now(), how, w.numbers
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.ended = append(w.ended, r)
	w.fleet.record.line("worker %s: %s run %d ends %s", w.id, r.task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	SeenUpto int64  `json:"seen_upto"`
	Wait     int64  `json:"wait_ms"`
}

// accept decodes an order and checks its fence. The caller holds the lock.
func (w *worker) accept(o *order) (allowed bool) {
	if o.Fence < w.fence {
		return false
	}
	w.fence = o.Fence
	return true
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason, "born": w.born.UnixMilli()})
}

func (w *worker) serveStart(rw http.ResponseWriter, request *http.Request) {
	var o order
	if json.NewDecoder(request.Body).Decode(&o) != nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	outcome := w.startRun(&o)
	w.fleet.record.line("worker %s: start of %s run %d, fence %d -> %s", w.id, o.Task, o.Run, o.Fence, outcome)
	switch outcome {
	case "started":
		answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
	default:
		w.refuse(rw, outcome)
	}
}

// startRun returns "started" or why the run is refused. The caller holds the lock.
func (w *worker) startRun(o *order) string {
	if !w.accept(o) {
		return "fence"
	}
	present, runs := w.running[o.Task]
	switch {
	case runs && present.run == o.Run:
		w.extend(o.Deadline)
		return "started"
	case runs || o.Run <= w.highest[o.Task]:
		w.extend(o.Deadline)
		return "old"
	case o.Deadline < w.clock():
		return "late"
	}
	w.extend(o.Deadline)
	needs, used := w.fleet.needs(o.Task), capacity{}
	for _, r := range w.running {
		used = used.plus(r.needs)
	}
	if !used.plus(needs).fitsIn(w.room) {
		return "room"
	}
	r := &taskRun{task: o.Task, run: o.Run, worker: w, needs: needs, started: time.Now(), lasts: o.Spec == lasting}
	if !r.lasts {
		how := "done"
		if strings.HasPrefix(o.Spec, failsFirst) && o.Run == 1 {
			how = "failed"
		}
		r.takes, _ = time.ParseDuration(strings.TrimPrefix(o.Spec, failsFirst))
		time.AfterFunc(r.takes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, how)
		})
	}
	w.running[o.Task] = r
	w.fleet.note(r)
	return "started"
}

func (f *fleet) note(r *taskRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
}

func (w *worker) serveStop(rw http.ResponseWriter, request *http.Request) {
	var o order
	if json.NewDecoder(request.Body).Decode(&o) != nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(&o) {
		w.refuse(rw, "fence")
		return
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r, runs := w.running[o.Task]; runs && r.run == o.Run && !r.stopping {
		r.stopping = true
		w.fleet.record.line("worker %s: stop of %s run %d", w.id, o.Task, o.Run)
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "stopped")
		})
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) serveHold(rw http.ResponseWriter, request *http.Request) {
	var o order
	if json.NewDecoder(request.Body).Decode(&o) != nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	timeout := time.After(min(time.Duration(o.Wait)*time.Millisecond, maxHoldWait))
	for first := true; ; first = false {
		w.mu.Lock()
		if first && !w.accept(&o) || o.Fence < w.fence {
			w.refuse(rw, "fence")
			w.mu.Unlock()
			return
		}
		if first {
			w.forget(o.SeenUpto)
			if o.Deadline > 0 {
				w.extend(o.Deadline)
			}
		}
		body, ends, changed := w.report(), len(w.ended), w.changed
		w.mu.Unlock()
		if ends > 0 || o.Wait == 0 {
			answer(rw, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			o.Wait = 0
		case <-request.Context().Done():
			return
		}
	}
}

// forget drops the ends up to a number. The caller holds the lock.
func (w *worker) forget(seen int64) {
	kept := w.ended[:0]
	for _, r := range w.ended {
		if r.number > seen {
			kept = append(kept, r)
		}
	}
	w.ended = kept
}

// report returns the lists of runs. The caller holds the lock.
func (w *worker) report() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.run, "", r.percent()})
	}
	for _, r := range w.ended[:min(len(w.ended), maxListed)] {
		ended = append(ended, []any{r.number, r.task, r.run, r.how, ""})
	}
	return map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
}

func (r *taskRun) percent() int {
	ran := time.Since(r.started)
	switch {
	case r.lasts && ran >= startupTime:
		return 100
	case r.lasts:
		return 0
	}
	return min(int(100*ran/max(r.takes, time.Millisecond)), 100)
}

// taskRuns returns the runs of the job's tasks, in the order of their starts.
func (f *fleet) taskRuns(id string) (list []taskRun) {
	f.mu.Lock()
	runs := f.runs
	f.mu.Unlock()
	for _, r := range runs {
		if strings.HasPrefix(r.task, id+".") {
			r.worker.mu.Lock()
			list = append(list, *r)
			r.worker.mu.Unlock()
		}
	}
	return list
}

// atWork counts the job's tasks that run now.
func (f *fleet) atWork(id string) (count int) {
	for _, r := range f.taskRuns(id) {
		if r.ended.IsZero() {
			count++
		}
	}
	return count
}

// rooms counts the workers of a service on which a task with the needs fits.
func (f *fleet) rooms(service string, needs capacity) (count int) {
	f.mu.Lock()
	workers := f.workers
	f.mu.Unlock()
	for _, w := range workers {
		if w.service != service {
			continue
		}
		w.mu.Lock()
		used := needs
		for _, r := range w.running {
			used = used.plus(r.needs)
		}
		if used.fitsIn(w.room) {
			count++
		}
		w.mu.Unlock()
	}
	return count
}

func workerName(service string, n int) string { return fmt.Sprintf("i-%s-%02d", service, n) }
