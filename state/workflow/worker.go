package workflow

import (
	"net/netip"
	"slices"
	"time"
)

// WorkerID identifies a worker; a restarted worker has the same ID and a new incarnation.
type WorkerID string

// Incarnation distinguishes successive runs of one worker: it is the worker's
// start time in Unix milliseconds of the worker's own clock.
type Incarnation int64

// Worker is a worker's entry in the platform's registry.
type Worker struct {
	ID               WorkerID
	Incarnation      Incarnation
	Service          string
	Address          netip.AddrPort
	Capacity         Capacity
	Labels           []string
	AvailabilityZone string
	// Draining is set once the worker is about to leave; it gets no new tasks.
	Draining bool
	// Remaining is how long a draining worker stays at least, from the moment it wrote
	// its entry; 0 means that it does not say.
	Remaining time.Duration
	// WarmUp is how much longer the worker is slow after its start.
	WarmUp time.Duration
	// Beat changes each time that the worker renews its entry.
	Beat int64
}

// Capacity is an amount of the resources that workers offer and tasks use;
// Cores is in thousandths of a core.
type Capacity struct {
	Cores        int
	MemoryMiB    int
	Accelerators int
}

// Needs returns what one task of the step uses.
func (s *Step) Needs() Capacity {
	return Capacity{Cores: s.Cores, MemoryMiB: s.MemoryMiB, Accelerators: s.Accelerators}
}

// Plus returns the sum of c and other.
func (c Capacity) Plus(other Capacity) Capacity {
	return Capacity{c.Cores + other.Cores, c.MemoryMiB + other.MemoryMiB, c.Accelerators + other.Accelerators}
}

// Minus returns c minus other; an amount may become negative.
func (c Capacity) Minus(other Capacity) Capacity {
	return Capacity{c.Cores - other.Cores, c.MemoryMiB - other.MemoryMiB, c.Accelerators - other.Accelerators}
}

// Times returns c multiplied by count.
func (c Capacity) Times(count int) Capacity {
	return Capacity{c.Cores * count, c.MemoryMiB * count, c.Accelerators * count}
}

// FitsIn reports whether every amount of c is at most that of free.
func (c Capacity) FitsIn(free Capacity) bool {
	return c.Cores <= free.Cores && c.MemoryMiB <= free.MemoryMiB && c.Accelerators <= free.Accelerators
}

// CountIn returns how many times c fits into free, at most limit.
func (c Capacity) CountIn(free Capacity, limit int) int {
	count := limit
	for _, amount := range [][2]int{{c.Cores, free.Cores}, {c.MemoryMiB, free.MemoryMiB}, {c.Accelerators, free.Accelerators}} {
		if amount[0] > 0 {
			count = min(count, max(amount[1], 0)/amount[0])
		}
	}
	return count
}

// acceleratorCores is the number of cores that one accelerator counts as when
// the cost of lost work is computed.
const acceleratorCores = 8

// CoreEquivalents returns the cores of c, with each accelerator counted as acceleratorCores.
func (c Capacity) CoreEquivalents() float64 {
	return float64(c.Cores)/1000 + acceleratorCores*float64(c.Accelerators)
}

// HasLabel reports whether the worker has the label; every worker has the empty one.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// Report is a worker's answer to the renewal of its lease.
type Report struct {
	Incarnation Incarnation
	// Clock is the reading of the worker's monotonic clock, which starts at an
	// arbitrary time.
	Clock   time.Duration
	Running []RunningTask
	Ended   []EndedTask
	// MoreEnds is set if there may be later ends that Ended leaves out. A task that is
	// in neither list may then have ended.
	MoreEnds bool
}

// RunningTask is an attempt that is running on a worker.
type RunningTask struct {
	Task       Task
	Attempt    int
	Checkpoint string
	// Percent is how much of the work is done; a long-running task reports 100
	// once it is in operation.
	Percent int
	// Usage is what the worker measured over about the last half second: thousandths of
	// a core, or for a task with a latency target the tail latency in milliseconds.
	Usage int
}

// EndedTask is an attempt that ended on a worker.
type EndedTask struct {
	// Number numbers the ended attempts of one incarnation, from 1.
	Number     int64
	Task       Task
	Attempt    int
	Outcome    Outcome
	Checkpoint string
}

// Outcome is how an attempt ended.
type Outcome string

// The outcomes of an attempt.
const (
	Done    Outcome = "done"
	Faulted Outcome = "failed"
	Stopped Outcome = "stopped"
	// Lapsed means that the worker killed the attempt when its lease expired.
	Lapsed Outcome = "lapsed"
	// Broken means that the attempt was stopped because another member of its gang ended.
	Broken Outcome = "broken"
	// Incomplete means that the attempt waited too long for the rest of its gang.
	Incomplete Outcome = "incomplete"
	// Void means that the attempt never started.
	Void Outcome = "void"
	// Lost means that the worker was lost, or its lease expired unnoticed,
	// before it reported how the attempt ended.
	Lost Outcome = "lost"
)
