package workload

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreystream/state"
)

const (
	longestTime     = time.Hour
	histogramDigits = 3
	maxFaultsKept   = 20
)

// Counts is how far a run is.
type Counts struct {
	Due, Answered, Refused, Retried, Wrong int64
}

// results gathers the outcomes; the shard of a class has its own lock.
type results struct {
	due, answered, refused, retried, wrong atomic.Int64
	shards                                 [classes]classResults

	mu      sync.Mutex
	faults  []string
	samples []Sample
}

type classResults struct {
	mu       sync.Mutex
	sent     int
	times    *hdrhistogram.Histogram
	lateness *hdrhistogram.Histogram
	delays   *hdrhistogram.Histogram
	points   []Point
	refusals map[state.Reason]int
	retries  map[state.Reason]int
	unknown  map[state.Reason]int
	// unfinished were sent, and not answered when the run ended.
	unfinished int
}

// Point is one completion: when the request was due, and how long it took from then.
type Point struct {
	Due   time.Duration
	Taken time.Duration
}

func newResults() *results {
	r := &results{}
	for c := range r.shards {
		r.shards[c] = classResults{
			times: newHistogram(), lateness: newHistogram(), delays: newHistogram(),
			refusals: make(map[state.Reason]int), retries: make(map[state.Reason]int), unknown: make(map[state.Reason]int),
		}
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestTime.Microseconds(), histogramDigits)
}

func record(h *hdrhistogram.Histogram, taken time.Duration) {
	_ = h.RecordValue(max(min(taken, longestTime), 0).Microseconds())
}

// update changes the results of a class under its lock.
func (r *results) update(class Class, change func(s *classResults)) {
	s := &r.shards[class]
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (r *results) noteSent(class Class, late time.Duration) {
	r.update(class, func(s *classResults) {
		s.sent++
		record(s.lateness, late)
	})
}

// noteServed notes that a request had the outcome that its class should have;
// runTime is the part of the time taken for which its job ran.
func (r *results) noteServed(class Class, due, taken, runTime time.Duration) {
	r.answered.Add(1)
	r.update(class, func(s *classResults) {
		record(s.times, taken)
		record(s.delays, taken-runTime)
		s.points = append(s.points, Point{due, taken})
	})
}

func (r *results) noteRefused(class Class, reason state.Reason) {
	r.refused.Add(1)
	r.update(class, func(s *classResults) { s.refusals[reason]++ })
}

func (r *results) noteRetried(class Class, reason state.Reason) {
	r.retried.Add(1)
	r.update(class, func(s *classResults) { s.retries[reason]++ })
}

func (r *results) noteUnknown(class Class, reason state.Reason) {
	r.update(class, func(s *classResults) { s.unknown[reason]++ })
}

func (r *results) noteUnfinished(class Class) {
	r.update(class, func(s *classResults) { s.unfinished++ })
}

// noteWrong notes a broken promise; the first few are kept in words.
func (r *results) noteWrong(fault string) {
	r.wrong.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) < maxFaultsKept {
		r.faults = append(r.faults, fault)
	}
}

func (r *results) noteSample(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

func (r *results) counts() Counts {
	return Counts{r.due.Load(), r.answered.Load(), r.refused.Load(), r.retried.Load(), r.wrong.Load()}
}
