package caller

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/valyala/fasthttp"

	"comfreystream/protocol/body"
)

// FuzzHandler checks that every request gets a response in the documented form
// and that a bad request calls no operation.
func FuzzHandler(f *testing.F) {
	seeds := []struct{ method, path, body string }{
		{"POST", "/v1/jobs", smallJobPrefix + `,"answerWithin":"1.5s","payload":"aGk="}`},
		{"POST", "/v1/jobs", smallJobPrefix + `,"wait":null,"shape":null}`},
		{"POST", "/v1/jobs", `{"organisation":"a","members":1e99}`},
		{"POST", "/v1/jobs", `{"shape":{"memoryBytes":-9223372036854775808}}`},
		{"POST", "/v1/jobs", `[]`},
		{"POST", "/v1/jobs", "\xff\xfe{}"},
		{"GET", "/v1/jobs/a.1?wait=1s", ""},
		{"GET", "/v1/jobs/../v1/drain", ""},
		{"DELETE", "/v1/jobs/a.1", ""},
		{"GET", "/v1/jobs//answer", ""},
		{"PUT", "/v1/manifest", "{}"},
		{"PATCH", "/", ""},
	}
	for _, seed := range seeds {
		f.Add(seed.method, seed.path, seed.body)
	}
	f.Fuzz(func(t *testing.T, method, path, sent string) {
		service := newFakeService()
		status, text := serve(service, method, path, "", sent)
		if status < fasthttp.StatusBadRequest {
			return
		}
		var failed errorBody
		if err := body.Decode([]byte(text), &failed); err != nil {
			t.Fatalf("status %d: %s: %v", status, text, err)
		}
		ranTexts := []string{"not run", "ran", "outcome unknown"}
		if failed.Reason == "" || !slices.Contains(ranTexts, failed.Ran) || failed.Retry && failed.Ran != "not run" {
			t.Errorf("status %d: %s", status, text)
		}
		if status == fasthttp.StatusBadRequest && service.received != nil {
			t.Errorf("bad request, but the service received %v", service.received)
		}
	})
}

// FuzzSubmission checks that an accepted body is within the documented limits.
func FuzzSubmission(f *testing.F) {
	f.Add([]byte(smallJobPrefix + `,"answerWithin":"1.5s","declaredRunTime":"1h","payload":"aGk=","urgency":"urgent"}`))
	f.Add([]byte(`{"organisation":"a","members":4096,"shape":{"slots":1048576},"key":"k","availabilityZone":"a"}`))
	f.Add([]byte(`{"organisation":"a","members":4097,"shape":{"slots":1},"key":"k"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var submission submissionBody
		if body.Decode(text, &submission) != nil {
			return
		}
		job, err := submission.toJob(now)
		if err != nil {
			return
		}
		shape := job.Shape
		if job.Members < 1 || job.Members > maxMembers || shape.Slots < 0 || shape.Accelerators < 0 || shape.Cores < 0 || shape.MemoryBytes < 0 {
			t.Errorf("job %+v", job)
		}
		if !job.Idempotent && job.Key == "" || job.Deadline.Before(now) && !job.Deadline.IsZero() || job.DeclaredRunTime < 0 {
			t.Errorf("job %+v", job)
		}
		if !json.Valid(text) {
			t.Errorf("accepted %q", text)
		}
	})
}
