package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type amount struct {
	CPU    int `json:"cpu"`
	Memory int `json:"mem_mb"`
	GPU    int `json:"gpu"`
}

func (a amount) plus(b amount, sign int) amount {
	return amount{a.CPU + sign*b.CPU, a.Memory + sign*b.Memory, a.GPU + sign*b.GPU}
}

func (a amount) within(b amount) bool {
	return a.CPU <= b.CPU && a.Memory <= b.Memory && a.GPU <= b.GPU
}

// run is one run of a task on a worker.
type run struct {
	task         string
	number       int
	worker       *worker
	life         int
	fence        int64
	checkpoint   string
	started      time.Time
	working      time.Time
	stopAt       time.Time
	ended        time.Time
	how          string
	endNumber    int64
	noted        time.Time
	lapsed       bool
	step         *stepSpec
	fails        bool
	workDuration time.Duration
	// kind is the worker's kind at the start.
	kind string
}

// worker is one of the platform's workers. The world's lock guards its fields.
type worker struct {
	world    *world
	id       string
	service  string
	labels   []string
	capacity amount
	guards   bool
	address  string

	server   *http.Server
	listener net.Listener
	up       bool
	life     int
	born     time.Time
	// dark workers run on, but nothing reaches them or comes from them.
	dark bool
	// unhealthy workers refuse starts with 503.
	unhealthy bool
	draining  bool
	slow      float64

	fence   int64
	lease   time.Duration
	ends    int64
	running []*run
	unnoted []*run
	highest map[string]int
	seq     int
	lastPut time.Time
	woken   chan struct{}
	used    amount
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// begin starts a life of the worker; the caller holds the world's lock.
func (w *worker) begin() {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		w.world.fatal("listen for a worker: %v", err)
	}
	w.address = listener.Addr().String()
	w.listener, w.up, w.life, w.born = listener, true, w.life+1, time.Now()
	w.fence, w.lease, w.ends, w.running, w.unnoted, w.highest = 0, 0, 0, nil, nil, map[string]int{}
	w.used, w.draining, w.dark = amount{}, false, false
	w.woken = make(chan struct{})
	w.lastPut = time.Time{}
	w.server = &http.Server{Handler: w}
	go w.server.Serve(listener)
}

// crash ends the worker at once.
func (w *worker) crash() {
	w.up = false
	for _, r := range w.running {
		r.ended, r.how = time.Now(), "lost"
		w.world.breakGang(r)
	}
	w.running = nil
	go w.server.Close()
}

func (w *worker) entry() map[string]any {
	state := "ready"
	if w.draining {
		state = "draining"
	}
	w.seq++
	return map[string]any{
		"service": w.service, "address": w.address, "zone": "z1", "version": "1", "slots": 8, "state": state,
		"cold_left_ms": 0, "seq": w.seq, "capacity": w.capacity, "labels": w.labels, "born": w.born.UnixMilli(),
	}
}

func (w *worker) refuse(out http.ResponseWriter, status int, reason string) {
	reply(out, status, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "reason": reason})
}

func (w *worker) wake() {
	close(w.woken)
	w.woken = make(chan struct{})
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var body struct {
		Task       string `json:"task"`
		Run        int    `json:"run"`
		Spec       string `json:"spec"`
		Deadline   int64  `json:"deadline_ms"`
		Fence      int64  `json:"fence"`
		Checkpoint string `json:"checkpoint"`
		SeenUpto   int64  `json:"seen_upto"`
		Wait       int64  `json:"wait_ms"`
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	wd := w.world
	wd.mu.Lock()
	if w.dark || !w.up {
		wd.mu.Unlock()
		silent(out, r)
		return
	}
	life := w.life
	defer wd.mu.Unlock()
	if target := r.Header.Get("Comfreystream-Target-Instance"); target != "" && target != w.id {
		reply(out, 421, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()})
		return
	}
	if err != nil {
		w.refuse(out, 400, "body")
		return
	}
	wd.advance()
	if r.URL.Path == "/run-start" && w.unhealthy {
		w.refuse(out, 503, "")
		return
	}
	if body.Fence < w.fence {
		w.refuse(out, 409, "fence")
		return
	}
	w.fence = body.Fence
	deadline := time.Duration(body.Deadline) * time.Millisecond
	extend := func() {
		w.lease = max(w.lease, min(deadline, w.clock()+wd.holdMax))
	}
	switch r.URL.Path {
	case "/run-start":
		for _, have := range w.running {
			if have.task == body.Task && have.number == body.Run {
				w.refuse(out, 200, "")
				return
			}
		}
		if body.Run <= w.highest[body.Task] {
			extend()
			w.refuse(out, 409, "old")
			return
		}
		if w.clock() > deadline {
			w.refuse(out, 409, "late")
			return
		}
		step := wd.stepOf(body.Task)
		if step != nil && w.guards && !w.used.plus(step.amount, 1).within(w.capacity) {
			extend()
			w.refuse(out, 409, "room")
			return
		}
		if w.clock() > w.lease {
			for _, e := range w.unnoted {
				e.lapsed = true
			}
		}
		extend()
		wd.start(w, body.Task, body.Run, body.Fence, body.Spec, body.Checkpoint, step)
		w.refuse(out, 200, "")
	case "/run-stop":
		w.highest[body.Task] = max(w.highest[body.Task], body.Run)
		for _, have := range w.running {
			if have.task == body.Task && have.number == body.Run && have.stopAt.IsZero() {
				have.stopAt = time.Now().Add(wd.stopTime)
			}
		}
		w.refuse(out, 200, "")
	case "/hold":
		if w.clock() > w.lease {
			for _, e := range w.unnoted {
				e.lapsed = true
			}
		}
		if body.Deadline > 0 {
			extend()
		}
		kept := w.unnoted[:0]
		for _, e := range w.unnoted {
			if e.endNumber > body.SeenUpto {
				kept = append(kept, e)
				continue
			}
			if !e.lapsed {
				e.noted = time.Now()
			}
		}
		w.unnoted = kept
		until := time.Now().Add(time.Duration(min(body.Wait, 2000)) * time.Millisecond)
		for len(w.unnoted) == 0 && time.Now().Before(until) {
			woken := w.woken
			wd.mu.Unlock()
			select {
			case <-woken:
			case <-time.After(time.Until(until)):
			case <-r.Context().Done():
			}
			wd.mu.Lock()
			if r.Context().Err() != nil {
				return
			}
			if w.dark || w.life != life || !w.up {
				wd.mu.Unlock()
				silent(out, r)
				wd.mu.Lock()
				return
			}
			wd.advance()
		}
		running, ended := []any{}, []any{}
		for _, have := range w.running {
			running = append(running, []any{have.task, have.number, have.saved(), have.percent()})
		}
		for _, e := range w.unnoted[:min(len(w.unnoted), 500)] {
			ended = append(ended, []any{e.endNumber, e.task, e.number, e.how, ""})
		}
		reply(out, 200, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
	default:
		w.refuse(out, 400, "path")
	}
}

func (r *run) saved() string { return "" }

func (r *run) percent() int {
	if r.working.IsZero() {
		return 0
	}
	done := time.Since(r.working)
	if r.step != nil && r.step.Persistent {
		if done > startup {
			return 100
		}
		return 0
	}
	return min(100, int(100*done/max(r.workDuration, 1)))
}

// end ends a run that the worker lists; the caller holds the world's lock.
func (w *worker) end(r *run, how string) {
	w.ends++
	r.ended, r.how, r.endNumber = time.Now(), how, w.ends
	for i, have := range w.running {
		if have == r {
			w.running = append(w.running[:i:i], w.running[i+1:]...)
			break
		}
	}
	if r.step != nil {
		w.used = w.used.plus(r.step.amount, -1)
	}
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.unnoted = append(w.unnoted, r)
	w.wake()
	w.world.log("worker %s: %s run %d ended %s", w.id, r.task, r.number, how)
	if how != "done" && how != "broken" {
		w.world.breakGang(r)
	}
}

// parseTask splits a task's name.
func parseTask(name string) (id string, occurrence, step, index int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0
	}
	occurrence, _ = strconv.Atoi(parts[1])
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], occurrence, step, index
}
