package caller

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"comfreystream/state"
	"comfreystream/transport"
)

// Refuse fills the response to a request that the transport refused or whose
// handler panicked. It implements transport.Limits.WriteRefusal and keeps the
// status that the transport has set.
func Refuse(response *fasthttp.Response, reason string) {
	f := failure{reason: state.Reason(reason)}
	if reason == transport.HandlerPanicked {
		f.ran = state.OutcomeUnknown
	}
	body := f.toBody()
	if reason == transport.HeaderTooLarge {
		body.Retry, body.RetryAfter = false, 0
	}
	if response.StatusCode() == fasthttp.StatusOK {
		response.SetStatusCode(httpStatus(f))
	}
	text, err := json.Marshal(body)
	if err != nil {
		return
	}
	response.Header.SetContentType(contentType)
	response.SetBody(text)
}
