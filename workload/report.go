package workload

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"comfreystream/state"
)

// Report holds the results of a run.
type Report struct {
	Plan Plan
	Took time.Duration
	// NotSent is the number of requests that were not yet due when the run ended.
	NotSent int
	// Wrong is the number of violated guarantees: an answer that belongs to another
	// request or is incomplete, a job that ran although it must not, a key that
	// ran twice, or a cancelled job that ran to completion.
	Wrong int64
	// Violations describes the first violations that Wrong counts.
	Violations []string
	Classes    []ClassReport
	Samples    []Sample
}

// ClassReport holds the results of the requests of one class.
type ClassReport struct {
	Class      Class
	Sent       int
	Unfinished int
	// Served is the number of requests with the outcome expected for the class; for
	// waves it is the number of cancelled jobs.
	Served int64
	// Times are the completion times, from the time at which the request was due.
	Times Times
	// Delays are the completion times minus the jobs' run times.
	Delays Times
	// Lateness is the time between the due time of a request and its submission.
	Lateness Times
	// Refusals counts jobs that did not run, Unknown those whose outcome could not be
	// determined.
	Refusals []ReasonCount
	Retries  []ReasonCount
	Unknown  []ReasonCount
	Points   []Point
}

// Times holds percentiles of a histogram with three significant digits.
type Times struct {
	P50, P90, P99, Max time.Duration
	// Histogram is the histogram in HdrHistogram's V2 encoding, with values in
	// microseconds.
	Histogram []byte
}

// ReasonCount is the number of events with the same reason.
type ReasonCount struct {
	Reason state.Reason `json:"reason"`
	Count  int          `json:"count"`
}

func (r *Runner) report(took time.Duration, notSent int) *Report {
	report := &Report{Plan: r.Plan, Took: took, NotSent: notSent, Wrong: r.results.wrong.Load()}
	r.results.mu.Lock()
	report.Violations, report.Samples = r.results.violations, r.results.samples
	r.results.mu.Unlock()
	for c := range classes {
		r.results.update(c, func(s *classResults) {
			if s.sent+s.unfinished > 0 {
				report.Classes = append(report.Classes, s.report(c))
			}
		})
	}
	return report
}

func (s *classResults) report(class Class) ClassReport {
	return ClassReport{
		Class: class, Sent: s.sent, Unfinished: s.unfinished, Served: s.times.TotalCount(),
		Times: timesOf(s.times), Delays: timesOf(s.delays), Lateness: timesOf(s.lateness),
		Refusals: reasonCounts(s.refusals), Retries: reasonCounts(s.retries), Unknown: reasonCounts(s.unknown),
		Points: s.points,
	}
}

func timesOf(h *hdrhistogram.Histogram) Times {
	at := func(percentile float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
	}
	encoded, _ := h.EncodeV2()
	return Times{at(50), at(90), at(99), time.Duration(h.Max()) * time.Microsecond, encoded}
}

// reasonCounts returns the counts in descending order.
func reasonCounts(counts map[state.Reason]int) []ReasonCount {
	list := make([]ReasonCount, 0, len(counts))
	for reason, count := range counts {
		list = append(list, ReasonCount{reason, count})
	}
	slices.SortFunc(list, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

type reportBody struct {
	Seed        uint64       `json:"seed"`
	Requests    int          `json:"requests"`
	RatePerSec  float64      `json:"ratePerSecond"`
	TookSeconds float64      `json:"tookSeconds"`
	NotSent     int          `json:"notSent"`
	Wrong       int64        `json:"wrong"`
	Faults      []string     `json:"faults"`
	Classes     []classBody  `json:"classes"`
	Samples     []sampleBody `json:"fragmentation"`
}

type classBody struct {
	Class      string        `json:"class"`
	Sent       int           `json:"sent"`
	Served     int64         `json:"served"`
	Unfinished int           `json:"unfinished"`
	Times      timesBody     `json:"completionTime"`
	Delays     timesBody     `json:"delay"`
	Lateness   timesBody     `json:"lateness"`
	Refusals   []ReasonCount `json:"refusals"`
	Retries    []ReasonCount `json:"retries"`
	Unknown    []ReasonCount `json:"unknown"`
}

type timesBody struct {
	P50Seconds float64 `json:"p50Seconds"`
	P90Seconds float64 `json:"p90Seconds"`
	P99Seconds float64 `json:"p99Seconds"`
	MaxSeconds float64 `json:"maxSeconds"`
	// Histogram is encoded as base64.
	Histogram []byte `json:"histogram"`
}

type sampleBody struct {
	AtSeconds        float64 `json:"atSeconds"`
	AvailabilityZone string  `json:"availabilityZone"`
	Fragmentation    float64 `json:"fragmentation"`
	FreeAccelerators int     `json:"freeAccelerators"`
}

// JSON returns the report as JSON, without the individual completions.
func (r *Report) JSON() ([]byte, error) {
	body := reportBody{
		Seed: r.Plan.Seed, Requests: r.Plan.Requests, RatePerSec: r.Plan.Rate,
		TookSeconds: r.Took.Seconds(), NotSent: r.NotSent, Wrong: r.Wrong, Faults: r.Violations,
	}
	for _, c := range r.Classes {
		body.Classes = append(body.Classes, classBody{
			Class: c.Class.String(), Sent: c.Sent, Served: c.Served, Unfinished: c.Unfinished,
			Times: c.Times.body(), Delays: c.Delays.body(), Lateness: c.Lateness.body(),
			Refusals: c.Refusals, Retries: c.Retries, Unknown: c.Unknown,
		})
	}
	for _, s := range r.Samples {
		body.Samples = append(body.Samples, sampleBody{s.At.Seconds(), s.AvailabilityZone, s.Fragmentation, s.FreeAccelerators})
	}
	data, err := json.MarshalIndent(body, "", "  ")
	return append(data, '\n'), errors.Wrap(err, "encode report")
}

func (t Times) body() timesBody {
	return timesBody{t.P50.Seconds(), t.P90.Seconds(), t.P99.Seconds(), t.Max.Seconds(), t.Histogram}
}
