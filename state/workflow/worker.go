package workflow

import (
	"net/netip"
	"slices"
	"time"
)

// WorkerID is a worker's identity; it may come back with another incarnation.
type WorkerID string

// Incarnation tells the lives of one worker apart: when it started, in Unix
// milliseconds of its own clock.
type Incarnation int64

// Worker is what a worker says of itself in the platform's registry.
type Worker struct {
	ID       WorkerID
	Life     Incarnation
	Service  string
	Address  netip.AddrPort
	Capacity Capacity
	Labels   []string
	// Draining is set once the worker leaves; it gets nothing new.
	Draining bool
}

// Capacity is an amount of what workers offer and tasks use.
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

// Minus returns c less other; an amount may become negative.
func (c Capacity) Minus(other Capacity) Capacity {
	return Capacity{c.Cores - other.Cores, c.MemoryMiB - other.MemoryMiB, c.Accelerators - other.Accelerators}
}

// Times returns c multiplied by count.
func (c Capacity) Times(count int) Capacity {
	return Capacity{c.Cores * count, c.MemoryMiB * count, c.Accelerators * count}
}

// FitsIn reports whether no amount of c is above that of free.
func (c Capacity) FitsIn(free Capacity) bool {
	return c.Cores <= free.Cores && c.MemoryMiB <= free.MemoryMiB && c.Accelerators <= free.Accelerators
}

// CountIn returns how many times c fits into free; at most limit.
func (c Capacity) CountIn(free Capacity, limit int) int {
	count := limit
	for _, amount := range [][2]int{{c.Cores, free.Cores}, {c.MemoryMiB, free.MemoryMiB}, {c.Accelerators, free.Accelerators}} {
		if amount[0] > 0 {
			count = min(count, max(amount[1], 0)/amount[0])
		}
	}
	return count
}

// acceleratorCores is how many cores an accelerator counts as in the price of
// lost work.
const acceleratorCores = 8

// CoreEquivalents returns the amount in cores, accelerators included.
func (c Capacity) CoreEquivalents() float64 {
	return float64(c.Cores)/1000 + acceleratorCores*float64(c.Accelerators)
}

// HasLabel reports whether the worker has the label; it has the empty one.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// Report is what a worker lists when its lease is renewed.
type Report struct {
	Life Incarnation
	// Clock is the worker's steady clock, as time since an arbitrary start.
	Clock   time.Duration
	Running []RunningTask
	Ends    []End
}

// RunningTask is an attempt that runs.
type RunningTask struct {
	Task       Task
	Attempt    int
	Checkpoint string
	// Percent is how much of the work is done; a long-running task is at work
	// at 100.
	Percent int
}

// End is how an attempt ended on a worker.
type End struct {
	// Number counts the ends of one incarnation, from 1 on.
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
	// Lapsed attempts were killed when the worker's lease ran out.
	Lapsed Outcome = "lapsed"
	// Broken attempts were ended since another member of the gang ended.
	Broken Outcome = "broken"
	// Incomplete attempts waited too long for the rest of their gang.
	Incomplete Outcome = "incomplete"
	// Void attempts never began.
	Void Outcome = "void"
	// Lost attempts ended with their worker, or with a lease nobody saw run out.
	Lost Outcome = "lost"
)
