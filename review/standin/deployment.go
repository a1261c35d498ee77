package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// program is the command of the deploy file; the working folder is the root of
	// the repository.
	program  = "target/comfreystream"
	role     = "host"
	service  = "planograma"
	hostName = "jobs.example"
	// hostCount is the number of entries of the small deployment.
	hostCount = 3
	// callLimit is how long a client waits for an answer.
	callLimit = 3 * time.Second
)

// host is one process of the project's program.
type host struct {
	name, front, settings string
	command               *exec.Cmd
	ended                 chan struct{}
}

// step is a step of a job as a client sends it.
type step struct {
	Count int `json:"count"`
	amounts
	Estimate   int64  `json:"estimate_ms"`
	Persistent bool   `json:"persistent,omitempty"`
	MayMiss    int    `json:"may_miss,omitempty"`
	Requires   string `json:"requires,omitempty"`
	Saves      bool   `json:"saves_progress,omitempty"`
	PerWorker  int    `json:"max_per_server,omitempty"`
}

// job is a job of a client, and how long each task of it works.
type job struct {
	id, queue, key string
	steps          []step
	work           func(index int) time.Duration
	sentAt         time.Time
	ackedAt        time.Time
}

// deployment is the small deployment that a case plays on.
type deployment struct {
	began   time.Time
	folder  string
	store   *store
	hosts   []*host
	workers []*worker
	// holdMax is the longest lease of a worker.
	holdMax time.Duration

	noteMu sync.Mutex
	record *os.File

	mu       sync.Mutex
	jobs     map[string]*job
	attempts []*attempt
}

func newDeployment(record *os.File) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{began: time.Now(), folder: folder, store: s, holdMax: 10 * time.Second, record: record, jobs: make(map[string]*job)}
	s.put("op/config", d.configuration())
	return d, nil
}

// configuration returns the operator's configuration: a queue for each priority, a
// tenant with a guarantee and one without.
func (d *deployment) configuration() any {
	route := func(name string, priority, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": "/" + name + "/", "kind": "non_idempotent", "timeout_ms": 3000,
			"target_runtime_ms": 1000, "priority": priority, "service": service, "max_attempts": attempts, "stretch": 3.0,
			"anonymous": false,
		}
	}
	tenant := func(name, key string, guaranteed int) map[string]any {
		return map[string]any{"name": name, "api_keys": []string{key}, "priority": 1, "guaranteed": map[string]int{"gpu": guaranteed}}
	}
	return map[string]any{
		"version": 7,
		"routes":  []any{route("urgent", 0, 4), route("plain", 1, 4), route("bulk", 2, 3)},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"admission_check": true, "spare": false,
		}},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{tenant("alfa", "key-alfa", 8), tenant("beta", "key-beta", 0), tenant("gama", "key-gama", 8)},
	}
}

// note writes a line of the record.
func (d *deployment) note(format string, args ...any) {
	d.noteMu.Lock()
	defer d.noteMu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%9.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as it stands in the record.
func (d *deployment) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(d.began).Seconds()) }

// addWorker starts a worker of 32 cores, 128 GB and 8 GPUs.
func (d *deployment) addWorker(kind string, capacity amounts) *worker {
	number := len(d.workers)
	w := &worker{
		d: d, id: fmt.Sprintf("i-%08x", 0x7f3a0000+number), address: fmt.Sprintf("127.0.0.1:%d", freePort()), kind: kind,
		rack: fmt.Sprintf("r1-%d", 1+number/6), capacity: capacity,
	}
	d.workers = append(d.workers, w)
	w.start()
	return w
}

var fullWorker = amounts{CPU: 32000, Memory: 128 << 10, GPU: 8}

// Processes and workers keep their ports when they restart, so these are below the
// range that the system uses for outgoing connections.
const firstPort, portCount = 10000, 20000

var lastPort = rand.IntN(portCount)

// freePort returns a port on which nothing listens.
func freePort() int {
	for range portCount {
		lastPort = (lastPort + 1) % portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort))
		if err == nil {
			_ = listener.Close()
			return firstPort + lastPort
		}
	}
	panic(unable("no free port"))
}

// startHosts starts the entries and waits until they are ready.
func (d *deployment) startHosts() {
	go func() {
		for {
			time.Sleep(100 * time.Millisecond)
			for _, w := range d.workers {
				w.removeIfSilent()
			}
		}
	}()
	for n := range hostCount {
		h := &host{name: fmt.Sprintf("edge-gye-norte-%d", n+1), front: fmt.Sprintf("127.0.0.1:%d", freePort())}
		h.settings = filepath.Join(d.folder, h.name+".conf")
		ready, peer := fmt.Sprintf("127.0.0.1:%d", freePort()), freePort()
		text := strings.Join([]string{
			"node=" + h.name, "role=entry", "class=edge", "serves=edge", "ip=127.0.0.1", "zone=gye-norte", "region=costa-sierra",
			"zones.gye-norte=costa-sierra", "listen.front=" + h.front, "listen.ready=" + ready,
			fmt.Sprintf("port_range=%d,%d", peer, peer), "bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1",
			"limits.memory_mb=284", "limits.max_fds=4100", "discovery=platform", "entry=vip", "heartbeat_ms=1500",
			"bounds.stable_window_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=6",
			"bounds.config_ms=2000", fmt.Sprintf("bounds.hold_max_ms=%d", d.holdMax.Milliseconds()), "bounds.stop_ms=900", "bounds.gang_timeout_ms=3000",
			"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14",
			"bounds.status_s=120", "bounds.far_x=3", "bounds.reclaim_ms=3400", "orders=invoke",
			"platform.address=" + d.store.address, "platform.form=kv", "platform.writes_per_s=400",
			"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000", "",
		}, "\n")
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			panic(unable(err.Error()))
		}
		d.hosts = append(d.hosts, h)
		d.startHost(h)
	}
	d.await("an entry reads the configuration", 10*time.Second, func() bool {
		for _, h := range d.hosts {
			if status, _ := d.call(h, http.MethodGet, "/urgent/", "key-alfa", nil); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second) // the planner reads the list of workers meanwhile
}

func (d *deployment) startHost(h *host) {
	log, err := os.OpenFile(filepath.Join(d.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(unable(err.Error()))
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(program, role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COMFREYSTREAM_SETTINGS=" + h.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		panic(unable(err.Error()))
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	h.command, h.ended = c, ended
	d.note("%s started as process %d", h.name, c.Process.Pid)
}

// kill ends the process of a host with SIGKILL.
func (d *deployment) kill(h *host) {
	_ = h.command.Process.Kill()
	<-h.ended
	d.note("%s killed", h.name)
}

func (d *deployment) close() {
	for _, h := range d.hosts {
		_ = h.command.Process.Kill()
		<-h.ended
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		fmt.Println("logs:", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

var client = &http.Client{Timeout: callLimit}

// call makes a client's call at a host; the status is 0 if there is no answer.
func (d *deployment) call(h *host, method, path, key string, body []byte) (status int, text string) {
	request, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Comfreystream-Deadline-Ms", strconv.FormatInt(callLimit.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

// submit hands a job in; the same call goes to the next host until one accepts it.
func (d *deployment) submit(j *job) {
	body, err := json.Marshal(map[string]any{"spec": "spec of " + j.id, "steps": j.steps})
	if err != nil {
		panic(unable(err.Error()))
	}
	j.sentAt = time.Now()
	d.mu.Lock()
	d.jobs[j.id] = j
	d.mu.Unlock()
	for try := range 10 {
		h := d.hosts[try%len(d.hosts)]
		status, text := d.call(h, http.MethodPost, "/"+j.queue+"/"+j.id, j.key, body)
		d.note("POST /%s/%s at %s: %d %s", j.queue, j.id, h.name, status, strings.TrimSpace(text))
		if status == http.StatusOK {
			j.ackedAt = time.Now()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	panic(unable("no entry accepts job " + j.id))
}

// status asks all hosts in turn for the state of a job until one answers.
func (d *deployment) status(j *job) string {
	for _, h := range d.hosts {
		status, text := d.call(h, http.MethodGet, "/"+j.queue+"/"+j.id, j.key, nil)
		if status == http.StatusOK || status == http.StatusGone {
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(text), &body)
			d.note("GET /%s/%s at %s: %d %s", j.queue, j.id, h.name, status, strings.TrimSpace(text))
			return body.State
		}
	}
	return ""
}

// newAttempt returns the run that an order starts, or nil if nobody sent its job.
func (d *deployment) newAttempt(o orderBody, w *worker) *attempt {
	parts := strings.Split(o.Task, ".")
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return nil
	}
	number, errStep := strconv.Atoi(parts[2])
	index, errIndex := strconv.Atoi(parts[3])
	if errStep != nil || errIndex != nil || number >= len(j.steps) {
		return nil
	}
	return &attempt{
		task: o.Task, run: o.Run, worker: w.id, kind: w.kind, started: time.Now(), needs: j.steps[number].amounts,
		saves: j.steps[number].Saves, lasts: j.steps[number].Persistent, work: j.work(index),
	}
}

func (d *deployment) addAttempt(a *attempt) {
	d.mu.Lock()
	d.attempts = append(d.attempts, a)
	d.mu.Unlock()
	d.note("worker %s (%s): %s run %d started", a.worker, a.kind, a.task, a.run)
}

// attemptsOf returns the runs of a job's tasks, in the order of their starts.
func (d *deployment) attemptsOf(j *job) (list []*attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.attempts {
		if strings.HasPrefix(a.task, j.id+".") {
			list = append(list, a)
		}
	}
	return list
}

// await waits until the condition holds.
func (d *deployment) await(what string, limit time.Duration, holds func() bool) {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			panic(unable("timed out: " + what))
		}
	}
}
