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

// Client asks entries as callers and operators do; a failure is a
// *state.StepError. It is safe for several goroutines.
type Client struct {
	Connections *transport.Client
}

// Submit has the job run and waits for its outcome; the progress is not done
// if the entry drained before the job ended.
func (c *Client) Submit(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.Progress, error) {
	answer, err := c.ask(ctx, entry, fasthttp.MethodPost, jobsPath, submissionOf(job, true), "")
	if err != nil {
		return state.Progress{}, err
	}
	return answer.progress(jobsPath, entry)
}

// Accept has the job accepted and returns its identity.
func (c *Client) Accept(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.JobID, error) {
	answer, err := c.ask(ctx, entry, fasthttp.MethodPost, jobsPath, submissionOf(job, false), "")
	if err != nil {
		return "", err
	}
	var body acceptedBody
	err = answer.into(jobsPath, entry, &body)
	return body.Job, err
}

// Await returns the outcome of a job, or how far it is after the wait.
func (c *Client) Await(ctx context.Context, entry netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error) {
	path := jobsPath + "/" + url.PathEscape(string(job))
	answer, err := c.ask(ctx, entry, fasthttp.MethodGet, path+"?wait="+wait.String(), nil, "")
	if err != nil {
		return state.Progress{}, err
	}
	var body progressBody
	if err := answer.into(path, entry, &body); err != nil || !body.Done {
		return state.Progress{}, err
	}
	answer, err = c.ask(ctx, entry, fasthttp.MethodGet, path+"/answer", nil, "")
	if err != nil {
		return state.Progress{}, err
	}
	return answer.progress(path, entry)
}

// Cancel stops a job.
func (c *Client) Cancel(ctx context.Context, entry netip.AddrPort, job state.JobID) error {
	path := jobsPath + "/" + url.PathEscape(string(job))
	answer, err := c.ask(ctx, entry, fasthttp.MethodDelete, path, nil, "")
	if err != nil {
		return err
	}
	return answer.into(path, entry, &acceptedBody{})
}

// Apply puts a manifest in force; a generation other than 0 is the one that it must replace.
func (c *Client) Apply(ctx context.Context, entry netip.AddrPort, file []byte, expected state.Generation) (Applied, error) {
	condition := ""
	if expected != 0 {
		condition = entityTag(expected)
	}
	answer, err := c.ask(ctx, entry, fasthttp.MethodPut, "/v1/manifest", file, condition)
	if err != nil {
		return Applied{}, err
	}
	var body appliedBody
	err = answer.into("apply", entry, &body)
	return Applied(body), err
}

// Show returns the manifest in force as operators write it.
func (c *Client) Show(ctx context.Context, entry netip.AddrPort) ([]byte, error) {
	return c.text(ctx, entry, fasthttp.MethodGet, "/v1/manifest")
}

// Overview returns the entry's overview as JSON.
func (c *Client) Overview(ctx context.Context, entry netip.AddrPort) ([]byte, error) {
	return c.text(ctx, entry, fasthttp.MethodGet, "/v1/status")
}

// Drain begins to take the entry out of use.
func (c *Client) Drain(ctx context.Context, entry netip.AddrPort) error {
	_, err := c.text(ctx, entry, fasthttp.MethodPost, "/v1/drain")
	return err
}

// Ready returns nil once the entry serves callers.
func (c *Client) Ready(ctx context.Context, entry netip.AddrPort) error {
	_, err := c.text(ctx, entry, fasthttp.MethodGet, "/v1/ready")
	return err
}

func (c *Client) text(ctx context.Context, entry netip.AddrPort, method, path string) ([]byte, error) {
	answer, err := c.ask(ctx, entry, method, path, nil, "")
	if err != nil {
		return nil, err
	}
	if !answer.succeeded() {
		return nil, answer.failure(path, entry)
	}
	return answer.body, nil
}

// reply is an entry's answer before it is read.
type reply struct {
	status int
	body   []byte
}

func (c *Client) ask(ctx context.Context, entry netip.AddrPort, method, path string, body []byte, condition string) (reply, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.Header.SetContentType(contentType)
	request.Header.SetHost(entry.String())
	request.SetRequestURI(path)
	request.SetBodyRaw(body)
	if condition != "" {
		request.Header.Set(fasthttp.HeaderIfMatch, condition)
	}
	if err := c.Connections.Do(ctx, entry, request, response); err != nil {
		if transport.MayHaveActed(err) {
			return reply{}, state.AmbiguousStep(path, entry, state.ConnectionLost, err)
		}
		return reply{}, state.NewStepError(path, entry, state.ConnectionLost, err)
	}
	return reply{response.StatusCode(), append([]byte(nil), response.Body()...)}, nil
}

func (r reply) succeeded() bool { return r.status < fasthttp.StatusBadRequest }

func (r reply) into(step string, entry netip.AddrPort, body any) error {
	if !r.succeeded() {
		return r.failure(step, entry)
	}
	return errors.Wrapf(json.Unmarshal(r.body, body), "%s: %s: status %d", step, entry, r.status)
}

// progress reads the answer about a job: a refusal is an outcome, too.
func (r reply) progress(step string, entry netip.AddrPort) (state.Progress, error) {
	if r.status == fasthttp.StatusAccepted {
		var body progressBody
		err := json.Unmarshal(r.body, &body)
		return state.Progress{Outcome: state.Outcome{Job: body.Job}}, errors.Wrap(err, step)
	}
	if r.succeeded() {
		var body outcomeBody
		err := json.Unmarshal(r.body, &body)
		outcome := state.Outcome{Job: body.Job, Attempt: body.Attempt, Ran: state.RanWhole, Answer: body.Answer}
		return state.Progress{Done: true, Phase: state.JobDone, Outcome: outcome}, errors.Wrap(err, step)
	}
	var body errorBody
	if err := json.Unmarshal(r.body, &body); err != nil || body.Reason == "" {
		return state.Progress{}, r.failure(step, entry)
	}
	outcome := state.Outcome{Job: body.Job, Ran: ranOf(body.Ran), Reason: body.Reason, Retry: body.Retry}
	if body.Reason == state.DuplicateKey {
		outcome.Holder = state.JobID(strings.TrimPrefix(body.Ask, jobsPath+"/"))
	}
	return state.Progress{Done: true, Phase: state.JobDone, Outcome: outcome}, nil
}

// failure types an answer that is not a success.
func (r reply) failure(step string, entry netip.AddrPort) error {
	var body errorBody
	if err := json.Unmarshal(r.body, &body); err != nil || body.Reason == "" {
		return state.AmbiguousStep(step, entry, state.ConnectionLost, errors.New("status "+strconv.Itoa(r.status)+" without a typed error"))
	}
	var cause error
	if body.Generation != 0 {
		cause = errors.Errorf("generation %d is in force: %s", body.Generation, body.Detail)
	} else if body.Detail != "" {
		cause = errors.New(body.Detail)
	}
	if ranOf(body.Ran) == state.Unknown {
		return state.AmbiguousStep(step, entry, body.Reason, cause)
	}
	return state.NewStepError(step, entry, body.Reason, cause)
}

func ranOf(words string) state.Ran {
	for _, ran := range []state.Ran{state.NotRun, state.RanWhole} {
		if ran.String() == words {
			return ran
		}
	}
	return state.Unknown
}

// submissionOf returns the body that submits the job.
func submissionOf(job *state.Job, wait bool) []byte {
	body := submissionBody{
		Organisation: job.Organisation, Kind: job.Kind, AvailabilityZone: job.ID.AvailabilityZone(),
		Members: job.Members, Shape: resourcesBody(job.Shape),
		Adjacency: state.AdjacencyWords[job.Adjacency], Urgency: state.UrgencyWords[job.Urgency],
		DeclaredRunTime: duration(job.DeclaredRunTime), Idempotent: job.Idempotent, Key: job.Key,
		Checkpointable: job.Checkpointable, Payload: job.Payload, Wait: &wait,
	}
	if !job.Deadline.IsZero() {
		body.AnswerWithin = duration(time.Until(job.Deadline))
	}
	text, _ := json.Marshal(body)
	return text
}
