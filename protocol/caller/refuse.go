package caller

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"comfreystream/state"
	"comfreystream/transport"
)

// Refuse fills the answer to a request that reached no handler; it fits
// transport.Limits.Refuse, and keeps the status that the transport set.
func Refuse(response *fasthttp.Response, reason string) {
	f := failure{reason: state.Reason(reason)}
	if reason == transport.HandlerPanicked {
		f.ran = state.Unknown
	}
	body := f.body()
	if reason == transport.HeaderTooLarge {
		body.Retry, body.RetryAfter = false, 0
	}
	if response.StatusCode() == fasthttp.StatusOK {
		response.SetStatusCode(statusOf(f))
	}
	text, err := json.Marshal(body)
	if err != nil {
		return
	}
	response.Header.SetContentType(contentType)
	response.SetBody(text)
}
