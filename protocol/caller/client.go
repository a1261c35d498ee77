package caller

import (
	"context"
	"encoding/json"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/state"
	"comfreystream/transport"
)

// Client sends requests to entries on behalf of callers and operators. Lost
// connections and refusals are reported as a *state.StepError. It is safe for
// concurrent use.
type Client struct {
	Connections *transport.Client
}

// Submit runs the job and waits for its outcome; the progress is not done if
// the entry drained before the job ended.
func (c *Client) Submit(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.Progress, error) {
	response, err := c.send(ctx, entry, fasthttp.MethodPost, jobsPath, encodeSubmission(job, true), "")
	if err != nil {
		return state.Progress{}, err
	}
	return response.decodeProgress(jobsPath, entry)
}

// Accept submits the job without waiting for its outcome and returns its ID.
func (c *Client) Accept(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.JobID, error) {
	response, err := c.send(ctx, entry, fasthttp.MethodPost, jobsPath, encodeSubmission(job, false), "")
	if err != nil {
		return "", err
	}
	var body acceptedBody
	err = response.decode(jobsPath, entry, &body)
	return body.Job, err
}

// Await waits up to the duration for a job to end and returns its outcome; a job
// that has not ended gives the zero Progress.
func (c *Client) Await(ctx context.Context, entry netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error) {
	path := jobsPath + "/" + url.PathEscape(string(job))
	response, err := c.send(ctx, entry, fasthttp.MethodGet, path+"?wait="+wait.String(), nil, "")
	if err != nil {
		return state.Progress{}, err
	}
	var body progressBody
	if err := response.decode(path, entry, &body); err != nil || !body.Done {
		return state.Progress{}, err
	}
	response, err = c.send(ctx, entry, fasthttp.MethodGet, path+"/answer", nil, "")
	if err != nil {
		return state.Progress{}, err
	}
	return response.decodeProgress(path, entry)
}

// Cancel requests the cancellation of a job.
func (c *Client) Cancel(ctx context.Context, entry netip.AddrPort, job state.JobID) error {
	path := jobsPath + "/" + url.PathEscape(string(job))
	response, err := c.send(ctx, entry, fasthttp.MethodDelete, path, nil, "")
	if err != nil {
		return err
	}
	return response.decode(path, entry, &acceptedBody{})
}

// Apply puts a manifest in force. It must replace the expected generation or, if
// that is 0, the one given in the file.
func (c *Client) Apply(ctx context.Context, entry netip.AddrPort, file []byte, expected state.Generation) (AppliedManifest, error) {
	ifMatch := ""
	if expected != 0 {
		ifMatch = entityTag(expected)
	}
	response, err := c.send(ctx, entry, fasthttp.MethodPut, "/v1/manifest", file, ifMatch)
	if err != nil {
		return AppliedManifest{}, err
	}
	var body appliedBody
	err = response.decode("apply", entry, &body)
	return AppliedManifest(body), err
}

// Manifest returns the file of the manifest in force.
func (c *Client) Manifest(ctx context.Context, entry netip.AddrPort) ([]byte, error) {
	return c.fetch(ctx, entry, fasthttp.MethodGet, "/v1/manifest")
}

// Overview returns the entry's overview as JSON.
func (c *Client) Overview(ctx context.Context, entry netip.AddrPort) ([]byte, error) {
	return c.fetch(ctx, entry, fasthttp.MethodGet, "/v1/status")
}

// Drain starts draining the entry and returns before it is drained.
func (c *Client) Drain(ctx context.Context, entry netip.AddrPort) error {
	_, err := c.fetch(ctx, entry, fasthttp.MethodPost, "/v1/drain")
	return err
}

// Ready returns nil if the entry accepts new jobs.
func (c *Client) Ready(ctx context.Context, entry netip.AddrPort) error {
	_, err := c.fetch(ctx, entry, fasthttp.MethodGet, "/v1/ready")
	return err
}

// fetch sends a request without a body and returns the body of the response.
func (c *Client) fetch(ctx context.Context, entry netip.AddrPort, method, path string) ([]byte, error) {
	response, err := c.send(ctx, entry, method, path, nil, "")
	if err != nil {
		return nil, err
	}
	if !response.succeeded() {
		return nil, response.toError(path, entry)
	}
	return response.body, nil
}

// reply is an entry's response, not yet decoded.
type reply struct {
	status int
	body   []byte
}

func (c *Client) send(ctx context.Context, entry netip.AddrPort, method, path string, body []byte, ifMatch string) (reply, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.Header.SetContentType(contentType)
	request.Header.SetHost(entry.String())
	request.SetRequestURI(path)
	request.SetBodyRaw(body)
	if ifMatch != "" {
		request.Header.Set(fasthttp.HeaderIfMatch, ifMatch)
	}
	if err := c.Connections.Do(ctx, entry, request, response); err != nil {
		if transport.MayHaveActed(err) {
			return reply{}, state.NewAmbiguousStepError(path, entry, state.ConnectionLost, err)
		}
		return reply{}, state.NewStepError(path, entry, state.ConnectionLost, err)
	}
	return reply{response.StatusCode(), append([]byte(nil), response.Body()...)}, nil
}

func (r reply) succeeded() bool { return r.status < fasthttp.StatusBadRequest }

func (r reply) decode(step string, entry netip.AddrPort, body any) error {
	if !r.succeeded() {
		return r.toError(step, entry)
	}
	return errors.Wrapf(json.Unmarshal(r.body, body), "%s: %s: status %d", step, entry, r.status)
}

// decodeProgress decodes the response to a submission or to a request for a
// job's answer; a refused job has an outcome, too.
func (r reply) decodeProgress(step string, entry netip.AddrPort) (state.Progress, error) {
	if r.status == fasthttp.StatusAccepted {
		var body progressBody
		err := json.Unmarshal(r.body, &body)
		return state.Progress{Outcome: state.Outcome{Job: body.Job}}, errors.Wrap(err, step)
	}
	if r.succeeded() {
		var body outcomeBody
		err := json.Unmarshal(r.body, &body)
		outcome := state.Outcome{Job: body.Job, Attempt: body.Attempt, Ran: state.RanToCompletion, Answer: body.Answer}
		return state.Progress{Done: true, Phase: state.JobDone, Outcome: outcome}, errors.Wrap(err, step)
	}
	var body errorBody
	if err := json.Unmarshal(r.body, &body); err != nil || body.Reason == "" {
		return state.Progress{}, r.toError(step, entry)
	}
	outcome := state.Outcome{Job: body.Job, Ran: parseRan(body.Ran), Reason: body.Reason, Retry: body.Retry}
	if body.Reason == state.DuplicateKey {
		outcome.Holder = state.JobID(strings.TrimPrefix(body.StatusPath, jobsPath+"/"))
	}
	return state.Progress{Done: true, Phase: state.JobDone, Outcome: outcome}, nil
}

// toError converts an error response into a *state.StepError; a response without
// an error body is ambiguous.
func (r reply) toError(step string, entry netip.AddrPort) error {
	var body errorBody
	if err := json.Unmarshal(r.body, &body); err != nil || body.Reason == "" {
		return state.NewAmbiguousStepError(step, entry, state.ConnectionLost, errors.New("status "+strconv.Itoa(r.status)+" without an error body"))
	}
	var cause error
	if body.Generation != 0 {
		cause = errors.Errorf("generation %d is in force: %s", body.Generation, body.Detail)
	} else if body.Detail != "" {
		cause = errors.New(body.Detail)
	}
	if parseRan(body.Ran) == state.OutcomeUnknown {
		return state.NewAmbiguousStepError(step, entry, body.Reason, cause)
	}
	return state.NewStepError(step, entry, body.Reason, cause)
}

func parseRan(text string) state.Ran {
	for _, ran := range []state.Ran{state.NotRun, state.RanToCompletion} {
		if ran.String() == text {
			return ran
		}
	}
	return state.OutcomeUnknown
}

// encodeSubmission returns the request body that submits the job.
func encodeSubmission(job *state.Job, wait bool) []byte {
	body := submissionBody{
		Organisation: job.Organisation, Kind: job.Kind, AvailabilityZone: job.ID.AvailabilityZone(),
		Members: job.Members, Shape: resourcesBody(job.Shape),
		Adjacency: state.AdjacencyNames[job.Adjacency], Urgency: state.UrgencyNames[job.Urgency],
		DeclaredRunTime: duration(job.DeclaredRunTime), Idempotent: job.Idempotent, Key: job.Key,
		Checkpointable: job.Checkpointable, Payload: job.Payload, Wait: &wait,
	}
	if !job.Deadline.IsZero() {
		body.AnswerWithin = duration(time.Until(job.Deadline))
	}
	text, _ := json.Marshal(body)
	return text
}
