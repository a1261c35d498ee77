package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// silentBeats is after how many missed heartbeats a worker's entry is removed.
	silentBeats = 3
	// stopTime is how long a stop takes; the platform allows 900 ms.
	stopTime = 300 * time.Millisecond
	// checkpointTime is the work between two checkpoints.
	checkpointTime = 2 * time.Second
	// startup is how long a task that lasts takes until it is at work.
	startup = 500 * time.Millisecond
	// listedEnds is how many ends one answer lists.
	listedEnds = 500
	// zoneDelay is the way between two zones: the workers are in another zone than
	// the entries.
	zoneDelay = 4500 * time.Microsecond
	// leaseCheck is the time between checks whether the lease has run out.
	leaseCheck = 20 * time.Millisecond
)

// amounts is what a worker offers or a task uses.
type amounts struct {
	CPU    int `json:"cpu"`
	Memory int `json:"mem_mb"`
	GPU    int `json:"gpu"`
}

// attempt is one run of a task on a worker.
type attempt struct {
	task     string
	run      int
	worker   string
	kind     string
	started  time.Time
	ended    time.Time
	how      string
	number   int64
	notedAt  time.Time
	lapsed   bool
	stopping bool
	needs    amounts
	saves    bool
	lasts    bool
	work     time.Duration
	fails    bool
}

// checkpoint returns the newest checkpoint of the run, or "".
func (a *attempt) checkpoint() string {
	saved := int64(time.Since(a.started) / checkpointTime)
	if !a.saves || saved == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%s", saved, a.task[:8])
}

// pace is how long the run takes to 100 percent.
func (a *attempt) pace() time.Duration {
	if a.lasts {
		return startup
	}
	return a.work
}

// fullPercent is what a run reports in the end: tasks that last are at work at 100.
func (a *attempt) fullPercent() int {
	if a.lasts && time.Since(a.started) > startup {
		return 100
	}
	return 99
}

// life is what one incarnation of a worker knows.
type life struct {
	born    int64
	began   time.Time
	fence   int64
	lease   time.Time
	running map[string]*attempt
	ended   []*attempt
	number  int64
	// newest holds the newest run of each task that was stopped or has ended.
	newest   map[string]int
	changed  chan struct{}
	server   *http.Server
	listener *quietListener
}

// worker is a machine that runs tasks; life is nil while it is down.
type worker struct {
	d       *deployment
	id      string
	address string
	rack    string

	mu       sync.Mutex
	kind     string
	capacity amounts
	life     *life
	sequence int
	// failsAll makes all runs that it starts fail; refusesAll makes it answer
	// starts with 503.
	failsAll   bool
	refusesAll bool
	lastBeat   time.Time
}

// start begins a new life of the worker, which first registers itself.
func (w *worker) start() {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		panic(unable(err.Error()))
	}
	w.address = listener.Addr().String()
	l := &life{
		born: time.Now().UnixMilli(), began: time.Now(), running: make(map[string]*attempt),
		newest: make(map[string]int), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.call(l, w.runStart))
	mux.HandleFunc("POST /run-stop", w.call(l, w.runStop))
	mux.HandleFunc("POST /hold", w.hold(l))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	l.server = &http.Server{Handler: http.HandlerFunc(func(response http.ResponseWriter, r *http.Request) {
		time.Sleep(zoneDelay)
		defer time.Sleep(zoneDelay)
		mux.ServeHTTP(response, r)
	})}
	w.mu.Lock()
	w.life = l
	w.mu.Unlock()
	w.beat(l)
	w.d.note("worker %s up, kind %s, born %d", w.id, w.kind, l.born)
	l.listener = &quietListener{Listener: listener}
	go func() { _ = l.server.Serve(l.listener) }()
	go w.beats(l)
	go w.checkLease(l)
}

// crash ends the worker's life; everything that ran there ends.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	w.life = nil
	now := time.Now()
	for _, a := range l.running {
		a.ended, a.how = now, "crash"
		w.d.note("worker %s: %s run %d ended with its worker", w.id, a.task, a.run)
	}
	w.mu.Unlock()
	_ = l.server.Close()
	w.d.note("worker %s crashed", w.id)
}

func (w *worker) alive(l *life) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life == l
}

func (w *worker) beats(l *life) {
	for w.alive(l) {
		time.Sleep(heartbeat)
		w.beat(l)
	}
}

// beat renews the worker's entry in the store.
func (w *worker) beat(l *life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != l {
		return
	}
	w.sequence++
	w.lastBeat = time.Now()
	w.d.store.put("servers/"+w.id, map[string]any{
		"service": service, "address": w.address, "zone": "gye-norte", "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": w.capacity, "labels": []string{w.kind, w.rack},
		"clock_ms": time.Since(l.began).Milliseconds(), "born": l.born, "seq": w.sequence,
	})
}

// removeIfSilent removes the entry of a worker that has missed its heartbeats.
func (w *worker) removeIfSilent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil && time.Since(w.lastBeat) > silentBeats*heartbeat {
		w.d.store.remove("servers/" + w.id)
	}
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	SeenUpTo   int64  `json:"seen_upto"`
	Wait       int64  `json:"wait_ms"`
}

type answer struct {
	Clock   int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running"`
	Ended   [][]any `json:"ended"`
}

func (l *life) answer(reason string) answer {
	return answer{Clock: time.Since(l.began).Milliseconds(), Born: l.born, Reason: reason}
}

// call handles an order: it checks its target and its fence under the lock.
func (w *worker) call(l *life, act func(l *life, o orderBody) (int, string)) http.HandlerFunc {
	return func(response http.ResponseWriter, r *http.Request) {
		var o orderBody
		if !readBody(r, &o) {
			reply(response, http.StatusBadRequest, struct{}{})
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.life != l:
			panic(http.ErrAbortHandler)
		case r.Header.Get("Comfreystream-Target-Instance") != w.id:
			reply(response, http.StatusMisdirectedRequest, l.answer(""))
		case o.Fence < l.fence:
			reply(response, http.StatusConflict, l.answer("fence"))
		default:
			l.fence = o.Fence
			status, reason := act(l, o)
			reply(response, status, l.answer(reason))
		}
	}
}

// extend prolongs the lease to a time of the worker's clock; it never shortens it.
func (l *life) extend(deadline int64, longest time.Duration) {
	until := l.began.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(longest); until.After(latest) {
		until = latest
	}
	if until.After(l.lease) {
		l.lease = until
	}
}

func (w *worker) runStart(l *life, o orderBody) (int, string) {
	if w.refusesAll {
		return http.StatusServiceUnavailable, ""
	}
	a := w.d.newAttempt(o, w)
	if a == nil {
		return http.StatusBadRequest, ""
	}
	if o.Deadline <= time.Since(l.began).Milliseconds() {
		return http.StatusConflict, "late"
	}
	l.extend(o.Deadline, w.d.holdMax)
	if present, found := l.running[o.Task]; found && present.run == o.Run {
		return http.StatusOK, ""
	} else if found || o.Run <= l.newest[o.Task] {
		return http.StatusConflict, "old"
	}
	free := w.capacity
	for _, other := range l.running {
		free = amounts{free.CPU - other.needs.CPU, free.Memory - other.needs.Memory, free.GPU - other.needs.GPU}
	}
	if a.needs.CPU > free.CPU || a.needs.Memory > free.Memory || a.needs.GPU > free.GPU {
		return http.StatusConflict, "room"
	}
	a.fails = a.fails || w.failsAll
	if w.failsAll {
		a.work = min(a.work, 300*time.Millisecond)
	}
	l.running[o.Task] = a
	w.d.addAttempt(a)
	time.AfterFunc(a.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		how := "done"
		if a.fails {
			how = "failed"
		}
		if !a.stopping {
			w.endRun(l, a, how)
		}
	})
	return http.StatusOK, ""
}

func (w *worker) runStop(l *life, o orderBody) (int, string) {
	a, found := l.running[o.Task]
	if !found || a.run > o.Run {
		if !found {
			l.newest[o.Task] = max(l.newest[o.Task], o.Run)
		}
		return http.StatusOK, ""
	}
	if !a.stopping {
		a.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endRun(l, a, "stopped")
		})
	}
	return http.StatusOK, ""
}

// endRun ends a run that is at work; the caller holds the lock.
func (w *worker) endRun(l *life, a *attempt, how string) {
	if w.life != l || l.running[a.task] != a {
		return
	}
	delete(l.running, a.task)
	l.number++
	a.ended, a.how, a.number = time.Now(), how, l.number
	l.ended = append(l.ended, a)
	l.newest[a.task] = max(l.newest[a.task], a.run)
	w.d.note("worker %s: %s run %d ended %s as number %d", w.id, a.task, a.run, how, a.number)
	close(l.changed)
	l.changed = make(chan struct{})
}

// hold renews the lease, forgets the ends that were seen and lists what runs and
// what has ended; it waits for an end.
func (w *worker) hold(l *life) http.HandlerFunc {
	return func(response http.ResponseWriter, r *http.Request) {
		var o orderBody
		if !readBody(r, &o) {
			reply(response, http.StatusBadRequest, struct{}{})
			return
		}
		waiting := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.life != l:
			panic(http.ErrAbortHandler)
		case r.Header.Get("Comfreystream-Target-Instance") != w.id:
			reply(response, http.StatusMisdirectedRequest, l.answer(""))
			return
		case o.Fence < l.fence:
			reply(response, http.StatusConflict, l.answer("fence"))
			return
		}
		l.fence = o.Fence
		if o.Deadline > 0 {
			l.extend(o.Deadline, w.d.holdMax)
		}
		w.forgetEnds(l, o.SeenUpTo)
		for o.Wait > 0 && len(l.ended) == 0 {
			changed, late := l.changed, false
			w.mu.Unlock()
			select {
			case <-changed:
			case <-waiting:
				late = true
			case <-r.Context().Done():
				late = true
			}
			w.mu.Lock()
			if late || w.life != l {
				break
			}
		}
		if w.life != l {
			panic(http.ErrAbortHandler)
		}
		report := l.answer("")
		report.Running, report.Ended = [][]any{}, [][]any{}
		for _, a := range l.running {
			percent := min(a.fullPercent(), int(100*time.Since(a.started)/max(a.pace(), 1)))
			report.Running = append(report.Running, []any{a.task, a.run, a.checkpoint(), percent, a.needs.CPU})
		}
		for _, a := range l.ended[:min(len(l.ended), listedEnds)] {
			report.Ended = append(report.Ended, []any{a.number, a.task, a.run, a.how, ""})
		}
		if len(l.ended) > listedEnds {
			w.d.note("worker %s lists %d of %d ends, %d running", w.id, len(report.Ended), len(l.ended), len(report.Running))
		}
		reply(response, http.StatusOK, report)
	}
}

// forgetEnds notes and forgets the ends up to a number; the caller holds the lock.
func (w *worker) forgetEnds(l *life, seen int64) {
	l.ended = slices.DeleteFunc(l.ended, func(a *attempt) bool {
		if a.number > seen {
			return false
		}
		a.notedAt = time.Now()
		return true
	})
}

// checkLease kills everything once the lease has run out.
func (w *worker) checkLease(l *life) {
	for w.alive(l) {
		time.Sleep(leaseCheck)
		w.mu.Lock()
		if w.life == l && !l.lease.IsZero() && time.Now().After(l.lease) {
			for _, a := range l.ended {
				a.lapsed = true
			}
			for _, a := range l.running {
				w.endRun(l, a, "lapsed")
			}
			l.lease = time.Time{}
		}
		w.mu.Unlock()
	}
}

// quietListener accepts connections that can go silent for good.
type quietListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*quietConn
}

// Accept implements net.Listener.
func (l *quietListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &quietConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// silence makes all open connections silent and returns how many there were.
func (l *quietListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.quiet.Store(true)
	}
	return len(l.conns)
}

// quietConn is a connection that neither delivers nor sends anything once it is quiet.
type quietConn struct {
	net.Conn
	quiet atomic.Bool
}

// Read implements net.Conn.
func (c *quietConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.quiet.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *quietConn) Write(p []byte) (int, error) {
	if c.quiet.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
