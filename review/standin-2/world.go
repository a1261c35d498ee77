package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// startup is how long a task that lasts takes until it is at work.
const startup = 200 * time.Millisecond

type stepSpec struct {
	amount
	Count        int    `json:"count"`
	Estimate     int64  `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Requires     string `json:"requires,omitempty"`
	MaxPerServer int    `json:"max_per_server,omitempty"`
	Persistent   bool   `json:"persistent,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`
}

type jobSpec struct {
	Spec      string     `json:"spec"`
	Steps     []stepSpec `json:"steps"`
	RunCount  int        `json:"run_count,omitempty"`
	StartTime int64      `json:"start_time_ms,omitempty"`
	Interval  int64      `json:"interval_ms,omitempty"`
}

// job is a job as its client knows it.
type job struct {
	id       string
	spec     jobSpec
	sent     time.Time
	accepted time.Time
	// cancelAcked is when its cancelling was acknowledged.
	cancelAcked time.Time
	begun       time.Time
	// key is the API key that its client uses.
	key string
}

// world is the platform of a small deployment with its workers, clients and operator, and
// the processes of the system.
type world struct {
	mu       sync.Mutex
	began    time.Time
	out      *os.File
	outMu    sync.Mutex
	dir      string
	store    *store
	workers  []*worker
	entries  []*entry
	jobs     map[string]*job
	runs     []*run
	holdMax  time.Duration
	stopTime time.Duration
	gangTime time.Duration
	binary   string
	closing  atomic.Bool
	settings map[string]string
	failed   []string
}

func newWorld(recordFile string) *world {
	out, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{
		began: time.Now(), out: out, dir: dir, jobs: map[string]*job{}, holdMax: 10 * time.Second,
		stopTime: 200 * time.Millisecond, gangTime: 3 * time.Second, settings: map[string]string{},
	}
	w.store = newStore(w.log)
	w.binary, _ = filepath.Abs("target/comfreystream")
	if _, err := os.Stat(w.binary); err != nil {
		w.fatal("build the system first: %v", err)
	}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			w.mu.Lock()
			w.advance()
			w.beat()
			w.mu.Unlock()
		}
	}()
	return w
}

func (w *world) at(t time.Time) float64 { return t.Sub(w.began).Seconds() }

func (w *world) log(format string, args ...any) {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	fmt.Fprintf(w.out, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

func (w *world) fatal(format string, args ...any) {
	w.log("cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	w.close()
	os.Exit(2)
}

// broken notes that the rule was broken.
func (w *world) broken(format string, args ...any) {
	w.log("BROKEN: "+format, args...)
	w.failed = append(w.failed, fmt.Sprintf(format, args...))
}

// finish ends all processes and exits with the result.
func (w *world) finish() {
	w.close()
	if len(w.failed) > 0 {
		w.log("result: the rule was broken (%d findings)", len(w.failed))
		fmt.Println("broken:", w.failed[0])
		os.Exit(1)
	}
	w.log("result: the rule held")
	fmt.Println("the rule held")
	os.Exit(0)
}

func (w *world) close() {
	w.closing.Store(true)
	for _, e := range w.entries {
		e.signal(syscall.SIGKILL)
	}
	for _, e := range w.entries {
		e.wait(5 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// addWorker adds a worker with the labels.
func (w *world) addWorker(service string, capacity amount, guards bool, labels ...string) *worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	wk := &worker{
		world: w, id: fmt.Sprintf("w%02d-%x", len(w.workers)+1, time.Now().UnixNano()&0xffff), service: service,
		labels: labels, capacity: capacity, guards: guards, address: "127.0.0.1:0", slow: 1,
	}
	w.workers = append(w.workers, wk)
	wk.begin()
	return wk
}

// beat has the workers write their entries, and removes those of silent ones.
func (w *world) beat() {
	now := time.Now()
	for _, wk := range w.workers {
		switch {
		case wk.up && !wk.dark && now.Sub(wk.lastPut) >= 1500*time.Millisecond:
			wk.lastPut = now
			w.store.put("servers/"+wk.id, wk.entry())
		case !wk.lastPut.IsZero() && now.Sub(wk.lastPut) >= 4500*time.Millisecond:
			wk.lastPut = time.Time{}
			w.store.drop("servers/" + wk.id)
			w.log("store: the entry of worker %s is removed", wk.id)
		}
	}
}

// stepOf returns the step of a task, or nil if nobody sent its job.
func (w *world) stepOf(task string) *stepSpec {
	id, _, step, _ := parseTask(task)
	j := w.jobs[id]
	if j == nil || step >= len(j.spec.Steps) {
		return nil
	}
	return &j.spec.Steps[step]
}

// taskSpec is what the jobs of the review carry as their spec.
type taskSpec struct {
	// Runs is how long a task runs, in milliseconds.
	Runs int64 `json:"runs"`
	// Fails is how many runs of each task fail first.
	Fails int `json:"fails"`
}

func (w *world) start(wk *worker, task string, number int, fence int64, spec, checkpoint string, step *stepSpec) {
	var t taskSpec
	_ = json.Unmarshal([]byte(spec), &t)
	r := &run{
		task: task, number: number, worker: wk, life: wk.life, fence: fence, checkpoint: checkpoint, started: time.Now(), step: step, kind: wk.labels[0],
		workDuration: time.Duration(float64(t.Runs) * wk.slow * float64(time.Millisecond)),
	}
	failed := 0
	for _, other := range w.runs {
		if other.task == task && other.how == "failed" {
			failed++
		}
	}
	r.fails = failed < t.Fails
	w.runs = append(w.runs, r)
	wk.running = append(wk.running, r)
	if step != nil {
		wk.used = wk.used.plus(step.amount, 1)
	}
	id, _, _, _ := parseTask(task)
	if j := w.jobs[id]; j != nil && j.begun.IsZero() {
		j.begun = time.Now()
	}
	w.log("worker %s: %s run %d started, fence %d", wk.id, task, number, fence)
	w.joinGang(r)
}

// gangOf returns the members of a run's gang that are running, and its size.
func (w *world) gangOf(r *run) (members []*run, size int) {
	if r.step == nil || !r.step.Gang {
		return []*run{r}, 1
	}
	id, k, step, _ := parseTask(r.task)
	prefix := fmt.Sprintf("%s.%d.%d.", id, k, step)
	for _, wk := range w.workers {
		for _, other := range wk.running {
			if other.number == r.number && strings.HasPrefix(other.task, prefix) {
				members = append(members, other)
			}
		}
	}
	return members, r.step.Count
}

func (w *world) joinGang(r *run) {
	members, size := w.gangOf(r)
	if len(members) < size {
		return
	}
	for _, m := range members {
		if m.working.IsZero() {
			m.working = time.Now()
		}
	}
}

func (w *world) breakGang(r *run) {
	if r.step == nil || !r.step.Gang {
		return
	}
	members, _ := w.gangOf(r)
	for _, m := range members {
		if m != r && m.ended.IsZero() && m.worker.up {
			m.worker.end(m, "broken")
		}
	}
}

// advance ends what has run out; the caller holds the lock.
func (w *world) advance() {
	now := time.Now()
	for _, wk := range w.workers {
		if !wk.up {
			continue
		}
		for _, r := range append([]*run(nil), wk.running...) {
			members, size := 1, 1
			if r.step != nil && r.step.Gang {
				m, n := w.gangOf(r)
				members, size = len(m), n
			}
			switch {
			case !r.ended.IsZero():
			case wk.clock() > wk.lease:
				wk.end(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				wk.end(r, "stopped")
			case r.working.IsZero() && now.Sub(r.started) > w.gangTime:
				wk.end(r, "alone")
			case r.working.IsZero():
			case r.fails && now.Sub(r.working) > min(r.workDuration/2, time.Second):
				wk.end(r, "failed")
			case r.step != nil && r.step.Persistent:
			case now.Sub(r.working) >= r.workDuration:
				if size > 1 && members == size {
					all, _ := w.gangOf(r)
					finished := true
					for _, m := range all {
						finished = finished && now.Sub(m.working) >= m.workDuration
					}
					if finished {
						for _, m := range all {
							m.worker.end(m, "done")
						}
					}
				} else if size == 1 {
					wk.end(r, "done")
				}
			}
		}
	}
}

// entry is one process of the system.
type entry struct {
	world    *world
	name, ip string
	file     string
	front    string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	// disrupted is when it was last started, stopped or signalled.
	disrupted time.Time
}

// freePorts returns n ports that are free on all the addresses.
func freePorts(ips []string, n int) (ports []int) {
	for port := 21000 + os.Getpid()%20000; len(ports) < n && port < 60000; port++ {
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			ports = append(ports, port)
		}
	}
	return ports
}

// startEntries starts n processes, each on a loopback address of its own.
func (w *world) startEntries(n int, extra ...string) {
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.40.%d.%d", os.Getpid()%250+1, i+11))
	}
	ports := freePorts(ips, 4)
	if len(ports) < 4 {
		w.fatal("no free ports")
	}
	var seeds []string
	for _, ip := range ips[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports[2]))
	}
	for i, ip := range ips {
		name := fmt.Sprintf("edge-%d", i+1)
		storeListener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.fatal("%v", err)
		}
		go (&http.Server{Handler: w.store.handler(name)}).Serve(storeListener)
		lines := []string{
			"node=" + name, "role=entry", "class=edge", "serves=edge,control_plane", "ip=" + ip, "zone=z1", "region=r1", "zones.z1=r1",
			fmt.Sprintf("listen.front=%s:%d", ip, ports[0]), fmt.Sprintf("listen.ready=%s:%d", ip, ports[1]), fmt.Sprintf("listen.control=%s:%d", ip, ports[2]),
			fmt.Sprintf("port_range=%d,%d", ports[3], ports[3]+15), "seeds=" + strings.Join(seeds, ","), "bootstrap=true", "counts_as_loss=false",
			"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
			"discovery=platform", "entry=vip", "heartbeat_ms=1500", "contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing",
			"tolerate.machines=2", "tolerate.zones=1", "tolerate.regions=0", "bounds.stable_window_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000",
			"bounds.grace_s=6", "bounds.config_ms=2000", fmt.Sprintf("bounds.hold_max_ms=%d", w.holdMax.Milliseconds()), "bounds.stop_ms=900", "bounds.gang_timeout_ms=3000",
			"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.far_x=3",
			"bounds.checkpoint_s=2", "bounds.restore_ms=600", "bounds.notice_ms=4500", "bounds.reclaim_ms=3400", "orders=invoke",
			"platform.address=" + storeListener.Addr().String(), "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000",
			"platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
		}
		lines = append(lines, extra...)
		e := &entry{world: w, name: name, ip: ip, front: fmt.Sprintf("%s:%d", ip, ports[0]), file: filepath.Join(w.dir, name+".conf")}
		if err := os.WriteFile(e.file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			w.fatal("%v", err)
		}
		w.entries = append(w.entries, e)
	}
	for _, e := range w.entries {
		e.start()
	}
}

// start starts the process; it is started again after each end, as the platform does.
func (e *entry) start() {
	log, err := os.OpenFile(e.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		e.world.fatal("%v", err)
	}
	cmd := exec.Command(e.world.binary, "host")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COMFREYSTREAM_SETTINGS=" + e.file}
	cmd.Stdout, cmd.Stderr = log, log
	exited := make(chan struct{})
	e.mu.Lock()
	if e.world.closing.Load() {
		e.mu.Unlock()
		return
	}
	if err := cmd.Start(); err != nil {
		e.mu.Unlock()
		e.world.fatal("%v", err)
	}
	e.cmd, e.exited, e.disrupted = cmd, exited, time.Now()
	e.mu.Unlock()
	e.world.log("platform: process of %s started", e.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		e.world.log("platform: process of %s ended: %v", e.name, err)
		close(exited)
		if e.world.closing.Load() {
			return
		}
		time.Sleep(500 * time.Millisecond)
		e.start()
	}()
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disrupted = time.Now()
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Signal(s)
	}
}

func (e *entry) wait(limit time.Duration) {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(limit):
	}
}

// leader returns the entry that acts for the system.
func (w *world) leader() *entry {
	name := w.store.leader()
	for _, e := range w.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// call makes a client's call to an entry.
func (w *world) call(e *entry, method, path string, body any, patience time.Duration, deadline time.Duration) (int, string, error) {
	return w.callAs("key-1", e, method, path, body, patience, deadline)
}

// callAs makes a call with an API key.
func (w *world) callAs(key string, e *entry, method, path string, body any, patience time.Duration, deadline time.Duration) (int, string, error) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(text))
	r.Host = "jobs.example"
	r.Close = true
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Comfreystream-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	answer, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		w.log("client: %s %s %s at %s: no answer (%v)", method, path, text, e.name, ctx.Err())
		return 0, "", err
	}
	defer answer.Body.Close()
	read, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, "", err
	}
	w.log("client: %s %s %s at %s: %d %s", method, path, text, e.name, answer.StatusCode, strings.TrimSpace(string(read)))
	return answer.StatusCode, string(read), nil
}

// submit hands a job in once.
func (w *world) submit(e *entry, prefix string, j *job, patience time.Duration) int {
	w.mu.Lock()
	w.jobs[j.id] = j
	j.sent = time.Now()
	w.mu.Unlock()
	status, _, _ := w.callAs(j.key, e, "POST", prefix+j.id, j.spec, patience, 3*time.Second)
	if status/100 == 2 {
		w.mu.Lock()
		j.accepted = time.Now()
		w.mu.Unlock()
	}
	return status
}

// submitUntil hands a job in until it is accepted, as clients do.
func (w *world) submitUntil(prefix string, j *job) {
	for try := range 20 {
		if w.submit(w.entries[try%len(w.entries)], prefix, j, 3*time.Second)/100 == 2 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.fatal("job %s was not accepted", j.id)
}

// ready waits until every entry answers and one of them acts.
func (w *world) ready() {
	for range 100 {
		ok := w.store.leader() != ""
		for _, e := range w.entries {
			status, _, _ := w.call(e, "GET", "/q1/", nil, time.Second, time.Second)
			ok = ok && status == 200
		}
		if ok {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.fatal("the system did not become ready")
}

// config writes the operator's configuration; moved names a queue whose jobs go to the
// second service.
func (w *world) config(version int, check bool, moved ...string) {
	routes := []map[string]any{}
	for i := range 3 {
		name, service := fmt.Sprintf("queue%d", i+1), "svc"
		if slices.Contains(moved, name) {
			service = "svc2"
		}
		routes = append(routes, map[string]any{
			"name": name, "host": "jobs.example", "prefix": fmt.Sprintf("/q%d/", i+1), "service": service,
			"timeout_ms": 3000, "priority": i, "max_attempts": 3, "stretch": 3.0, "target_runtime_ms": 3000,
		})
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": "svc", "admission_check": check}, map[string]any{"name": "svc2", "admission_check": check}},
		"tenants": []any{
			map[string]any{"name": "t1", "api_keys": []string{"key-1"}, "guaranteed": map[string]any{"gpu": 16}},
			map[string]any{"name": "t2", "api_keys": []string{"key-2"}},
		}, "limits": map[string]any{"max_body_bytes": 262144},
	})
}

var nextID int

// newJob returns a job of one step.
func newJob(runs time.Duration, step stepSpec) *job {
	nextID++
	text, _ := json.Marshal(taskSpec{Runs: runs.Milliseconds()})
	return &job{key: "key-1", id: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, nextID), spec: jobSpec{Spec: string(text), Steps: []stepSpec{step}}}
}
