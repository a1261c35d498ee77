package workload

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreystream/state"
)

const (
	maxRecordedTime   = time.Hour
	histogramDigits   = 3
	maxViolationsKept = 20
)

// Counts holds the progress of a run.
type Counts struct {
	Due, Answered, Refused, Retried, Wrong int64
}

// results collects the outcomes of a run, in one shard with its own lock per class.
type results struct {
	due, answered, refused, retried, wrong atomic.Int64
	shards                                 [classes]classResults

	mu         sync.Mutex
	violations []string
	samples    []Sample
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
	// unfinished counts the requests that were due but had no outcome when the run ended.
	unfinished int
}

// Point is one completion: the time at which the request was due, and the time taken
// from then on.
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
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), histogramDigits)
}

// recordTime adds a time to the histogram, limited to the range that it can hold.
func recordTime(h *hdrhistogram.Histogram, taken time.Duration) {
	_ = h.RecordValue(max(min(taken, maxRecordedTime), 0).Microseconds())
}

// update changes the results of a class while holding its lock.
func (r *results) update(class Class, change func(s *classResults)) {
	s := &r.shards[class]
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (r *results) countSent(class Class, late time.Duration) {
	r.update(class, func(s *classResults) {
		s.sent++
		recordTime(s.lateness, late)
	})
}

// countServed counts a request with the outcome expected for its class; runTime is the
// part of the time taken during which its job ran.
func (r *results) countServed(class Class, due, taken, runTime time.Duration) {
	r.answered.Add(1)
	r.update(class, func(s *classResults) {
		recordTime(s.times, taken)
		recordTime(s.delays, taken-runTime)
		s.points = append(s.points, Point{due, taken})
	})
}

func (r *results) countRefused(class Class, reason state.Reason) {
	r.refused.Add(1)
	r.update(class, func(s *classResults) { s.refusals[reason]++ })
}

func (r *results) countRetried(class Class, reason state.Reason) {
	r.retried.Add(1)
	r.update(class, func(s *classResults) { s.retries[reason]++ })
}

func (r *results) countUnknown(class Class, reason state.Reason) {
	r.update(class, func(s *classResults) { s.unknown[reason]++ })
}

func (r *results) countUnfinished(class Class) {
	r.update(class, func(s *classResults) { s.unfinished++ })
}

// recordViolation counts a violated guarantee and keeps the descriptions of the first
// maxViolationsKept.
func (r *results) recordViolation(violation string) {
	r.wrong.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < maxViolationsKept {
		r.violations = append(r.violations, violation)
	}
}

func (r *results) recordSample(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

func (r *results) counts() Counts {
	return Counts{r.due.Load(), r.answered.Load(), r.refused.Load(), r.retried.Load(), r.wrong.Load()}
}
