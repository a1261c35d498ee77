package caller

import (
	"math"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"comfreystream/state"
)

// failure describes an error response before it is encoded.
type failure struct {
	reason state.Reason
	ran    state.Ran
	job    state.JobID
	// keyHolder is the earlier job with the same key, for a refused duplicate.
	keyHolder  state.JobID
	step       string
	peer       netip.AddrPort
	detail     string
	generation state.Generation
}

// errorBody is the body of every error response.
type errorBody struct {
	Reason state.Reason `json:"reason"`
	// Ran is "not run", "ran" or "outcome unknown".
	Ran   string `json:"ran"`
	Retry bool   `json:"retry"`
	// RetryAfter is set if Retry is.
	RetryAfter duration    `json:"retryAfter,omitzero"`
	Job        state.JobID `json:"job,omitempty"`
	// StatusPath is where to ask about the job if its outcome is unknown or, for
	// a refused duplicate, about the earlier job with the same key.
	StatusPath string         `json:"ask,omitempty"`
	Step       string         `json:"step,omitempty"`
	Peer       netip.AddrPort `json:"peer,omitzero"`
	// Generation is the one that was accepted before the manifest of this request.
	Generation state.Generation `json:"generation,omitempty"`
	Detail     string           `json:"detail,omitempty"`
}

// Statuses for writeFailure: statusByReason derives the status from the failure,
// the others stand for errors that share the reason badRequest.
const (
	statusByReason         = 0
	statusUnknownPath      = fasthttp.StatusNotFound
	statusMethodNotAllowed = fasthttp.StatusMethodNotAllowed
)

// newFailure converts err; only a *state.StepError can say that a job did not run.
func newFailure(err error) failure {
	parts := state.PartsOf(err, "")
	f := failure{reason: parts.Reason, step: parts.Step, peer: parts.Peer, detail: parts.Detail}
	if parts.Ambiguous {
		f.ran = state.OutcomeUnknown
	}
	return f
}

func newBadRequest(err error) failure {
	return failure{reason: state.BadRequest, ran: state.NotRun, detail: err.Error()}
}

// writeFailure counts the failure and responds with it.
func (s *Service) writeFailure(ctx *fasthttp.RequestCtx, status int, f failure) {
	s.Count(f.reason)
	body := f.toBody()
	if status == statusByReason {
		status = httpStatus(f)
	}
	if body.Retry {
		seconds := math.Ceil(time.Duration(body.RetryAfter).Seconds())
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	writeJSON(ctx, status, body)
}

func (f failure) toBody() errorBody {
	body := errorBody{
		Reason: f.reason, Ran: f.ran.String(), Job: f.job, Step: f.step, Peer: f.peer,
		Generation: f.generation, Detail: f.detail,
	}
	if f.ran == state.NotRun && f.reason.MayRetry() {
		body.Retry = true
		body.RetryAfter = duration(retryDelay(f.reason))
	}
	if f.ran == state.OutcomeUnknown && f.job != "" {
		body.StatusPath = jobsPath + "/" + string(f.job)
	}
	if f.keyHolder != "" {
		body.StatusPath = jobsPath + "/" + string(f.keyHolder)
	}
	return body
}

// retryDelay returns how long a caller should wait before repeating a request
// that was refused for the reason.
func retryDelay(reason state.Reason) time.Duration {
	switch reason {
	case state.Draining, state.HomeMoved, state.HomeUnreachable:
		return 200 * time.Millisecond
	case state.StoreUnavailable, state.ClaimUnavailable, state.NotDurable, state.NoManifest:
		return 5 * time.Second
	case state.OverQuota:
		return 10 * time.Second
	default:
		return time.Second
	}
}

func httpStatus(f failure) int {
	if f.ran == state.OutcomeUnknown && f.reason != state.UnknownJob {
		return fasthttp.StatusInternalServerError
	}
	switch f.reason {
	case state.BadRequest, state.UnknownZone:
		return fasthttp.StatusBadRequest
	case state.UnknownOrganisation:
		return fasthttp.StatusForbidden
	case state.UnknownJob:
		return fasthttp.StatusNotFound
	case state.DuplicateKey, state.OlderGeneration, state.Cancelled:
		return fasthttp.StatusConflict
	case state.BodyTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case state.NeverFits:
		return fasthttp.StatusUnprocessableEntity
	case state.OverQuota, state.OverBurst:
		return fasthttp.StatusTooManyRequests
	case state.DeadlinePassed:
		return fasthttp.StatusGatewayTimeout
	case state.TaskFailed, state.AmbiguousStart:
		return fasthttp.StatusInternalServerError
	default:
		return fasthttp.StatusServiceUnavailable
	}
}
