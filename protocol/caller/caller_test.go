package caller

import (
	"context"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/state"
)

var (
	peer = netip.MustParseAddrPort("10.0.0.7:7070")
	now  = time.Unix(1700000000, 0)
)

// smallJobPrefix is a submission without its closing brace, for tests to add fields.
const smallJobPrefix = `{"organisation":"andina","members":1,"shape":{"accelerators":1},"idempotent":true`

// fakeService returns the progress or the failure and records its last argument
// and the last reason counted.
type fakeService struct {
	Service
	received      any
	countedReason string
	progress      state.Progress
	failure       error
}

func newFakeService() *fakeService {
	outcome := state.Outcome{Job: "a.1", Attempt: 1, Ran: state.RanToCompletion, Answer: []byte("whole")}
	f := &fakeService{progress: state.Progress{Done: true, Phase: state.JobDone, Outcome: outcome}}
	record := func(argument any) error {
		f.received = argument
		return f.failure
	}
	f.Service = Service{
		Submit: func(_ context.Context, job state.Job) state.Progress {
			_ = record(job)
			return f.progress
		},
		Accept: func(_ context.Context, job state.Job) (state.JobID, error) { return "a.1", record(job) },
		Await: func(_ context.Context, job state.JobID, wait time.Duration) (state.Progress, error) {
			return f.progress, record([]any{job, wait})
		},
		Cancel: func(_ context.Context, job state.JobID) error { return record(job) },
		Apply: func(_ context.Context, c ManifestChange) (AppliedManifest, error) {
			return AppliedManifest{Generation: 8, InForce: []netip.AddrPort{peer}}, record(c)
		},
		Manifest: func(context.Context) (state.Generation, []byte, error) { return 8, []byte("{}"), record(nil) },
		Members: func() []state.Member {
			return []state.Member{{Address: peer, AvailabilityZone: "a", Incarnation: state.IncarnationAt(now)}}
		},
		Overview: func(context.Context) ([]byte, error) { return []byte(`{"zones":[]}`), record(nil) },
		Drain:    func() error { return record("drain") },
		Ready:    func() error { return f.failure },
		Metrics:  func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("refusals 0") },
		Now:      func() time.Time { return now },
		Count:    func(reason state.Reason) { f.countedReason = string(reason) },
	}
	return f
}

func serve(f *fakeService, method, path, header, body string) (status int, text string) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	ctx.Request.Header.Set(fasthttp.HeaderIfMatch, header)
	ctx.Request.SetBodyString(body)
	f.Handler()(&ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

func TestResponses(t *testing.T) {
	job := state.Job{Organisation: "andina", Members: 1, Shape: state.Resources{Accelerators: 1}, Urgency: state.Normal, Submitted: now, Idempotent: true}
	fullJob := job
	fullJob.Deadline, fullJob.DeclaredRunTime, fullJob.Payload = now.Add(1500*time.Millisecond), time.Hour, []byte("hi")
	fullJob.ID, fullJob.Urgency, fullJob.Adjacency = "a.", state.Urgent, state.SameRack
	tests := []struct {
		name                       string
		method, path, header, body string
		received                   any
		status                     int
		want                       string
	}{
		{"submit and wait", "POST", "/v1/jobs", "", smallJobPrefix + `}`, job, 200, `{"job":"a.1","attempt":1,"ran":"ran","answer":"d2hvbGU="}`},
		{
			"submit with every kind of field", "POST", "/v1/jobs", "",
			smallJobPrefix + `,"answerWithin":"1.5s","declaredRunTime":"1h","payload":"aGk=","urgency":"urgent","adjacency":"sameRack","availabilityZone":"a","wait":true}`,
			fullJob,
			200, `{"job":"a.1","attempt":1,"ran":"ran","answer":"d2hvbGU="}`,
		},
		{"accept", "POST", "/v1/jobs", "", smallJobPrefix + `,"wait":false}`, job, 202, `{"job":"a.1","ask":"/v1/jobs/a.1"}`},
		{"progress", "GET", "/v1/jobs/a.1?wait=2s", "", "", []any{state.JobID("a.1"), 2 * time.Second}, 200, `{"job":"a.1","phase":"done","done":true,"attempt":1,"ran":"ran"}`},
		{"answer", "GET", "/v1/jobs/a.1/answer", "", "", []any{state.JobID("a.1"), time.Duration(0)}, 200, `{"job":"a.1","attempt":1,"ran":"ran","answer":"d2hvbGU="}`},
		{"cancel", "DELETE", "/v1/jobs/a.1", "", "", state.JobID("a.1"), 202, `{"job":"a.1","ask":"/v1/jobs/a.1"}`},
		{"cancel by POST", "POST", "/v1/jobs/a.1/cancel", "", "", state.JobID("a.1"), 202, `{"job":"a.1","ask":"/v1/jobs/a.1"}`},
		{"apply", "PUT", "/v1/manifest", "", "{}", ManifestChange{File: []byte("{}")}, 200, `{"generation":8,"inForce":["10.0.0.7:7070"],"unreachable":[]}`},
		{"apply with If-Match", "PUT", "/v1/manifest", `"7"`, "{}", ManifestChange{File: []byte("{}"), Conditional: true, Expected: 7}, 200, `{"generation":8,"inForce":["10.0.0.7:7070"],"unreachable":[]}`},
		{"manifest", "GET", "/v1/manifest", "", "", nil, 200, `{}`},
		{"members", "GET", "/v1/members", "", "", nil, 200, `{"members":[{"address":"10.0.0.7:7070","availabilityZone":"a","started":"2023-11-14T22:13:20Z","generation":0}]}`},
		{"overview", "GET", "/v1/status", "", "", nil, 200, `{"zones":[]}`},
		{"drain", "POST", "/v1/drain", "", "", "drain", 202, `{"draining":true}`},
		{"ready", "GET", "/v1/ready", "", "", nil, 200, `{"ready":true}`},
		{"metrics", "GET", "/metrics", "", "", nil, 200, `refusals 0`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeService()
			status, text := serve(f, tt.method, tt.path, tt.header, tt.body)
			if status != tt.status || text != tt.want || !reflect.DeepEqual(f.received, tt.received) {
				t.Errorf("service received %v, response %d %s; want %v, %d %s", f.received, status, text, tt.received, tt.status, tt.want)
			}
		})
	}
}

func TestBadRequests(t *testing.T) {
	tests := []struct {
		name                       string
		method, path, header, body string
		status                     int
		detail                     string
	}{
		{"no JSON", "POST", "/v1/jobs", "", "hello", 400, "invalid character"},
		{"empty body", "POST", "/v1/jobs", "", "", 400, "EOF"},
		{"unknown field", "POST", "/v1/jobs", "", smallJobPrefix + `,"colour":1}`, 400, `unknown field \"colour\"`},
		{"unknown field in a nested object", "POST", "/v1/jobs", "", `{"shape":{"gpus":1}}`, 400, `unknown field \"gpus\"`},
		{"two values", "POST", "/v1/jobs", "", smallJobPrefix + `}{}`, 400, "more than one"},
		{"no organisation", "POST", "/v1/jobs", "", `{"members":1}`, 400, "organisation"},
		{"no members", "POST", "/v1/jobs", "", `{"organisation":"a"}`, 400, "members"},
		{"no key", "POST", "/v1/jobs", "", `{"organisation":"a","members":1,"shape":{"slots":1}}`, 400, "key"},
		{"empty shape", "POST", "/v1/jobs", "", `{"organisation":"a","members":1,"idempotent":true}`, 400, "shape"},
		{"negative amount", "POST", "/v1/jobs", "", `{"organisation":"a","members":1,"idempotent":true,"shape":{"slots":-1}}`, 400, "shape"},
		{"unknown urgency", "POST", "/v1/jobs", "", smallJobPrefix + `,"urgency":"now"}`, 400, "urgency"},
		{"duration as a number", "POST", "/v1/jobs", "", smallJobPrefix + `,"answerWithin":5}`, 400, "answerWithin"},
		{"bad duration", "POST", "/v1/jobs", "", smallJobPrefix + `,"answerWithin":"soon"}`, 400, "soon"},
		{"bad job ID", "GET", "/v1/jobs/x", "", "", 400, "zone.serial"},
		{"bad wait", "GET", "/v1/jobs/a.1?wait=1h", "", "", 400, "wait"},
		{"bad generation", "PUT", "/v1/manifest", "x", "{}", 400, "If-Match"},
		{"unknown path", "GET", "/v1/other", "", "", 404, "unknown path"},
		{"unknown path below a job", "GET", "/v1/jobs/a.1/x", "", "", 404, "unknown path"},
		{"wrong method", "DELETE", "/v1/jobs", "", "", 405, "POST"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeService()
			status, text := serve(f, tt.method, tt.path, tt.header, tt.body)
			if status != tt.status || !strings.Contains(text, tt.detail) || !strings.Contains(text, `"reason":"badRequest","ran":"not run","retry":false`) {
				t.Errorf("response %d %s; want %d with detail %q", status, text, tt.status, tt.detail)
			}
			if f.received != nil || f.countedReason != string(state.BadRequest) {
				t.Errorf("service received %v, counted reason %q", f.received, f.countedReason)
			}
		})
	}
}

func TestErrorResponses(t *testing.T) {
	const submit, submitAsync, progress = "POST /v1/jobs", "POST /v1/jobs false", "GET /v1/jobs/a.1"
	refused := func(reason state.Reason) state.Outcome { return state.Refusal("a.1", reason) }
	unknown := state.Outcome{Job: "a.1", Ran: state.OutcomeUnknown, Reason: state.AmbiguousStart}
	connectionLost := state.NewAmbiguousStepError("submit", peer, state.ConnectionLost, errors.New("reset"))
	tests := []struct {
		name    string
		request string
		outcome state.Outcome
		failure error
		status  int
		want    string
	}{
		{"never fits", submit, refused(state.NeverFits), nil, 422, `{"reason":"neverFits","ran":"not run","retry":false,"job":"a.1"}`},
		{"queue full", submit, refused(state.QueueFull), nil, 503, `{"reason":"queueFull","ran":"not run","retry":true,"retryAfter":"1s","job":"a.1"}`},
		{"over quota", submit, refused(state.OverQuota), nil, 429, `{"reason":"overQuota","ran":"not run","retry":true,"retryAfter":"10s","job":"a.1"}`},
		{"ambiguous start", submit, unknown, nil, 500, `{"reason":"ambiguousStart","ran":"outcome unknown","retry":false,"job":"a.1","ask":"/v1/jobs/a.1"}`},
		{
			"connection lost", submitAsync,
			state.Outcome{},
			connectionLost, 500,
			`{"reason":"connectionLost","ran":"outcome unknown","retry":false,"job":"a.1","ask":"/v1/jobs/a.1","step":"submit","peer":"10.0.0.7:7070","detail":"reset"}`,
		},
		{"error without a step", submitAsync, state.Outcome{}, errors.New("odd"), 500, `{"reason":"taskFailed","ran":"outcome unknown","retry":false,"job":"a.1","ask":"/v1/jobs/a.1","detail":"odd"}`},
		{
			"draining", submitAsync,
			state.Outcome{},
			state.NewStepError("admit", netip.AddrPort{}, state.Draining, nil), 503,
			`{"reason":"draining","ran":"not run","retry":true,"retryAfter":"200ms","job":"a.1","step":"admit"}`,
		},
		{
			"a failed progress request never says that the job did not run", progress,
			state.Outcome{},
			state.NewStepError("progress", peer, state.UnknownJob, nil), 404,
			`{"reason":"unknownJob","ran":"outcome unknown","retry":false,"job":"a.1","ask":"/v1/jobs/a.1","step":"progress","peer":"10.0.0.7:7070"}`,
		},
		{
			"manifest of an older generation", "PUT /v1/manifest",
			state.Outcome{},
			state.NewStepError("apply", netip.AddrPort{}, state.OlderGeneration, nil), 409,
			`{"reason":"olderGeneration","ran":"not run","retry":false,"step":"apply","generation":8}`,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeService()
			f.progress.Outcome, f.failure = tt.outcome, tt.failure
			method, path, _ := strings.Cut(tt.request, " ")
			path, wait, async := strings.Cut(path, " ")
			body := smallJobPrefix + "}"
			if async {
				body = smallJobPrefix + `,"wait":` + wait + "}"
			}
			status, text := serve(f, method, path, "", body)
			if status != tt.status || text != tt.want {
				t.Errorf("response %d %s; want %d %s", status, text, tt.status, tt.want)
			}
		})
	}
}
