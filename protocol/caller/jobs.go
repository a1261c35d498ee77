package caller

import (
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/protocol/body"
	"comfreystream/state"
	"comfreystream/transport"
)

// maxProgressWait bounds how long a request for a job's progress is held.
const maxProgressWait = 30 * time.Second

// acceptedBody answers a submission that does not wait.
type acceptedBody struct {
	Job state.JobID `json:"job"`
	Ask string      `json:"ask"`
}

// outcomeBody answers for a job that ran.
type outcomeBody struct {
	Job     state.JobID   `json:"job"`
	Attempt state.Attempt `json:"attempt"`
	Ran     string        `json:"ran"`
	// Answer is in base64.
	Answer []byte `json:"answer"`
}

// progressBody tells how far a job is; the last four fields are set once it is done.
type progressBody struct {
	Job     state.JobID   `json:"job"`
	Phase   string        `json:"phase"`
	Done    bool          `json:"done"`
	Attempt state.Attempt `json:"attempt,omitempty"`
	Ran     string        `json:"ran,omitempty"`
	Reason  state.Reason  `json:"reason,omitempty"`
	Retry   bool          `json:"retry,omitempty"`
}

func submit(s *Service, ctx *fasthttp.RequestCtx) {
	var submission submissionBody
	if err := body.Decode(ctx.PostBody(), &submission); err != nil {
		s.fail(ctx, byReason, badRequest(err))
		return
	}
	job, err := submission.job(s.Now())
	if err != nil {
		s.fail(ctx, byReason, badRequest(err))
		return
	}
	if !submission.waits() {
		s.accept(ctx, job)
		return
	}
	s.answerProgress(ctx, s.Submit(transport.Context(ctx), job))
}

func (s *Service) accept(ctx *fasthttp.RequestCtx, job state.Job) {
	id, err := s.Accept(transport.Context(ctx), job)
	if err != nil {
		f := failureOf(err)
		f.job = id
		s.fail(ctx, byReason, f)
		return
	}
	ask := jobsPath + "/" + string(id)
	ctx.Response.Header.Set(fasthttp.HeaderLocation, ask)
	answer(ctx, fasthttp.StatusAccepted, acceptedBody{Job: id, Ask: ask})
}

// answerProgress answers with the outcome of a job that is done, else with its progress.
func (s *Service) answerProgress(ctx *fasthttp.RequestCtx, p state.Progress) {
	if !p.Done {
		answer(ctx, fasthttp.StatusAccepted, toProgressBody(p.Outcome.Job, p))
		return
	}
	s.answerOutcome(ctx, p.Outcome)
}

func (s *Service) answerOutcome(ctx *fasthttp.RequestCtx, o state.Outcome) {
	if o.Ran != state.RanWhole || o.Reason != "" {
		s.fail(ctx, byReason, failure{reason: o.Reason, ran: o.Ran, job: o.Job, holder: o.Holder})
		return
	}
	answer(ctx, fasthttp.StatusOK, outcomeBody{Job: o.Job, Attempt: o.Attempt, Ran: o.Ran.String(), Answer: o.Answer})
}

func showJob(s *Service, ctx *fasthttp.RequestCtx) {
	id := jobOf(ctx)
	wait, err := waitOf(ctx)
	if err == nil {
		err = checkJob(id)
	}
	if err != nil {
		s.fail(ctx, byReason, badRequest(err))
		return
	}
	progress, err := s.Await(transport.Context(ctx), id, wait)
	if err != nil {
		s.failAbout(ctx, id, err)
		return
	}
	answer(ctx, fasthttp.StatusOK, toProgressBody(id, progress))
}

func showAnswer(s *Service, ctx *fasthttp.RequestCtx) {
	id := jobOf(ctx)
	if err := checkJob(id); err != nil {
		s.fail(ctx, byReason, badRequest(err))
		return
	}
	progress, err := s.Await(transport.Context(ctx), id, 0)
	if err != nil {
		s.failAbout(ctx, id, err)
		return
	}
	progress.Outcome.Job = id
	s.answerProgress(ctx, progress)
}

func cancelJob(s *Service, ctx *fasthttp.RequestCtx) {
	id := jobOf(ctx)
	if err := checkJob(id); err != nil {
		s.fail(ctx, byReason, badRequest(err))
		return
	}
	if err := s.Cancel(transport.Context(ctx), id); err != nil {
		s.failAbout(ctx, id, err)
		return
	}
	ask := jobsPath + "/" + string(id)
	answer(ctx, fasthttp.StatusAccepted, acceptedBody{Job: id, Ask: ask})
}

// failAbout answers a failed question about a job: whatever went wrong, it
// says nothing of whether the job ran.
func (s *Service) failAbout(ctx *fasthttp.RequestCtx, id state.JobID, err error) {
	f := failureOf(err)
	status := statusOf(f)
	f.ran = state.Unknown
	f.job = id
	s.fail(ctx, status, f)
}

func toProgressBody(id state.JobID, p state.Progress) progressBody {
	body := progressBody{Job: id, Phase: p.Phase.String(), Done: p.Done}
	if p.Done {
		body.Attempt = p.Outcome.Attempt
		body.Ran = p.Outcome.Ran.String()
		body.Reason = p.Outcome.Reason
		body.Retry = p.Outcome.Retry
	}
	return body
}

func waitOf(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := string(ctx.QueryArgs().Peek("wait"))
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxProgressWait {
		return 0, errors.Errorf("wait: is %q; want a duration up to %s", text, maxProgressWait)
	}
	return wait, nil
}
