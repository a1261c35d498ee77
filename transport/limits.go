package transport

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Limits bounds the resources that clients can use on a server.
type Limits struct {
	// HeaderBytes bounds the request line and the headers of a request together.
	HeaderBytes int
	// BodyBytes bounds the body of a request; CurrentBodyBytes replaces it if it is
	// not nil and returns a value above 0.
	BodyBytes        int
	CurrentBodyBytes func() int
	// Budget bounds the bytes that clients make the process hold. Servers may share
	// one; nil gives the server one of its own.
	Budget *Budget
	// SocketBytes bounds the kernel's buffers of a connection, in each direction: what
	// the kernel holds for a process counts as the process's memory on some
	// platforms. 0 leaves the size to the system.
	SocketBytes int
	// Connections bounds the open connections.
	Connections int
	// PipelinedRequests bounds the requests of one connection that are handled
	// or wait for their turn.
	PipelinedRequests int
	// Handlers bounds the requests that are handled at the same time on all
	// connections.
	Handlers int
	// RequestTimeout bounds the time from the first byte of a request to its last.
	RequestTimeout time.Duration
	// IdleTimeout bounds the time between a response and the next request.
	IdleTimeout time.Duration
	// WriteTimeout bounds the time in which a client reads nothing of a response.
	WriteTimeout time.Duration
	// Count is called with the reason for every refusal, forced close and
	// failure of the gnet engine; it must not block.
	Count func(reason string)
	// OnPanic is called with the value that a handler panicked with, as an
	// error with its stack trace.
	OnPanic func(err error)
	// WriteRefusal fills the response to a refused request; if it is nil, the
	// body is the reason as plain text.
	WriteRefusal func(response *fasthttp.Response, reason string)
}

// The reasons passed to Count and WriteRefusal.
const (
	BadRequest         = "badRequest"
	HeaderTooLarge     = "headerTooLarge"
	BodyTooLarge       = "bodyTooLarge"
	TooManyConnections = "tooManyConnections"
	TooManyPipelined   = "tooManyPipelined"
	// Draining is for requests that arrive after Drain has waited for the
	// earlier ones.
	Draining          = "draining"
	TooManyRequests   = "tooManyRequests"
	RequestIncomplete = "requestIncomplete"
	ConnectionIdle    = "connectionIdle"
	AnswerNotTaken    = "answerNotTaken"
	HandlerPanicked   = "handlerPanicked"
	EngineFailed      = "engineFailed"
	// OverBudget is for a request that was dropped because clients held too many
	// bytes, and for a response that was not taken then.
	OverBudget = "overBudget"
	// ConnectionDisplaced is for an idle connection that made room for a new one.
	ConnectionDisplaced = "connectionDisplaced"
)

// Reasons lists every reason that a server passes to Limits.Count.
var Reasons = []string{
	BadRequest, HeaderTooLarge, BodyTooLarge, TooManyConnections, TooManyPipelined, Draining,
	TooManyRequests, RequestIncomplete, ConnectionIdle, AnswerNotTaken, HandlerPanicked, EngineFailed,
	OverBudget, ConnectionDisplaced,
}

// DefaultBudgetBytes is the budget of a server that is given none.
const DefaultBudgetBytes = 64 << 20

// DefaultLimits returns limits suitable for a small entry instance.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:       16 << 10,
		BodyBytes:         4 << 20,
		Connections:       4096,
		PipelinedRequests: 64,
		Handlers:          8192,
		RequestTimeout:    10 * time.Second,
		IdleTimeout:       time.Minute,
		WriteTimeout:      10 * time.Second,
		Count:             func(string) {},
		OnPanic:           func(error) {},
	}
}

func (l Limits) orDefaults() Limits {
	defaults := DefaultLimits()
	l.HeaderBytes = positiveOr(l.HeaderBytes, defaults.HeaderBytes)
	l.BodyBytes = positiveOr(l.BodyBytes, defaults.BodyBytes)
	if l.Budget == nil {
		l.Budget = NewBudget(max(DefaultBudgetBytes, 2*int64(l.BodyBytes)))
	}
	l.Connections = positiveOr(l.Connections, defaults.Connections)
	l.PipelinedRequests = positiveOr(l.PipelinedRequests, defaults.PipelinedRequests)
	l.Handlers = positiveOr(l.Handlers, defaults.Handlers)
	l.RequestTimeout = positiveOr(l.RequestTimeout, defaults.RequestTimeout)
	l.IdleTimeout = positiveOr(l.IdleTimeout, defaults.IdleTimeout)
	l.WriteTimeout = positiveOr(l.WriteTimeout, defaults.WriteTimeout)
	if l.Count == nil {
		l.Count = defaults.Count
	}
	if l.OnPanic == nil {
		l.OnPanic = defaults.OnPanic
	}
	return l
}

// bodyBytes returns the bound of a request's body at present.
func (l *Limits) bodyBytes() int {
	if l.CurrentBodyBytes != nil {
		if current := l.CurrentBodyBytes(); current > 0 {
			return current
		}
	}
	return l.BodyBytes
}

func positiveOr[N int | time.Duration](value, fallback N) N {
	if value > 0 {
		return value
	}
	return fallback
}

func statusOf(reason string) int {
	switch reason {
	case HeaderTooLarge:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case BodyTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case RequestIncomplete:
		return fasthttp.StatusRequestTimeout
	case TooManyConnections, TooManyPipelined, TooManyRequests, Draining, OverBudget:
		return fasthttp.StatusServiceUnavailable
	case HandlerPanicked:
		return fasthttp.StatusInternalServerError
	default:
		return fasthttp.StatusBadRequest
	}
}
