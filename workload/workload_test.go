package workload

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/protocol/caller"
	"comfreystream/standin/fleet"
	"comfreystream/state"
	"comfreystream/transport"
)

const testManifest = `{"format": 1, "weights": {"completionTime": 0.5, "fragmentation": 0.5},
  "organisations": [{"name": "north", "share": 1}, {"name": "south", "share": 1}]}`

type submitFunc = func(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.Progress, error)

func testPlan(requests int, mix Mix) Plan {
	return Plan{
		Seed: 3, Name: "test", Requests: requests, Rate: 100, RunFor: time.Minute, Mix: mix,
		Organisations: []string{"north", "south"}, RunTime: 10 * time.Millisecond,
		LargeMembers: 4, LargeAccelerators: 4, WaveJobs: 5, InFlight: 64, Retries: 1000, SampleEvery: 50 * time.Millisecond,
	}
}

// TestRun sends requests to real entries. The rows with a wrapped Submit break a
// guarantee between entries and runner, which the runner must detect, or refuse jobs,
// which it must retry.
func TestRun(t *testing.T) {
	f, err := fleet.Start(fleet.Plan{
		AvailabilityZones: []string{"za", "zb"}, EntriesPerZone: 1, WorkersPerZone: 4, WorkersPerRack: 2,
		Capacity: state.Resources{Slots: 8, Accelerators: 8}, Log: io.Discard, LogLevel: zerolog.ErrorLevel,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	connections := transport.NewClient(transport.ClientLimits{})
	defer func() { _ = connections.Close() }()
	client := &caller.Client{Connections: connections}
	if err := f.Ready(t.Context(), client, []byte(testManifest)); err != nil {
		t.Fatal(err)
	}
	entries := []netip.AddrPort{f.Entries()[0].Address(), f.Entries()[1].Address()}
	tests := []struct {
		name    string
		mix     Mix
		wrap    func(submit submitFunc) submitFunc
		wrong   int64
		retried bool
	}{
		{"every class", Mix{4, 1, 1, 1, 2, 1}, nil, 0, false},
		{"answers of other requests", Mix{Small: 1}, answerOfOtherRequest, 30, false},
		{"truncated answers", Mix{Small: 1}, truncatedAnswer, 30, false},
		{"more answers than gang members", Mix{Large: 1}, repeatedAnswer, 30, false},
		{"key that runs twice", Mix{NonIdempotent: 1}, newKeyOnResubmission, 30, false},
		{"job that must never run and runs", Mix{NeverRuns: 1}, shapeThatFits, 30, false},
		{"first submission refused", Mix{4, 1, 1, 0, 0, 0}, refuseFirstSubmission, 0, true},
	}
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := testPlan(30, tt.mix)
			plan.Seed += uint64(n)
			runner := New(plan, client, entries)
			if tt.wrap != nil {
				runner.Submit = tt.wrap(runner.Submit)
			}
			report := runner.Run(t.Context())
			if report.Wrong != tt.wrong {
				t.Errorf("%d violations, want %d: %v", report.Wrong, tt.wrong, report.Violations)
			}
			checkClasses(t, report, tt.retried)
			checkFormats(t, report)
		})
	}
}

// checkClasses checks that all requests were sent and finished, that each has the
// outcome expected for its class unless violations were reported, and that there are
// retries exactly if they are expected.
func checkClasses(t *testing.T, report *Report, retried bool) {
	t.Helper()
	sent := 0
	for _, c := range report.Classes {
		jobs := c.Sent
		if c.Class == CancelWave {
			jobs *= report.Plan.WaveJobs
		}
		if c.Unfinished > 0 || len(c.Unknown) > 0 || retried != (len(c.Retries) > 0) {
			t.Errorf("%v: %d unfinished, unknown %v, retried %v", c.Class, c.Unfinished, c.Unknown, c.Retries)
		}
		if report.Wrong == 0 && (c.Served != int64(jobs) || len(c.Points) != jobs) {
			t.Errorf("%v: %d served of %d, refused %v", c.Class, c.Served, jobs, c.Refusals)
		}
		sent += c.Sent
	}
	if sent != report.Plan.Requests || report.NotSent != 0 {
		t.Errorf("%d sent and %d not sent of %d", sent, report.NotSent, report.Plan.Requests)
	}
}

// checkFormats checks that the report can be written in every format.
func checkFormats(t *testing.T, report *Report) {
	t.Helper()
	data, err := report.JSON()
	var body reportBody
	if err := json.Unmarshal(data, &body); err != nil || len(body.Classes) != len(report.Classes) {
		t.Errorf("%d classes in JSON, want %d; %v", len(body.Classes), len(report.Classes), err)
	}
	text, png, svg := &bytes.Buffer{}, &bytes.Buffer{}, &strings.Builder{}
	for _, err := range []error{err, report.WriteText(text), report.WritePicture(png, "png"), report.WritePicture(svg, "svg")} {
		if err != nil {
			t.Error(err)
		}
	}
	if !bytes.HasPrefix(png.Bytes(), []byte("\x89PNG")) || !strings.Contains(svg.String(), "<svg") {
		t.Error("the output is not a PNG and an SVG picture")
	}
}

// withChangedAnswer wraps a Submit function and changes the answers that it returns.
func withChangedAnswer(submit submitFunc, change func(answer []byte) []byte) submitFunc {
	return func(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.Progress, error) {
		progress, err := submit(ctx, entry, job)
		progress.Outcome.Answer = change(progress.Outcome.Answer)
		return progress, err
	}
}

func answerOfOtherRequest(submit submitFunc) submitFunc {
	return withChangedAnswer(submit, func(answer []byte) []byte { return bytes.Replace(answer, []byte("/"), []byte("/9"), 1) })
}

func truncatedAnswer(submit submitFunc) submitFunc {
	return withChangedAnswer(submit, func(answer []byte) []byte { return answer[:len(answer)-1] })
}

func repeatedAnswer(submit submitFunc) submitFunc {
	return withChangedAnswer(submit, func(answer []byte) []byte { return bytes.Repeat(answer, 5) })
}

func newKeyOnResubmission(submit submitFunc) submitFunc {
	var mu sync.Mutex
	sent := make(map[string]bool)
	return func(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.Progress, error) {
		mu.Lock()
		defer mu.Unlock()
		other := *job
		if sent[job.Key] {
			other.Key += "again"
		}
		sent[job.Key] = true
		return submit(ctx, entry, &other)
	}
}

func shapeThatFits(submit submitFunc) submitFunc {
	return func(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.Progress, error) {
		other := *job
		other.Shape.Accelerators = 1
		return submit(ctx, entry, &other)
	}
}

func refuseFirstSubmission(submit submitFunc) submitFunc {
	var mu sync.Mutex
	seen := make(map[string]bool)
	return func(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.Progress, error) {
		mu.Lock()
		first := !seen[string(job.Payload)]
		seen[string(job.Payload)] = true
		mu.Unlock()
		if first {
			return state.Progress{Done: true, Outcome: state.Refusal("", state.QueueFull)}, nil
		}
		return submit(ctx, entry, job)
	}
}

// TestCompletionTimeCountsFromDueTime processes one request at a time, each for a
// second: the completion time must include the time that a request waits for the others.
func TestCompletionTimeCountsFromDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := testPlan(4, Mix{Small: 1})
		plan.InFlight = 1
		runner := New(plan, &caller.Client{}, make([]netip.AddrPort, 1))
		runner.Overview = func(context.Context, netip.AddrPort) ([]byte, error) { return nil, io.EOF }
		runner.Submit = func(_ context.Context, _ netip.AddrPort, job *state.Job) (state.Progress, error) {
			<-time.After(time.Second)
			var payload struct{ Answer string }
			err := json.Unmarshal(job.Payload, &payload)
			return state.Progress{Done: true, Outcome: state.Outcome{Ran: state.RanToCompletion, Answer: []byte(payload.Answer)}}, err
		}
		var ends []time.Duration
		for _, p := range runner.Run(t.Context()).Classes[0].Points {
			ends = append(ends, p.Due+p.Taken)
		}
		slices.Sort(ends)
		first := plan.requests()[0].due
		want := []time.Duration{first + time.Second, first + 2*time.Second, first + 3*time.Second, first + 4*time.Second}
		if !slices.Equal(ends, want) {
			t.Errorf("completed at %v, want %v", ends, want)
		}
	})
}

func TestParseMix(t *testing.T) {
	tests := []struct {
		text string
		want Mix
		bad  bool
	}{
		{"small=8,large=1", Mix{Small: 8, Large: 1}, false},
		{"", Mix{}, true},
		{"small", Mix{}, true},
		{"small=-1", Mix{}, true},
		{"tiny=1", Mix{}, true},
		{"small=0", Mix{}, true},
	}
	for _, tt := range tests {
		got, err := ParseMix(tt.text)
		if (err != nil) != tt.bad || !tt.bad && got != tt.want {
			t.Errorf("ParseMix(%q) = %v, error %v", tt.text, got, err)
		}
	}
}
