package transport

import (
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// uncountedResponseBytes is the size up to which a response is not counted.
	uncountedResponseBytes = 64 << 10
	// maxInterimResponses bounds the interim responses that precede a response.
	maxInterimResponses = 16
)

// errTooManyResponseBytes ends a call that would exceed ClientLimits.TotalResponseBytes.
var errTooManyResponseBytes = errors.New("the responses being read exceed the limit together")

// responseBudget counts the bytes of the large responses that a client is reading.
type responseBudget struct {
	limit int64
	held  atomic.Int64
}

// responseReading is what one response counts in the budget.
type responseReading struct {
	budget   *responseBudget
	received int64
	counted  int64
}

func (r *responseReading) count(bytes int64) error {
	r.counted += bytes
	if r.budget.held.Add(bytes) > r.budget.limit {
		return errTooManyResponseBytes
	}
	return nil
}

// receive counts bytes as they arrive, unless more are counted already.
func (r *responseReading) receive(bytes int) error {
	r.received += int64(bytes)
	if uncounted := r.received - r.counted; r.received > uncountedResponseBytes && uncounted > 0 {
		return r.count(uncounted)
	}
	return nil
}

// end gives back what was counted.
func (r *responseReading) end() {
	if r.counted > 0 {
		r.budget.held.Add(-r.counted)
	}
	r.received, r.counted = 0, 0
}

// readResponse reads a response whose body has at most the given size. A buffer for an
// announced body is allocated only once the budget has it.
func (c *clientConn) readResponse(response *fasthttp.Response, maxBytes int) error {
	if err := response.Header.Read(c.buffered); err != nil {
		return err
	}
	for n := 0; isInterim(response.StatusCode()); n++ {
		if n >= maxInterimResponses {
			return errors.New("too many interim responses")
		}
		if err := response.Header.Read(c.buffered); err != nil {
			return err
		}
	}
	length := response.Header.ContentLength()
	status := response.StatusCode()
	if response.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	if length > uncountedResponseBytes && length <= maxBytes {
		if err := c.reading.count(int64(length)); err != nil {
			return err
		}
	}
	if err := response.ReadBody(c.buffered, maxBytes); err != nil {
		return err
	}
	if length == chunkedLength {
		return response.Header.ReadTrailer(c.buffered)
	}
	return nil
}

func isInterim(status int) bool {
	return status >= fasthttp.StatusContinue && status < fasthttp.StatusOK && status != fasthttp.StatusSwitchingProtocols
}
