package caller

import (
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/protocol/body"
	"comfreystream/state"
	"comfreystream/transport"
)

// maxProgressWait is the longest wait that a request for a job's progress may ask for.
const maxProgressWait = 30 * time.Second

// acceptedBody is the response to an accepted submission without wait, or to a
// cancellation.
type acceptedBody struct {
	Job        state.JobID `json:"job"`
	StatusPath string      `json:"ask"`
}

// outcomeBody is the response for a job that ran to completion.
type outcomeBody struct {
	Job     state.JobID   `json:"job"`
	Attempt state.Attempt `json:"attempt"`
	Ran     string        `json:"ran"`
	// Answer is in base64.
	Answer []byte `json:"answer"`
}

// progressBody is the progress of a job; Attempt, Ran, Reason and Retry are set
// once it is done.
type progressBody struct {
	Job     state.JobID   `json:"job"`
	Phase   string        `json:"phase"`
	Done    bool          `json:"done"`
	Attempt state.Attempt `json:"attempt,omitempty"`
	Ran     string        `json:"ran,omitempty"`
	Reason  state.Reason  `json:"reason,omitempty"`
	Retry   bool          `json:"retry,omitempty"`
}

func submitJob(s *Service, ctx *fasthttp.RequestCtx) {
	var submission submissionBody
	if err := body.Decode(ctx.PostBody(), &submission); err != nil {
		s.writeFailure(ctx, statusByReason, newBadRequest(err))
		return
	}
	job, err := submission.toJob(s.Now())
	if err != nil {
		s.writeFailure(ctx, statusByReason, newBadRequest(err))
		return
	}
	if !submission.waitsForOutcome() {
		s.acceptJob(ctx, job)
		return
	}
	s.writeProgress(ctx, s.Submit(transport.ConnectionContext(ctx), job))
}

func (s *Service) acceptJob(ctx *fasthttp.RequestCtx, job state.Job) {
	id, err := s.Accept(transport.ConnectionContext(ctx), job)
	if err != nil {
		f := newFailure(err)
		f.job = id
		s.writeFailure(ctx, statusByReason, f)
		return
	}
	statusPath := jobsPath + "/" + string(id)
	ctx.Response.Header.Set(fasthttp.HeaderLocation, statusPath)
	writeJSON(ctx, fasthttp.StatusAccepted, acceptedBody{Job: id, StatusPath: statusPath})
}

// writeProgress responds with the outcome of a job that is done, otherwise with
// its progress.
func (s *Service) writeProgress(ctx *fasthttp.RequestCtx, p state.Progress) {
	if !p.Done {
		writeJSON(ctx, fasthttp.StatusAccepted, newProgressBody(p.Outcome.Job, p))
		return
	}
	s.writeOutcome(ctx, p.Outcome)
}

func (s *Service) writeOutcome(ctx *fasthttp.RequestCtx, o state.Outcome) {
	if o.Ran != state.RanToCompletion || o.Reason != "" {
		s.writeFailure(ctx, statusByReason, failure{reason: o.Reason, ran: o.Ran, job: o.Job, keyHolder: o.Holder})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, outcomeBody{Job: o.Job, Attempt: o.Attempt, Ran: o.Ran.String(), Answer: o.Answer})
}

func getJob(s *Service, ctx *fasthttp.RequestCtx) {
	id := jobIDInPath(ctx)
	wait, err := parseWait(ctx)
	if err == nil {
		err = validateJobID(id)
	}
	if err != nil {
		s.writeFailure(ctx, statusByReason, newBadRequest(err))
		return
	}
	progress, err := s.Await(transport.ConnectionContext(ctx), id, wait)
	if err != nil {
		s.failJobRequest(ctx, id, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, newProgressBody(id, progress))
}

func getJobAnswer(s *Service, ctx *fasthttp.RequestCtx) {
	id := jobIDInPath(ctx)
	if err := validateJobID(id); err != nil {
		s.writeFailure(ctx, statusByReason, newBadRequest(err))
		return
	}
	progress, err := s.Await(transport.ConnectionContext(ctx), id, 0)
	if err != nil {
		s.failJobRequest(ctx, id, err)
		return
	}
	progress.Outcome.Job = id
	s.writeProgress(ctx, progress)
}

func cancelJob(s *Service, ctx *fasthttp.RequestCtx) {
	id := jobIDInPath(ctx)
	if err := validateJobID(id); err != nil {
		s.writeFailure(ctx, statusByReason, newBadRequest(err))
		return
	}
	if err := s.Cancel(transport.ConnectionContext(ctx), id); err != nil {
		s.failJobRequest(ctx, id, err)
		return
	}
	statusPath := jobsPath + "/" + string(id)
	writeJSON(ctx, fasthttp.StatusAccepted, acceptedBody{Job: id, StatusPath: statusPath})
}

// failJobRequest reports a failed request about an existing job. The response
// always says "outcome unknown", because the failure of such a request does not
// tell whether the job ran.
func (s *Service) failJobRequest(ctx *fasthttp.RequestCtx, id state.JobID, err error) {
	f := newFailure(err)
	status := httpStatus(f)
	f.ran = state.OutcomeUnknown
	f.job = id
	s.writeFailure(ctx, status, f)
}

func newProgressBody(id state.JobID, p state.Progress) progressBody {
	body := progressBody{Job: id, Phase: p.Phase.String(), Done: p.Done}
	if p.Done {
		body.Attempt = p.Outcome.Attempt
		body.Ran = p.Outcome.Ran.String()
		body.Reason = p.Outcome.Reason
		body.Retry = p.Outcome.Retry
	}
	return body
}

func parseWait(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := string(ctx.QueryArgs().Peek("wait"))
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxProgressWait {
		return 0, errors.Errorf("wait: got %q, want a duration up to %s", text, maxProgressWait)
	}
	return wait, nil
}
