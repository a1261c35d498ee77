package caller

import (
	"math"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"comfreystream/state"
)

// failure is what went wrong, before it is put into a body.
type failure struct {
	reason state.Reason
	ran    state.Ran
	job    state.JobID
	// holder is the job that holds the key of a refused duplicate.
	holder     state.JobID
	step       string
	peer       netip.AddrPort
	detail     string
	generation state.Generation
}

// errorBody is the body of every answer that is not a success.
type errorBody struct {
	Reason state.Reason `json:"reason"`
	// Ran is "not run", "ran" or "outcome unknown".
	Ran   string `json:"ran"`
	Retry bool   `json:"retry"`
	// RetryAfter is set if Retry is.
	RetryAfter duration    `json:"retryAfter,omitzero"`
	Job        state.JobID `json:"job,omitempty"`
	// Ask is the path that tells more: about the job, if its outcome is unknown,
	// or about the one that holds the key of a duplicate.
	Ask  string         `json:"ask,omitempty"`
	Step string         `json:"step,omitempty"`
	Peer netip.AddrPort `json:"peer,omitzero"`
	// Generation is the manifest that won over a refused one.
	Generation state.Generation `json:"generation,omitempty"`
	Detail     string           `json:"detail,omitempty"`
}

// The status codes of failures that have no reason of their own.
const (
	byReason     = 0
	noSuchPath   = fasthttp.StatusNotFound
	noSuchMethod = fasthttp.StatusMethodNotAllowed
)

// failureOf describes err; only an error with a step can say "not run".
func failureOf(err error) failure {
	parts := state.PartsOf(err, "")
	f := failure{reason: parts.Reason, step: parts.Step, peer: parts.Peer, detail: parts.Detail}
	if parts.Ambiguous {
		f.ran = state.Unknown
	}
	return f
}

func badRequest(err error) failure {
	return failure{reason: state.BadRequest, ran: state.NotRun, detail: err.Error()}
}

// fail answers with the failure; status byReason takes the reason's own.
func (s *Service) fail(ctx *fasthttp.RequestCtx, status int, f failure) {
	s.Count(f.reason)
	body := f.body()
	if status == byReason {
		status = statusOf(f)
	}
	if body.Retry {
		seconds := math.Ceil(time.Duration(body.RetryAfter).Seconds())
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	answer(ctx, status, body)
}

func (f failure) body() errorBody {
	body := errorBody{
		Reason: f.reason, Ran: f.ran.String(), Job: f.job, Step: f.step, Peer: f.peer,
		Generation: f.generation, Detail: f.detail,
	}
	if f.ran == state.NotRun && f.reason.MayRetry() {
		body.Retry = true
		body.RetryAfter = duration(retryAfter(f.reason))
	}
	if f.ran == state.Unknown && f.job != "" {
		body.Ask = jobsPath + "/" + string(f.job)
	}
	if f.holder != "" {
		body.Ask = jobsPath + "/" + string(f.holder)
	}
	return body
}

// retryAfter returns how long a caller should wait before the same request.
func retryAfter(reason state.Reason) time.Duration {
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

func statusOf(f failure) int {
	if f.ran == state.Unknown && f.reason != state.UnknownJob {
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
